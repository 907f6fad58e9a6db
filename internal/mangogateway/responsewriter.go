package mangogateway

import (
	"net/http"
	"time"
)

// responseWriter records the status that was sent and bounds the time of each write.
type responseWriter struct {
	http.ResponseWriter
	// status is 0 until the header is sent.
	status       int
	writeTimeout time.Duration
}

// WriteHeader implements http.ResponseWriter; only the first call has an effect.
func (w *responseWriter) WriteHeader(status int) {
	if w.status != 0 {
		return
	}
	w.status = status
	w.extendDeadline()
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *responseWriter) Write(data []byte) (int, error) {
	if w.status == 0 {
		w.WriteHeader(http.StatusOK)
	}
	w.extendDeadline()
	return w.ResponseWriter.Write(data)
}

// Unwrap returns the wrapped writer, for http.ResponseController.
func (w *responseWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// flush sends buffered data to the caller.
func (w *responseWriter) flush() error {
	return http.NewResponseController(w.ResponseWriter).Flush()
}

// extendDeadline sets the write deadline of the connection anew. The error is ignored, as response writers of tests have no
// deadlines.
func (w *responseWriter) extendDeadline() {
	_ = http.NewResponseController(w.ResponseWriter).SetWriteDeadline(time.Now().Add(w.writeTimeout))
}
