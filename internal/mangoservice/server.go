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
	// crashExitStatus is the exit status when the CrashOnBody fault ends the process.
	crashExitStatus = 3
	// stopIdleTime is the time without running requests after which a graceful stop is complete.
	stopIdleTime = 100 * time.Millisecond
)

// Faults are the faults to inject. A request to /admin/faults replaces all of them.
type Faults struct {
	// DelayMs replaces the delay of an execution if it is above 0.
	DelayMs int64
	// DropReplies is the number of next replies to drop, by closing the connection after the execution was counted.
	DropReplies int
	// Refuse makes the server reply with status 503 and the header Not-Executed, without an execution.
	Refuse bool
	// CrashOnBody ends the process after counting an execution whose request body contains this text, unless it is empty.
	CrashOnBody string
}

// Server is a simulated plain service that counts executions by idempotency key; it is safe for concurrent use.
type Server struct {
	mux     *http.ServeMux
	host    string
	delay   time.Duration
	journal io.Writer
	crash   func()

	mu sync.Mutex
	// executions is the number of executions by idempotency key.
	executions map[string]uint64
	faults     Faults
	// running is the number of requests that are being executed.
	running  int
	stopping bool
}

// Option changes a Server under construction.
type Option func(*Server)

// WithDelay sets the time that an execution takes.
func WithDelay(delay time.Duration) Option { return func(s *Server) { s.delay = delay } }

// WithJournal writes the idempotency key of each execution on a line of its own, so that a test can count the executions
// after the process was killed.
func WithJournal(journal io.Writer) Option { return func(s *Server) { s.journal = journal } }

// WithCrash replaces the exit of the process when the CrashOnBody fault applies.
func WithCrash(crash func()) Option { return func(s *Server) { s.crash = crash } }

// New returns a server without executions; host is its name in replies.
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

// Run waits until the context ends or a graceful stop is complete.
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

// Stop starts a graceful stop: new requests are refused, running ones finish, and then Run returns.
func (s *Server) Stop() {
	s.mu.Lock()
	s.stopping = true
	s.mu.Unlock()
}
