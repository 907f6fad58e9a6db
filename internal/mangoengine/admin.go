package mangoengine

import (
	"encoding/json"
	"net/http"

	"mangopath.org/mangopath/pkg/mangomessage"
)

// maxBodyBytes bounds the body of a request other than a stream.
const maxBodyBytes = 64 << 20

// Faults are the faults that an engine simulates. A new set replaces the previous one as a whole.
type Faults struct {
	// StepDelayMs is added to the duration of each batch.
	StepDelayMs int64
	// CrashOnPrompt crashes the engine when a step in a batch has a prompt that contains the text; empty means never.
	CrashOnPrompt string
	// Leaving refuses new calls, as during a graceful stop.
	Leaving bool
	// StateLagMs replaces the lag of load reports and cache events if it is above 0.
	StateLagMs int64
	// DropEvents is the percentage of cache events that are lost, chosen at random.
	DropEvents int
}

func (e *Engine) postFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if !decodeBody(w, r, &f) {
		return
	}
	e.mu.Lock()
	e.faults = f
	e.mu.Unlock()
	writeReply(w, struct{}{})
}

func (e *Engine) postStop(w http.ResponseWriter, _ *http.Request) {
	e.Stop()
	writeReply(w, struct{}{})
}

// decodeBody decodes a JSON body. If that fails it replies with the error and returns false.
func decodeBody(w http.ResponseWriter, r *http.Request, into any) bool {
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(into); err != nil {
		writeError(w, http.StatusBadRequest, "Invalid", err.Error())
		return false
	}
	return true
}

func writeReply(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	// An error is ignored: the connection to the caller is broken, so that it could not be reported.
	_ = json.NewEncoder(w).Encode(value)
}

func writeError(w http.ResponseWriter, status int, kind, message string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	body := &mangomessage.CallErrorBody{Error: &mangomessage.CallError{Kind: kind, Message: message}}
	_ = json.NewEncoder(w).Encode(body)
}
