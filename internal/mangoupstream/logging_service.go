package mangoupstream

import (
	"context"

	"github.com/sirupsen/logrus"
)

// loggingService logs each call before it is sent to a plain service.
type loggingService struct {
	service Service
	logger  logrus.FieldLogger
}

var _ Service = (*loggingService)(nil)

// NewLoggingService returns a Service that logs the address of each call and then sends the call with another Service.
func NewLoggingService(service Service, logger logrus.FieldLogger) Service {
	return &loggingService{service: service, logger: logger}
}

// Call implements Service.
func (l *loggingService) Call(ctx context.Context, address string, request Request) (Answer, error) {
	l.logger.WithFields(logrus.Fields{
		"event": "route", "call": request.CallID, "address": address, "method": request.Method,
		"idempotent": request.Idempotent, "reason": "fewest in flight of two",
	}).Info("service replica chosen")
	return l.service.Call(ctx, address, request)
}
