package mangorelay

import (
	"bytes"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against streams that an operator finds under the wrong result, such as a failed upstream under refusals for lack of room.
func TestRankedResult(t *testing.T) {
	tests := []struct {
		name       string
		status     int
		outcome    string
		first, gap time.Duration
		upstream   bool
		whole      bool
		want       string
	}{
		{"on time", 200, "Delivered", time.Second, time.Second, false, true, rankedOnTime},
		{"late first event", 200, "Delivered", time.Second + 1, 0, false, true, rankedLate},
		{"late gap", 200, "Delivered", 0, time.Second + 1, false, true, rankedLate},
		{"broken off", 200, "Cut", 0, 0, false, false, rankedFailed},
		{"refused", 503, outcomeOverloaded, 0, 0, false, true, rankedRefused},
		{"an upstream's 503", 503, "UpstreamFailed", 0, 0, true, true, rankedFailed},
		{"an upstream's 503, passed on", 503, "Delivered", 0, 0, false, true, rankedFailed},
		{"caller gone", 200, "CallerGone", 0, 0, false, false, rankedCallerGone},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := shortCall(t, &bytes.Buffer{}, 2)
			c.route.GapTarget, c.status, c.outcome, c.firstEventDelay, c.longestGap = time.Second, tt.status, tt.outcome, tt.first, tt.gap
			if tt.upstream {
				c.failedAnswer = &bufferedAnswer{}
			}
			is.New(t).Equal(c.rankedResult(tt.whole), tt.want)
		})
	}
}
