package mangoengine

import (
	"encoding/json"
	"net/http"
	"time"

	"mangopath.org/mangopath/pkg/mangomessage"
)

// serveStream carries JSON lines in both directions on one request.
func (e *Engine) serveStream(w http.ResponseWriter, r *http.Request) {
	control := http.NewResponseController(w)
	if err := control.EnableFullDuplex(); err != nil {
		writeError(w, http.StatusHTTPVersionNotSupported, "Invalid", "streams need HTTP/1.1")
		return
	}
	// The server reads the rest of the body when a handler returns, which would wait for the caller.
	interrupt := func() { _ = control.SetReadDeadline(time.Unix(1, 0)) }
	defer interrupt()
	lines := json.NewDecoder(r.Body)
	open := &mangomessage.Open{}
	if err := lines.Decode(open); err != nil || open.Call == "" {
		writeError(w, http.StatusBadRequest, "Invalid", "the first line must be an Open with a Call")
		return
	}
	w.Header().Set("Content-Type", "application/x-ndjson")
	w.Header().Set("Connection", "close")
	s := &stream{ended: make(chan struct{}), interruptRead: interrupt}
	c, opened := e.attachStream(open, s)
	if c != nil {
		defer e.detachStream(c, s)
	}
	if !writeLine(w, control, opened) || c == nil {
		return
	}
	for {
		step := &mangomessage.Step{}
		if err := lines.Decode(step); err != nil {
			return
		}
		result := e.runStep(c, s, step)
		if result == nil || !writeLine(w, control, result) {
			return
		}
	}
}

func writeLine(w http.ResponseWriter, control *http.ResponseController, line any) bool {
	if err := json.NewEncoder(w).Encode(line); err != nil {
		return false
	}
	return control.Flush() == nil
}

// runStep queues a step and waits for its result; nil means that the stream ended first.
func (e *Engine) runStep(c *callState, s *stream, step *mangomessage.Step) *mangomessage.StepResult {
	results, refused := e.enqueueStep(c, s, step)
	if refused != nil {
		return refused
	}
	select {
	case result := <-results:
		return result
	case <-s.ended:
		return nil
	case <-e.runEnded:
		return nil
	}
}
