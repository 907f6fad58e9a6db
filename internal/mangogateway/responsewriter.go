package mangogateway

import (
	"net/http"
	"time"
)

// responseWriter remembers the status that was sent and bounds the time of each write.
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

// Unwrap lets http.ResponseController reach the connection.
func (w *responseWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

func (w *responseWriter) flush() error {
	return http.NewResponseController(w.ResponseWriter).Flush()
}

// extendDeadline moves the write deadline; writers of tests that have none are left alone.
func (w *responseWriter) extendDeadline() {
	_ = http.NewResponseController(w.ResponseWriter).SetWriteDeadline(time.Now().Add(w.writeTimeout))
}
