package mangorelay

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"mangopath.org/mangopath/internal/mangopipeline"
	"mangopath.org/mangopath/internal/mangorecovery"
	"mangopath.org/mangopath/internal/mangoreplica"
	"mangopath.org/mangopath/internal/mangostate"
)

// Guards against a stream that does not follow its changed path with a fresh limit of silence, and against one that goes on, or
// leaves too soon, after a repair that failed.
func TestResultOfRepair(t *testing.T) {
	changed := chainTarget("r", "u").stages
	begun := repairResult{step: mangorecovery.StepWait, answer: mangorecovery.AnswerBegun, orders: 1, stages: changed}
	unknown := repairResult{step: mangorecovery.StepRestart, answer: mangorecovery.AnswerUnknown, orders: 1, stages: changed}
	none := repairResult{step: mangorecovery.StepRestart}
	tests := []struct {
		name   string
		result repairResult
		cause  mangoreplica.Cause
		silent time.Duration
		// moves says that the path changes, and leaves that the send is given up.
		moves, leaves bool
		unanswered    string
	}{
		{"the path changes", begun, mangoreplica.CauseEnded, gapHard, true, false, ""},
		{"no answer", unknown, mangoreplica.CauseEnded, 0, false, true, "r"},
		{"no replacement for an ended replica", none, mangoreplica.CauseEnded, 0, false, true, ""},
		{"no replacement for an unreachable replica", none, mangoreplica.CauseUnreachable, 0, false, false, ""},
		{"the same after the soft limit", none, mangoreplica.CauseUnreachable, gapSoft, false, true, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			c := newStreamCall(mangoreplica.NewHealthTracker())
			c.started = true
			c.relay.state = fixedState{&mangostate.View{Fleet: mangoreplica.NewFleet(nil)}}
			c.relay.health.Avoid(mangoreplica.Incarnation{ID: "s"}, tt.cause, time.Minute, time.Now())
			moved, progress := 0, 0
			l := &silenceLimiter{call: c, target: chainTarget("r", "s")}
			l.target.first = l.target.stages[0].Replica
			l.repair = &pathRepair{running: true, results: make(chan repairResult, 1), move: func(target) { moved++ }, progress: func() { progress++ }}
			l.replicaLost.Store(true)
			is.True(l.remainingWait(gapHard) > 0) // the repair is not over
			l.repair.results <- tt.result
			is.Equal(l.remainingWait(tt.silent) <= 0, tt.leaves)
			is.Equal([]int{moved, progress}, []int{count(tt.moves), count(tt.moves)})
			is.Equal(mangopipeline.Chain{Stages: l.target.stages}.IDs()[1] == "u", tt.moves)
			is.Equal(c.unansweredFirst, tt.unanswered)
		})
	}
}

func count(b bool) int {
	if b {
		return 1
	}
	return 0
}
