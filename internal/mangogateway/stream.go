package mangogateway

import (
	"net/http"

	"mangopath.org/mangopath/internal/mangocall"
)

// eventSink writes server-sent events and flushes each of them. The header is sent with the first event, so that
// a failure before it has a status of its own.
type eventSink struct {
	exchange   *exchange
	completion Completion
	buffer     []byte
}

var _ mangocall.Sink = (*eventSink)(nil)

// Token implements mangocall.Sink.
func (s *eventSink) Token(text string) error {
	return s.send("", answerJSON(s.completion, text, nil))
}

// end sends the event with the finish reason and the end mark.
func (s *eventSink) end(result mangocall.Result) error {
	if err := s.send("", answerJSON(s.completion, "", &result)); err != nil {
		return err
	}
	return s.send("", []byte("[DONE]"))
}

// truncate sends the event that ends a truncated answer and has the connection aborted without an end mark.
func (s *eventSink) truncate(err error) {
	x := s.exchange
	x.failure, x.abort = failureOf(err), true
	_ = s.send("error", x.failureBody())
}

func (s *eventSink) send(event string, data []byte) error {
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
		return cancelled(err)
	}
	if err := w.flush(); err != nil {
		return cancelled(err)
	}
	return nil
}

// cancelled is the failure of a call whose caller no longer reads.
func cancelled(err error) *mangocall.Error {
	return &mangocall.Error{Op: "Write", Kind: mangocall.KindCancelled, Outcome: mangocall.Unknown, Err: err}
}
