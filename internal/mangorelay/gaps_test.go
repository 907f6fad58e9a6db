package mangorelay

import (
	"context"
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"mangopath.org/mangopath/internal/mangopipeline"
	"mangopath.org/mangopath/internal/mangorecovery"
	"mangopath.org/mangopath/internal/mangoreplica"
)

// Guards against a loss that is looked for only after three regular gaps, and against checks of sound chains whose events are
// irregular, become slower, or are too few to be judged.
func TestGapEstimatorLimit(t *testing.T) {
	const ms = time.Millisecond
	regular := func(gap time.Duration, n int) []time.Duration { return slices.Repeat([]time.Duration{gap}, n) }
	tests := []struct {
		name        string
		gaps        []time.Duration
		most        time.Duration
		least, upTo time.Duration
	}{
		{"no gap", nil, 60 * ms, 60 * ms, 60 * ms},
		{"seven gaps", regular(30*ms, 7), 90 * ms, 90 * ms, 90 * ms},
		{"eight regular gaps", regular(30*ms, 8), 90 * ms, 45 * ms, 45 * ms},
		{"regular, 45 ms", regular(45*ms, 40), 135 * ms, 67 * ms, 68 * ms},
		{"regular, 10 ms", regular(10*ms, 40), 60 * ms, 45 * ms, 45 * ms},
		{"regular, 180 ms", regular(180*ms, 40), 540 * ms, 270 * ms, 270 * ms},
		{"a tenth more or less", slices.Repeat([]time.Duration{27 * ms, 33 * ms}, 20), 90 * ms, 45 * ms, 47 * ms},
		{"half more or less", slices.Repeat([]time.Duration{15 * ms, 45 * ms}, 20), 90 * ms, 85 * ms, 90 * ms},
		{"one long gap of ten", slices.Repeat(append(regular(30*ms, 9), 80*ms), 4), 90 * ms, 80 * ms, 90 * ms},
		{"one long gap of fifty", append(slices.Repeat(append(regular(30*ms, 49), 60*ms), 3), regular(30*ms, 40)...), 90 * ms, 60 * ms, 65 * ms},
		{"one long gap, long ago", append(append(regular(30*ms, 20), 60*ms), regular(30*ms, 2*gapWindow)...), 90 * ms, 45 * ms, 46 * ms},
		{"twice as slow since two gaps", append(regular(30*ms, 20), 60*ms, 60*ms), 110 * ms, 80 * ms, 110 * ms},
		{"twice as slow for long", append(regular(30*ms, 20), regular(60*ms, 40)...), 180 * ms, 89 * ms, 92 * ms},
		{"the present limit is less", regular(45*ms, 8), 60 * ms, 60 * ms, 60 * ms},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var e gapEstimator
			for _, g := range tt.gaps {
				e.add(g)
			}
			if limit := e.limit(tt.most); limit < tt.least || limit > tt.upTo {
				t.Errorf("limit %v", limit)
			}
		})
	}
}

// Guards against a new chain that is checked while it prefills the tokens so far, and against a limit that is long for many gaps
// because the pause of a repair counted as one.
func TestGapEstimatorForgetsOldChain(t *testing.T) {
	is := is.New(t)
	var e gapEstimator
	at := time.Now()
	after := func(gap time.Duration, n int) {
		for range n {
			at = at.Add(gap)
			e.arrived(at, true)
		}
	}
	after(30*time.Millisecond, 21)
	is.Equal(e.limit(90*time.Millisecond), 45*time.Millisecond)
	e.restart()
	is.Equal(e.limit(90*time.Millisecond), 90*time.Millisecond)
	after(300*time.Millisecond, 1)
	after(30*time.Millisecond, minGapSamples)
	is.Equal(e.limit(90*time.Millisecond), 45*time.Millisecond)
}

// Guards against a stream whose gaps are not recorded, and against one whose limit follows the gaps between events that came out of a
// buffer behind a slow caller.
func TestGapsOfStreamAreRecorded(t *testing.T) {
	for _, waited := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			c := newStreamCall(mangoreplica.NewHealthTracker())
			recorder := httptest.NewRecorder()
			c.writer, c.control, c.inFlight = recorder, http.NewResponseController(recorder), &inFlightRequest{}
			chain := chainTarget("r", "s")
			for range 1 + minGapSamples {
				time.Sleep(30 * time.Millisecond)
				c.gaps.arrived(time.Now(), waited)
				is.NoErr(c.forwardEvents(chain, AnswerHead{Status: http.StatusOK}, []byte("data: x\n\n")))
			}
			soft, _ := (&silenceLimiter{call: c, target: chain}).silenceLimits()
			is.Equal(soft == 45*time.Millisecond, waited)
			is.Equal(soft >= gapSoft, !waited)
		})
	}
}

// Guards against replicas of a repaired chain that are checked while they prefill the tokens so far.
func TestRepairedStreamHasLimitOfNewStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newRepairTest(t, func(context.Context, []mangopipeline.Stage) (RepathAnswer, error) {
			return RepathAnswer{Answer: mangorecovery.AnswerBegun}, nil
		})
		for range minGapSamples {
			f.call.gaps.add(30 * time.Millisecond)
		}
		soft, _ := f.limiter.silenceLimits()
		is.Equal(soft, 45*time.Millisecond)
		f.lose(mangoreplica.CauseUnreachable)
		is.Equal(f.repair(t), gapSoft)
	})
}
