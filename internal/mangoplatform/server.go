package mangoplatform

import (
	"crypto/subtle"
	"net/http"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"mangopath.org/mangopath/pkg/mangomessage"
)

// maxValue is the bound on a value in bytes.
const maxValue = 1 << 20

// Counters are the calls since the start.
type Counters struct {
	Reads   uint64
	Writes  uint64
	Refused uint64
}

// Server is the stand-in; it is safe for concurrent use.
type Server struct {
	mux       *http.ServeMux
	token     string
	readRate  int
	writeRate int
	listDelay time.Duration
	reads     *rate.Limiter
	writes    *rate.Limiter

	mu       sync.Mutex
	table    *table
	saved    *table
	hosts    hosts
	faults   Faults
	counters Counters
	// changed is closed and replaced at each write, to wake the watches.
	changed chan struct{}
}

// Option changes a Server under construction.
type Option func(*Server)

// WithRates sets the reads and writes per second; 0 means no limit.
func WithRates(reads, writes int) Option {
	return func(s *Server) { s.readRate, s.writeRate = reads, writes }
}

// WithHostListDelay sets the time until a change of the host list becomes visible.
func WithHostListDelay(delay time.Duration) Option {
	return func(s *Server) { s.listDelay = delay }
}

// WithToken requires a bearer token on the platform's own requests.
func WithToken(token string) Option {
	return func(s *Server) { s.token = token }
}

// WithHosts sets a host list that is visible at once.
func WithHosts(list *mangomessage.HostList) Option {
	return func(s *Server) { s.hosts.add(list, time.Time{}) }
}

// New returns a server without keys.
func New(options ...Option) *Server {
	s := &Server{
		mux: http.NewServeMux(), table: newTable(), saved: newTable(), changed: make(chan struct{}),
		reads: rate.NewLimiter(rate.Inf, 0), writes: rate.NewLimiter(rate.Inf, 0),
	}
	for _, o := range options {
		o(s)
	}
	s.setFaults(Faults{}, time.Now())
	s.routes()
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

func (s *Server) routes() {
	s.mux.Handle("GET /v1/keys", s.read(s.getKey))
	s.mux.Handle("GET /v1/list", s.read(s.getList))
	s.mux.Handle("GET /v1/watch", s.read(s.watch))
	s.mux.Handle("GET /v1/hosts", s.read(s.getHosts))
	s.mux.Handle("POST /v1/put", s.write(s.put))
	s.mux.Handle("POST /v1/delete", s.write(s.remove))
	s.mux.Handle("POST /v1/leases/grant", s.write(s.grant))
	s.mux.Handle("POST /v1/leases/renew", s.write(s.renew))
	s.mux.Handle("POST /v1/leases/revoke", s.write(s.revoke))
	s.mux.HandleFunc("POST /admin/faults", s.postFaults)
	s.mux.HandleFunc("POST /admin/hosts", s.postHosts)
	s.mux.HandleFunc("POST /admin/snapshot", s.postSnapshot)
	s.mux.HandleFunc("POST /admin/restore", s.postRestore)
	s.mux.HandleFunc("GET /admin/counters", s.getCounters)
}

// admit checks the token, the faults and the rate. The delay runs to its end even if the caller gives up, so that a
// write can take effect after its caller's timeout.
func (s *Server) admit(w http.ResponseWriter, r *http.Request, limiter *rate.Limiter, count *uint64) bool {
	want := "Bearer " + s.token
	if s.token != "" && subtle.ConstantTimeCompare([]byte(r.Header.Get("Authorization")), []byte(want)) != 1 {
		fail(w, http.StatusUnauthorized, "Unauthorised", "bearer token is missing or wrong")
		return false
	}
	s.mu.Lock()
	delay := time.Duration(s.faults.DelayMs) * time.Millisecond
	s.mu.Unlock()
	time.Sleep(delay)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Down {
		fail(w, http.StatusServiceUnavailable, "Down", "service is down")
		return false
	}
	if !limiter.Allow() {
		s.counters.Refused++
		fail(w, http.StatusTooManyRequests, "Limited", "rate exceeded")
		return false
	}
	*count++
	return true
}

func (s *Server) read(next http.HandlerFunc) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.admit(w, r, s.reads, &s.counters.Reads) {
			next(w, r)
		}
	})
}

func (s *Server) write(next http.HandlerFunc) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.admit(w, r, s.writes, &s.counters.Writes) {
			next(w, r)
		}
	})
}

// locked runs a function on the table without expired leases.
func (s *Server) locked(f func(t *table, now time.Time)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.table.expire(now)
	f(s.table, now)
}

// wake lets the watches compare again; the caller holds the lock.
func (s *Server) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}
