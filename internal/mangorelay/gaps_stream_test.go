package mangorelay

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"mangopath.org/mangopath/internal/mangoconn"
	"mangopath.org/mangopath/internal/mangomemory"
	"mangopath.org/mangopath/internal/mangoreplica"
	"mangopath.org/mangopath/internal/mangostate"
)

// slowCaller is a caller that takes a time for each write.
type slowCaller struct {
	*httptest.ResponseRecorder
	delay time.Duration
}

func (w slowCaller) Write(p []byte) (int, error) {
	time.Sleep(w.delay)
	return w.ResponseRecorder.Write(p)
}

// requestCounter is a CheckRequester that counts requests.
type requestCounter struct{ n int }

func (r *requestCounter) RequestChecks([]*mangoreplica.Replica) bool {
	r.n++
	return true
}

// Guards against checks of sound replicas because this process was paused: the timer of a read ends it before the event that arrived
// meanwhile is read. Also against a process that is always late and never has replicas checked.
func TestPausedDaemonReadsBeforeChecks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c, requests := newStreamCall(mangoreplica.NewHealthTracker()), &requestCounter{}
		c.started, c.relay.chainChecks.requester, c.relay.state = true, requests, fixedState{&mangostate.View{Fleet: mangoreplica.NewFleet(nil)}}
		l := &silenceLimiter{call: c, target: chainTarget("r", "s")}
		is.Equal(l.remainingWait(0), gapSoft)
		time.Sleep(2 * gapSoft)
		is.Equal(l.remainingWait(2*gapSoft), lateReadWait)
		is.Equal(requests.n, 0)
		time.Sleep(gapSoft)
		is.Equal(l.remainingWait(3*gapSoft), silencePoll)
		is.Equal(requests.n, 1)
	})
}

// Guards against a limit of silence below a gap of the stream, and so against checks of sound replicas, because the time of writes to
// the caller, or comments between events, shorten the gaps that are recorded.
func TestGapsOfStreamAreThoseOfItsEvents(t *testing.T) {
	const ms = time.Millisecond
	tests := []struct {
		name    string
		delay   time.Duration
		comment bool
	}{
		{"fast caller", 0, false},
		{"caller takes 30 ms for each event", 30 * ms, false},
		{"comment between events", 0, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				c := newStreamCall(mangoreplica.NewHealthTracker())
				w := slowCaller{httptest.NewRecorder(), tt.delay}
				c.writer, c.control, c.started, c.inFlight = w, http.NewResponseController(w), true, &inFlightRequest{}
				c.memory = mangomemory.New(1 << 20).Open()
				c.lastEventAt, c.sendFirstEventDelay = time.Now(), ms
				body, source := io.Pipe()
				go func() {
					for range 2 * minGapSamples {
						time.Sleep(25 * ms)
						if tt.comment {
							_, _ = source.Write([]byte(": alive\n\n"))
						}
						time.Sleep(25 * ms)
						_, _ = source.Write([]byte("data: x\n\n"))
					}
					_ = source.Close()
				}()
				response := &mangoconn.Response{Response: &http.Response{Body: body}}
				c.streamAnswer(t.Context(), t.Context(), chainTarget("r"), AnswerHead{}, response, mangoconn.NewReadWaiter(func(time.Duration) time.Duration { return noLimit }))
				limit := c.gaps.limit(time.Second)
				is.True(limit >= 75*ms)
				is.True(limit < time.Second) // the gaps are recorded
			})
		})
	}
}
