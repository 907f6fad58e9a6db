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

	"mangopath.org/mangopath/internal/mangomemory"
	"mangopath.org/mangopath/internal/mangorelay"
	"mangopath.org/mangopath/internal/mangoroute"
	"mangopath.org/mangopath/internal/mangoshutdown"
	"mangopath.org/mangopath/internal/mangostate"
	"mangopath.org/mangopath/platform"
)

const (
	// bodyReadTimeout bounds the time for a caller to send the body of a request.
	bodyReadTimeout = 10 * time.Second
	// minBodyBuffer is the size in bytes of the first buffer for the body of a request.
	minBodyBuffer = 4 << 10
	// retryAfterNoMemory is the Retry-After, in seconds, of requests for whose body there is no memory.
	retryAfterNoMemory = "1"
	// maxTableWait bounds the time for which the ingress waits for the first configuration, which has the limits, before it
	// accepts connections.
	maxTableWait = 2 * time.Second
	// tablePollInterval is the time between two checks for the first configuration.
	tablePollInterval = 20 * time.Millisecond
	// idleTimeoutMargin is added to the idle timeout, so that a connection is not closed while a caller that keeps to the
	// limit uses it.
	idleTimeoutMargin = time.Second
)

// errNoMemory means that the requests that run keep all the memory that there is for them.
var errNoMemory = errors.New("there is no memory for the body of the request")

// defaultLimits returns the limits that apply until a configuration has arrived.
func defaultLimits() mangoroute.Limits {
	return mangoroute.Limits{HeaderBytes: 16 << 10, BodyBytes: 4 << 20, HeaderTimeout: 5 * time.Second, IdleTimeout: 30 * time.Second}
}

// ingress accepts the HTTP requests of callers and passes them to the relay.
type ingress struct {
	relay    *mangorelay.Relay
	state    *mangostate.Controller
	shutdown *mangoshutdown.Shutdown
	memory   *mangomemory.Pool
	codec    platform.Codec
	logger   *logrus.Logger
}

func newIngress(
	relay *mangorelay.Relay, state *mangostate.Controller, shutdown *mangoshutdown.Shutdown, memory *mangomemory.Pool, logger *logrus.Logger,
) *ingress {
	return &ingress{relay: relay, state: state, shutdown: shutdown, memory: memory, logger: logger}
}

var _ http.Handler = (*ingress)(nil)

// ServeHTTP implements http.Handler. It reads the whole body first, since the relay may send it more than once.
func (i *ingress) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	defer i.shutdown.BeginRequest()()
	kept := i.memory.Open()
	defer kept.Close()
	body, ok := i.takeRequest(w, r, kept)
	if !ok {
		return
	}
	if !i.relay.Serve(r.Context(), w, i.codec.DecodeRequest(r, body, arrived)) {
		// Closes the connection before the answer is complete, so that the caller cannot take it for complete.
		panic(http.ErrAbortHandler)
	}
}

// takeRequest reads the body of a request and marks its connection as one with a request. If the body cannot be read, it answers
// the request and reports false.
func (i *ingress) takeRequest(w http.ResponseWriter, r *http.Request, kept *mangomemory.Account) ([]byte, bool) {
	body, ok := i.readBody(w, r, kept) //nolint:contextcheck // The context that ends a body is that of the stop.
	if !ok {
		return nil, false
	}
	if conn := callerConnOf(r.Context()); conn != nil && !conn.takeRequest() {
		// The caller has lost its connection, so the request must not run.
		panic(http.ErrAbortHandler)
	}
	return body, true
}

// readBody reads the body of a request into memory that the account takes. If that fails it answers 408, 413 or 503 and reports
// false.
func (i *ingress) readBody(w http.ResponseWriter, r *http.Request, kept *mangomemory.Account) ([]byte, bool) {
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		return nil, true
	}
	limits := i.limits()
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(bodyReadTimeout))
	// At the end of a stop, a request whose body is not whole is answered, too.
	interrupted := make(chan struct{})
	stopWaiting := context.AfterFunc(i.shutdown.AnswerContext(), func() {
		_ = control.SetReadDeadline(time.Now())
		close(interrupted)
	})
	body, err := readAll(http.MaxBytesReader(w, r.Body, limits.BodyBytes), r.ContentLength, kept)
	if !stopWaiting() {
		// The deadline must not be set after it is cleared.
		<-interrupted
	}
	_ = control.SetReadDeadline(time.Time{})
	if err == nil {
		return body, true
	}
	i.refuseBody(w, r, err)
	return nil, false
}

// refuseBody answers a request whose body could not be read.
func (i *ingress) refuseBody(w http.ResponseWriter, r *http.Request, err error) {
	status := http.StatusRequestTimeout
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		status = http.StatusRequestEntityTooLarge
	case errors.Is(err, errNoMemory):
		status = http.StatusServiceUnavailable
		w.Header().Set("Retry-After", retryAfterNoMemory)
	}
	i.logger.WithFields(logrus.Fields{"event": "body_unread", "caller": r.RemoteAddr, "status": status}).WithError(err).
		Warn("the body of a request could not be read")
	w.Header().Set("Connection", "close")
	w.WriteHeader(status)
}

// readAll reads a body of a length, or of an unknown one if that is negative, into a buffer that grows as the body arrives. It
// fails with errNoMemory if the account gets no memory for it.
func readAll(body io.Reader, length int64, kept *mangomemory.Account) ([]byte, error) {
	var data []byte
	for {
		if len(data) == cap(data) {
			size := max(2*int64(cap(data)), minBodyBuffer)
			if length >= int64(len(data)) {
				// One byte more shows the end of the body.
				size = min(size, length+1)
			}
			if !kept.Hold(size) {
				return nil, errNoMemory
			}
			data = append(make([]byte, 0, size), data...)
		}
		n, err := body.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		if err == io.EOF {
			return data, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// limits returns the limits of the latest configuration.
func (i *ingress) limits() mangoroute.Limits {
	if t := i.state.View().Table; t != nil {
		return t.Limits()
	}
	return defaultLimits()
}

// serve accepts connections until the server is closed. The limits on headers and idle connections are those of the first
// configuration, since http.Server takes them only at its start.
func (i *ingress) serve(ctx context.Context, server *http.Server, listener net.Listener) error {
	for start := time.Now(); i.state.View().Table == nil && time.Since(start) < maxTableWait; {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(tablePollInterval):
		}
	}
	limits := i.limits()
	server.Handler = i
	server.MaxHeaderBytes = limits.HeaderBytes
	server.ReadHeaderTimeout = limits.HeaderTimeout
	server.IdleTimeout = limits.IdleTimeout + idleTimeoutMargin
	return server.Serve(listener)
}

// newServer returns an HTTP server without a handler that logs its errors.
func newServer(logger *logrus.Logger) *http.Server {
	return &http.Server{
		ReadHeaderTimeout: defaultLimits().HeaderTimeout,
		ErrorLog:          log.New(httpErrorLog{logger}, "", 0),
	}
}

// httpErrorLog logs the error lines of net/http at debug level; most are about callers that have disconnected.
type httpErrorLog struct{ logger *logrus.Logger }

// Write implements io.Writer.
func (e httpErrorLog) Write(line []byte) (int, error) {
	e.logger.WithField("event", "http_library").Debug(string(line))
	return len(line), nil
}
