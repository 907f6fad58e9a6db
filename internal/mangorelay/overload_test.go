package mangorelay

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"mangopath.org/mangopath/internal/mangoreplica"
	"mangopath.org/mangopath/internal/mangoroute"
)

// Guards against a queue in which every request is late, against callers that return and are refused again while they can
// still be served, and against refusals of streams that have no queue before them.
func TestShouldShed(t *testing.T) {
	tests := []struct {
		name     string
		kind     mangoroute.Kind
		patience time.Duration
		waiting  time.Duration
		random   float64
		want     bool
	}{
		{"no queue", mangoroute.Stream, 20 * time.Second, 0, 0, false},
		{"within the target", mangoroute.Stream, 20 * time.Second, 450 * time.Millisecond, 0, false},
		{"somewhat late, some are refused", mangoroute.Stream, 20 * time.Second, 700 * time.Millisecond, 0.1, true},
		{"somewhat late, some are not", mangoroute.Stream, 20 * time.Second, 700 * time.Millisecond, 0.9, false},
		{"very late", mangoroute.Stream, 20 * time.Second, 1100 * time.Millisecond, 0.99, true},
		{"a returning caller", mangoroute.Stream, 17 * time.Second, 900 * time.Millisecond, 0, false},
		{"a returning caller that would leave", mangoroute.Stream, 17 * time.Second, 1700 * time.Millisecond, 0.99, true},
		{"a plain request", mangoroute.Idempotent, 20 * time.Second, 5 * time.Second, 0, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				c := newStreamCall(mangoreplica.NewHealthTracker())
				c.route = &mangoroute.Route{Kind: tt.kind, LatencyTarget: 500 * time.Millisecond, Timeout: 20 * time.Second}
				c.request.CallerTimeout = tt.patience
				c.relay.random = func() float64 { return tt.random }
				began := time.Now().Add(-tt.waiting)
				for range 3 {
					c.relay.delays.Begin(c.serviceName, "a", began)
				}
				is.Equal(c.shouldShed(chainTarget("r", "s")), tt.want)
				is.True(c.shedRetryAfter() >= shedRetryAfterMin && c.shedRetryAfter() <= shedRetryAfterMin+shedRetryAfterSpread)
			})
		})
	}
}
