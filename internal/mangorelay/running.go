package mangorelay

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

// runningCalls has the calls whose handlers have not returned. It is safe for concurrent use.
type runningCalls struct {
	mu    sync.Mutex
	calls map[*Request]struct{}
}

func newRunningCalls() *runningCalls { return &runningCalls{calls: map[*Request]struct{}{}} }

// begin counts a request as running until the returned function is called.
func (r *runningCalls) begin(request *Request) (end func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls[request] = struct{}{}
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.calls, request)
	}
}

// LogUnfinished logs each request whose handler has not returned. A daemon calls it when it ends, since such a request leaves no
// other line that says how it ended.
func (r *Relay) LogUnfinished() {
	r.running.mu.Lock()
	defer r.running.mu.Unlock()
	for request := range r.running.calls {
		r.logger.WithFields(logrus.Fields{
			"event": "request_unfinished", "request": request.ID, "path": request.Path, "since_ms": time.Since(request.ArrivedAt).Milliseconds(),
		}).Warn("the daemon ends while a request still runs")
	}
}
