package mangogateway

import (
	"net/http"

	"mangopath.org/mangopath/internal/mangocall"
)

// eventSink writes a streamed answer as server-sent events and flushes each of them. The header is sent with the first
// event, so that a failure before it can be answered with its own status.
type eventSink struct {
	exchange   *exchange
	completion Completion
	buffer     []byte
}

var _ mangocall.Sink = (*eventSink)(nil)

// Token implements mangocall.Sink.
func (s *eventSink) Token(text string) error {
	return s.sendEvent("", encodeAnswer(s.completion, text, nil))
}

// sendEnd sends the event with the finish reason and the end marker [DONE].
func (s *eventSink) sendEnd(result mangocall.Result) error {
	if err := s.sendEvent("", encodeAnswer(s.completion, "", &result)); err != nil {
		return err
	}
	return s.sendEvent("", []byte("[DONE]"))
}

// sendError sends an event with the error of a truncated answer and has the connection aborted without an end marker.
func (s *eventSink) sendError(err error) {
	x := s.exchange
	x.failure, x.mustAbort = asCallError(err), true
	_ = s.sendEvent("error", x.failureBody())
}

// sendEvent writes one event and flushes it; an empty event name is left out.
func (s *eventSink) sendEvent(event string, data []byte) error {
	w := s.exchange.writer
	if w.status == 0 {
		header := w.Header()
		header.Set("Content-Type", "text/event-stream")
		header.Set("Cache-Control", "no-store")
		header.Set(headerOutcome, OutcomeAnswer)
		w.WriteHeader(http.StatusOK)
	}
	s.buffer = s.buffer[:0]
	if event != "" {
		s.buffer = append(append(append(s.buffer, "event: "...), event...), '\n')
	}
	s.buffer = append(append(append(s.buffer, "data: "...), data...), "\n\n"...)
	if _, err := w.Write(s.buffer); err != nil {
		return cancelledError(err)
	}
	if err := w.flush(); err != nil {
		return cancelledError(err)
	}
	return nil
}

// cancelledError returns the error of a call whose answer could not be written, such as when the caller has stopped reading.
func cancelledError(err error) *mangocall.Error {
	return &mangocall.Error{Op: "Write", Kind: mangocall.KindCancelled, Outcome: mangocall.Unknown, Err: err}
}
