package mangonaive

import (
	"crypto/rand"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"mangopath.org/mangopath/pkg/mangomessage"
)

// maxBodyBytes bounds the body of a call.
const maxBodyBytes = 1 << 20

// Router is an HTTP handler that routes completions and service calls in turn over fixed replicas; it is safe for concurrent
// use.
type Router struct {
	mux      *http.ServeMux
	profiles map[string]*Profile
	timeout  time.Duration
	retries  int
	client   *http.Client
	// nextReplica counts the selections of replicas, which are made in turn.
	nextReplica atomic.Uint64
}

// New returns a router for valid settings.
func New(s Settings) *Router {
	r := &Router{
		mux: http.NewServeMux(), profiles: map[string]*Profile{}, retries: s.Retries,
		timeout: time.Duration(s.TimeoutMs) * time.Millisecond,
	}
	if r.timeout == 0 {
		r.timeout = 2 * time.Second
	}
	for i := range s.Profiles {
		r.profiles[s.Profiles[i].Name] = &s.Profiles[i]
	}
	dialer := net.Dialer{Timeout: r.timeout}
	r.client = &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 100}}
	r.mux.HandleFunc("POST /v1/completions", r.serveCompletion)
	r.mux.HandleFunc("/v1/services/{name}/{path...}", r.serveServiceCall)
	return r
}

// ServeHTTP implements http.Handler.
func (r *Router) ServeHTTP(w http.ResponseWriter, request *http.Request) { r.mux.ServeHTTP(w, request) }

// Close closes the idle connections to replicas.
func (r *Router) Close() { r.client.CloseIdleConnections() }

// nextChain returns one replica for each stage, in turn.
func (r *Router) nextChain(p *Profile) []string {
	turn := r.nextReplica.Add(1)
	var chain []string
	for _, s := range p.Stages {
		chain = append(chain, s.Replicas[turn%uint64(len(s.Replicas))])
	}
	return chain
}

// serveServiceCall sends the call again after any failure, whether or not the call has run.
func (r *Router) serveServiceCall(w http.ResponseWriter, request *http.Request) {
	p := r.profiles[request.PathValue("name")]
	body, err := io.ReadAll(http.MaxBytesReader(w, request.Body, maxBodyBytes))
	if p == nil || len(p.Services) == 0 || err != nil {
		writeError(w, http.StatusBadRequest, "Rejected", "unknown profile or invalid body")
		return
	}
	for range r.retries + 1 {
		replica := p.Services[r.nextReplica.Add(1)%uint64(len(p.Services))]
		if err = r.sendServiceCall(w, request, replica, body); err == nil {
			return
		}
	}
	writeError(w, http.StatusBadGateway, "Unknown", err.Error())
}

// writeError answers a call with an error.
func writeError(w http.ResponseWriter, status int, outcome, message string) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Mangopath-Outcome", outcome)
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(errorBody(outcome, message))
}

func errorBody(outcome, message string) *mangomessage.CallErrorBody {
	return &mangomessage.CallErrorBody{Error: &mangomessage.CallError{Outcome: outcome, Kind: "Upstream", Message: message}}
}

func newCallID() string { return "naive-" + rand.Text() }
