package mangoplatform

import (
	"crypto/subtle"
	"net/http"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"mangopath.org/mangopath/pkg/mangomessage"
)

// maxValueBytes bounds the value of a key.
const maxValueBytes = 1 << 20

// Counters count the calls of the platform's protocol since the start of the server. Refused calls are those above the rate
// limits.
type Counters struct {
	Reads   uint64
	Writes  uint64
	Refused uint64
}

// Server is a stand-in for the platform. It is safe for concurrent use.
type Server struct {
	mux           *http.ServeMux
	token         string
	readRate      int
	writeRate     int
	hostListDelay time.Duration
	readLimiter   *rate.Limiter
	writeLimiter  *rate.Limiter

	// mu guards the fields below.
	mu         sync.Mutex
	store      *keyStore
	savedStore *keyStore
	hostList   delayedHostList
	faults     Faults
	counters   Counters
	// storeChanged is closed and replaced after a put, a restore or a change of the faults, to wake the watches.
	storeChanged chan struct{}
}

// Option changes a Server under construction.
type Option func(*Server)

// WithRates sets the reads and writes per second; 0 means no limit.
func WithRates(reads, writes int) Option {
	return func(s *Server) { s.readRate, s.writeRate = reads, writes }
}

// WithHostListDelay sets how long a change of the host list takes to become visible.
func WithHostListDelay(delay time.Duration) Option {
	return func(s *Server) { s.hostListDelay = delay }
}

// WithToken requires a bearer token for the platform's protocol. Admin requests need none.
func WithToken(token string) Option {
	return func(s *Server) { s.token = token }
}

// WithHosts sets the first host list, which is visible at once.
func WithHosts(list *mangomessage.HostList) Option {
	return func(s *Server) { s.hostList.add(list, time.Time{}) }
}

// New returns a server with no keys.
func New(options ...Option) *Server {
	s := &Server{
		mux: http.NewServeMux(), store: newKeyStore(), savedStore: newKeyStore(), storeChanged: make(chan struct{}),
		readLimiter: rate.NewLimiter(rate.Inf, 0), writeLimiter: rate.NewLimiter(rate.Inf, 0),
	}
	for _, o := range options {
		o(s)
	}
	s.setFaults(Faults{}, time.Now())
	s.registerRoutes()
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

func (s *Server) registerRoutes() {
	s.mux.Handle("GET /v1/keys", s.limitReads(s.getKey))
	s.mux.Handle("GET /v1/list", s.limitReads(s.listKeys))
	s.mux.Handle("GET /v1/watch", s.limitReads(s.watchKey))
	s.mux.Handle("GET /v1/hosts", s.limitReads(s.getHosts))
	s.mux.Handle("POST /v1/put", s.limitWrites(s.putKey))
	s.mux.Handle("POST /v1/delete", s.limitWrites(s.deleteKey))
	s.mux.Handle("POST /v1/leases/grant", s.limitWrites(s.grantLease))
	s.mux.Handle("POST /v1/leases/renew", s.limitWrites(s.renewLease))
	s.mux.Handle("POST /v1/leases/revoke", s.limitWrites(s.revokeLease))
	s.mux.HandleFunc("POST /admin/faults", s.postFaults)
	s.mux.HandleFunc("POST /admin/hosts", s.postHosts)
	s.mux.HandleFunc("POST /admin/snapshot", s.postSnapshot)
	s.mux.HandleFunc("POST /admin/restore", s.postRestore)
	s.mux.HandleFunc("GET /admin/counters", s.getCounters)
}

// admit checks the token, waits for the injected delay, checks the Down fault and the rate limit, and counts the call. If it
// refuses the call it replies with the error and returns false. The delay isn't cut short if the caller disconnects, so that
// a write can take effect after its caller's timeout.
func (s *Server) admit(w http.ResponseWriter, r *http.Request, limiter *rate.Limiter, count *uint64) bool {
	want := "Bearer " + s.token
	if s.token != "" && subtle.ConstantTimeCompare([]byte(r.Header.Get("Authorization")), []byte(want)) != 1 {
		writeError(w, http.StatusUnauthorized, "Unauthorised", "bearer token is missing or wrong")
		return false
	}
	s.mu.Lock()
	delay := time.Duration(s.faults.DelayMs) * time.Millisecond
	s.mu.Unlock()
	time.Sleep(delay)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Down {
		writeError(w, http.StatusServiceUnavailable, "Down", "service is down")
		return false
	}
	if !limiter.Allow() {
		s.counters.Refused++
		writeError(w, http.StatusTooManyRequests, "Limited", "rate limit exceeded")
		return false
	}
	*count++
	return true
}

// limitReads wraps the handler of a read with admit.
func (s *Server) limitReads(next http.HandlerFunc) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.admit(w, r, s.readLimiter, &s.counters.Reads) {
			next(w, r)
		}
	})
}

// limitWrites wraps the handler of a write with admit.
func (s *Server) limitWrites(next http.HandlerFunc) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.admit(w, r, s.writeLimiter, &s.counters.Writes) {
			next(w, r)
		}
	})
}

// withStore removes expired leases and calls f on the store with the lock held.
func (s *Server) withStore(f func(k *keyStore, now time.Time)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.store.expireLeases(now)
	f(s.store, now)
}

// wakeWatches makes all watches compare their version again. The lock must be held.
func (s *Server) wakeWatches() {
	close(s.storeChanged)
	s.storeChanged = make(chan struct{})
}
