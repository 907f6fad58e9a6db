package mangoengine

import (
	"encoding/json"
	"net/http"
	"time"

	"mangopath.org/mangopath/pkg/mangomessage"
)

// serveStream serves one stream. The request body carries an Open and then steps, the response an Opened and then results.
// Each is a line of JSON; both directions are open at the same time.
func (e *Engine) serveStream(w http.ResponseWriter, r *http.Request) {
	control := http.NewResponseController(w)
	if err := control.EnableFullDuplex(); err != nil {
		writeError(w, http.StatusHTTPVersionNotSupported, "Invalid", "full duplex failed; streams need HTTP/1.1")
		return
	}
	// When a handler returns, net/http reads the rest of the request body and would wait for the caller. A read deadline in
	// the past ends that read.
	interruptRead := func() { _ = control.SetReadDeadline(time.Unix(1, 0)) }
	defer interruptRead()
	lines := json.NewDecoder(r.Body)
	open := &mangomessage.Open{}
	if err := lines.Decode(open); err != nil || open.Call == "" {
		writeError(w, http.StatusBadRequest, "Invalid", "the first line of the stream is not an Open with a Call")
		return
	}
	w.Header().Set("Content-Type", "application/x-ndjson")
	w.Header().Set("Connection", "close")
	s := &stream{ended: make(chan struct{}), interruptRead: interruptRead}
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

// writeLine writes a line of JSON and flushes it. It returns false if the connection is broken.
func writeLine(w http.ResponseWriter, control *http.ResponseController, line any) bool {
	if err := json.NewEncoder(w).Encode(line); err != nil {
		return false
	}
	return control.Flush() == nil
}

// runStep queues a step and waits for its result. It returns nil if the stream or the engine ended first.
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
