package mangogateway

import (
	"net/http"
	"time"
)

// writer remembers the status that was sent and bounds the time of each write.
type writer struct {
	http.ResponseWriter
	// status is 0 until the header is sent.
	status  int
	timeout time.Duration
}

// WriteHeader implements http.ResponseWriter; only the first call has an effect.
func (w *writer) WriteHeader(status int) {
	if w.status != 0 {
		return
	}
	w.status = status
	w.extend()
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *writer) Write(data []byte) (int, error) {
	if w.status == 0 {
		w.WriteHeader(http.StatusOK)
	}
	w.extend()
	return w.ResponseWriter.Write(data)
}

// Unwrap lets http.ResponseController reach the connection.
func (w *writer) Unwrap() http.ResponseWriter { return w.ResponseWriter }

func (w *writer) flush() error {
	return http.NewResponseController(w.ResponseWriter).Flush()
}

// extend moves the write deadline; writers of tests that have none are left alone.
func (w *writer) extend() {
	_ = http.NewResponseController(w.ResponseWriter).SetWriteDeadline(time.Now().Add(w.timeout))
}
