package mangoengine

import (
	"encoding/json"
	"net/http"

	"mangopath.org/mangopath/pkg/mangomessage"
)

// maxBody bounds the body of all requests but streams, in bytes.
const maxBodyBytes = 64 << 20

// Faults replace all earlier faults.
type Faults struct {
	// StepDelayMs is added to each batch.
	StepDelayMs int64
	// CrashOnPrompt ends the process when a prompt that runs contains the text.
	CrashOnPrompt string
	Leaving       bool
	// StateLagMs replaces the lag of load reports and cache events when above 0.
	StateLagMs int64
	// DropEvents is the share of cache events that are lost, in percent.
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

// decodeBody reads a JSON body and replies with the fault when it is invalid.
func decodeBody(w http.ResponseWriter, r *http.Request, into any) bool {
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(into); err != nil {
		writeError(w, http.StatusBadRequest, "Invalid", err.Error())
		return false
	}
	return true
}

func writeReply(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	// An error here means that the caller has gone, and nobody is left to tell.
	_ = json.NewEncoder(w).Encode(value)
}

func writeError(w http.ResponseWriter, status int, kind, message string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	body := &mangomessage.CallErrorBody{Error: &mangomessage.CallError{Kind: kind, Message: message}}
	_ = json.NewEncoder(w).Encode(body)
}
