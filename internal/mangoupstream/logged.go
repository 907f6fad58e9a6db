package mangoupstream

import (
	"context"

	"github.com/sirupsen/logrus"
)

// logged writes a line for each call that is routed to a plain service.
type logged struct {
	service Service
	logger  logrus.FieldLogger
}

var _ Service = (*logged)(nil)

// NewLoggingService returns a service that logs where each call goes before it is sent.
func NewLoggingService(service Service, logger logrus.FieldLogger) Service {
	return &logged{service: service, logger: logger}
}

// Call implements Service.
func (l *logged) Call(ctx context.Context, address string, request Request) (Answer, error) {
	l.logger.WithFields(logrus.Fields{
		"event": "route", "call": request.CallID, "address": address, "method": request.Method,
		"idempotent": request.Idempotent, "reason": "fewest in flight of two",
	}).Info("service replica chosen")
	return l.service.Call(ctx, address, request)
}
