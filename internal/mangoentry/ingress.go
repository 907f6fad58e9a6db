package mangoentry

import (
	"context"
	"errors"
	"io"
	"log"
	"net"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"mangopath.org/mangopath/internal/mangorelay"
	"mangopath.org/mangopath/internal/mangoroute"
	"mangopath.org/mangopath/internal/mangostate"
	"mangopath.org/mangopath/platform"
)

const (
	// bodyTimeout bounds the time for a caller to send a body if it does not say how long it waits.
	bodyTimeout = 10 * time.Second
	// tableWait is the time for which the listener waits for the limits of the first configuration.
	tableWait = 2 * time.Second
	tableStep = 20 * time.Millisecond
	// idleSlack lets callers use a connection up to the limit without meeting its end.
	idleSlack = time.Second
)

// defaultLimits hold until a configuration has arrived.
func defaultLimits() mangoroute.Limits {
	return mangoroute.Limits{HeaderBytes: 16 << 10, BodyBytes: 4 << 20, HeaderTimeout: 5 * time.Second, IdleTimeout: 30 * time.Second}
}

// ingress accepts requests of callers.
type ingress struct {
	relay  *mangorelay.Relay
	state  *mangostate.Controller
	phase  *phase
	codec  platform.Codec
	logger *logrus.Logger
}

func newIngress(relay *mangorelay.Relay, state *mangostate.Controller, phase *phase, logger *logrus.Logger) *ingress {
	return &ingress{relay: relay, state: state, phase: phase, logger: logger}
}

var _ http.Handler = (*ingress)(nil)

// ServeHTTP implements http.Handler. The whole body is read first, since it may be sent more than once.
func (i *ingress) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	i.phase.active.Add(1)
	defer i.phase.active.Add(-1)
	body, ok := i.readBody(w, r)
	if !ok {
		return
	}
	if !i.relay.Serve(r.Context(), w, i.codec.Request(r, body, arrived)) {
		// Closes the connection without the end of the answer, so that the caller cannot take it for whole.
		panic(http.ErrAbortHandler)
	}
}

func (i *ingress) readBody(w http.ResponseWriter, r *http.Request) ([]byte, bool) {
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		return nil, true
	}
	limits := i.limits()
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(bodyTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limits.BodyBytes))
	_ = control.SetReadDeadline(time.Time{})
	if err == nil {
		return body, true
	}
	status := http.StatusRequestTimeout
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		status = http.StatusRequestEntityTooLarge
	}
	i.logger.WithFields(logrus.Fields{"event": "body_unread", "caller": r.RemoteAddr, "status": status}).WithError(err).
		Warn("a request was not read to its end")
	w.Header().Set("Connection", "close")
	w.WriteHeader(status)
	return nil, false
}

func (i *ingress) limits() mangoroute.Limits {
	if t := i.state.View().Table; t != nil {
		return t.Limits()
	}
	return defaultLimits()
}

// serve accepts connections until the server is closed. The limits on headers and idle connections are those of the
// first configuration: the library takes them at the start.
func (i *ingress) serve(ctx context.Context, server *http.Server, listener net.Listener) error {
	for begun := time.Now(); i.state.View().Table == nil && time.Since(begun) < tableWait; {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(tableStep):
		}
	}
	limits := i.limits()
	server.Handler = i
	server.MaxHeaderBytes = limits.HeaderBytes
	server.ReadHeaderTimeout = limits.HeaderTimeout
	server.IdleTimeout = limits.IdleTimeout + idleSlack
	return server.Serve(listener)
}

func newServer(logger *logrus.Logger) *http.Server {
	return &http.Server{
		ReadHeaderTimeout: defaultLimits().HeaderTimeout,
		ErrorLog:          log.New(errorLog{logger}, "", 0),
	}
}

// errorLog passes the lines of the HTTP library on; most are about callers that have left.
type errorLog struct{ logger *logrus.Logger }

// Write implements io.Writer.
func (e errorLog) Write(line []byte) (int, error) {
	e.logger.WithField("event", "http_library").Debug(string(line))
	return len(line), nil
}
