package mangoservice

import (
	"context"
	"io"
	"net/http"
	"os"
	"sync"
	"time"
)

const (
	// crashStatus is the exit status after a poison request.
	crashExitStatus = 3
	// drainTime is how long no request may run before a graceful stop ends.
	stopIdleTime = 100 * time.Millisecond
)

// Faults replace all earlier faults.
type Faults struct {
	// DelayMs replaces the delay of an execution when above 0.
	DelayMs int64
	// DropReplies is the number of next replies to drop after the effect.
	DropReplies int
	// Refuse answers that the request did not run.
	Refuse bool
	// CrashOnBody ends the process when the body of a request that runs contains the text.
	CrashOnBody string
}

// Server is the stand-in; it is safe for concurrent use.
type Server struct {
	mux     *http.ServeMux
	host    string
	delay   time.Duration
	journal io.Writer
	crash   func()

	mu         sync.Mutex
	executions map[string]uint64
	faults     Faults
	running    int
	stopping   bool
}

// Option changes a Server under construction.
type Option func(*Server)

// WithDelay sets the time of an execution.
func WithDelay(delay time.Duration) Option { return func(s *Server) { s.delay = delay } }

// WithJournal writes the idempotency key of each execution on a line, so that executions can be counted after the
// process was killed.
func WithJournal(journal io.Writer) Option { return func(s *Server) { s.journal = journal } }

// WithCrash replaces the exit of the process at a poison request.
func WithCrash(crash func()) Option { return func(s *Server) { s.crash = crash } }

// New returns a server without executions.
func New(host string, options ...Option) *Server {
	s := &Server{
		mux: http.NewServeMux(), host: host, journal: io.Discard, crash: func() { os.Exit(crashExitStatus) },
		executions: map[string]uint64{},
	}
	for _, o := range options {
		o(s)
	}
	s.mux.HandleFunc("/", s.execute)
	s.mux.HandleFunc("GET /admin/executions", s.getExecutions)
	s.mux.HandleFunc("POST /admin/faults", s.postFaults)
	s.mux.HandleFunc("POST /admin/stop", s.postStop)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// Run returns when the context ends or a graceful stop is complete.
func (s *Server) Run(ctx context.Context) {
	ticker := time.NewTicker(10 * time.Millisecond)
	defer ticker.Stop()
	idleSince := time.Now()
	for time.Since(idleSince) < stopIdleTime {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		s.mu.Lock()
		if !s.stopping || s.running > 0 {
			idleSince = time.Now()
		}
		s.mu.Unlock()
	}
}

// Stop starts a graceful stop: new requests are refused, running ones end, then Run returns.
func (s *Server) Stop() {
	s.mu.Lock()
	s.stopping = true
	s.mu.Unlock()
}
