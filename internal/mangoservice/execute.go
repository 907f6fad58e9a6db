package mangoservice

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"mangopath.org/mangopath/pkg/mangomessage"
)

// maxBody bounds the body of a request, in bytes.
const maxBodyBytes = 64 << 20

// Execution is the JSON reply to a request that was executed.
type Execution struct {
	Host   string
	Method string
	Path   string
	// Key is the idempotency key of the request.
	Key string
	// Number counts the executions with the key on this host, from 1.
	Number uint64
	// BodyDigest is the xxHash64 of the request body in hexadecimal.
	BodyDigest string
}

// execute counts an execution and replies after the delay. The execution is counted before the delay, so that it remains
// counted when the caller cancels or loses the connection.
func (s *Server) execute(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		writeError(w, http.StatusBadRequest, "Invalid", err.Error())
		return
	}
	e := Execution{Host: s.host, Method: r.Method, Path: r.URL.Path, Key: r.Header.Get("Idempotency-Key")}
	e.BodyDigest = fmt.Sprintf("%016x", xxhash.Sum64(body))
	faults, ok := s.startExecution(&e, body)
	if !ok {
		w.Header().Set("Not-Executed", "true")
		writeError(w, http.StatusServiceUnavailable, "Refused", "the request was not executed: the service is stopping or set to refuse requests")
		return
	}
	defer s.endExecution()
	delay := s.delay
	if faults.DelayMs > 0 {
		delay = time.Duration(faults.DelayMs) * time.Millisecond
	}
	time.Sleep(delay)
	if s.takeReplyDrop() {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, e)
}

// startExecution counts an execution and appends its key to the journal, unless the server is stopping or set to refuse. It
// returns the faults to apply, and false for a refused request.
func (s *Server) startExecution(e *Execution, body []byte) (Faults, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping || s.faults.Refuse {
		return s.faults, false
	}
	s.running++
	s.executions[e.Key]++
	e.Number = s.executions[e.Key]
	if _, err := fmt.Fprintln(s.journal, e.Key); err != nil {
		// An incomplete journal would hide executions from the test that counts them.
		panic(err)
	}
	if text := s.faults.CrashOnBody; text != "" && strings.Contains(string(body), text) {
		s.crash()
	}
	return s.faults, true
}

// endExecution marks a request as no longer running.
func (s *Server) endExecution() {
	s.mu.Lock()
	s.running--
	s.mu.Unlock()
}

// takeReplyDrop returns whether this reply is to be dropped, and counts it against the replies still to drop.
func (s *Server) takeReplyDrop() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.DropReplies == 0 {
		return false
	}
	s.faults.DropReplies--
	return true
}

func (s *Server) getExecutions(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	writeJSON(w, s.executions)
}

func (s *Server) postFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&f); err != nil {
		writeError(w, http.StatusBadRequest, "Invalid", err.Error())
		return
	}
	s.mu.Lock()
	s.faults = f
	s.mu.Unlock()
	writeJSON(w, struct{}{})
}

func (s *Server) postStop(w http.ResponseWriter, _ *http.Request) {
	s.Stop()
	writeJSON(w, struct{}{})
}

func writeJSON(w http.ResponseWriter, answer any) {
	w.Header().Set("Content-Type", "application/json")
	// An error means that the connection is gone, so it cannot be reported to the caller.
	_ = json.NewEncoder(w).Encode(answer)
}

// writeError writes an error in the format of the callers' API.
func writeError(w http.ResponseWriter, status int, kind, message string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	body := &mangomessage.CallErrorBody{Error: &mangomessage.CallError{Kind: kind, Message: message}}
	_ = json.NewEncoder(w).Encode(body)
}
