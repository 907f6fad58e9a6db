package test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestPoisonRequestStopsEarly sends a request that crashes each engine that runs its prompt, while other answers run.
// It guards against the loss of more than two engines, and against unrelated calls that are refused, broken or delayed
// because they ran on the same engines.
func TestPoisonRequestStopsEarly(t *testing.T) {
	const tokens, calls = 120, 6
	is := is.New(t)
	f, engines := newEngineProxyFleet(t, 4)
	for _, p := range engines[:4] {
		f.setStandInFaults(p.target, map[string]any{"CrashOnPrompt": "poison"})
	}
	type reply struct {
		prompt string
		answer callResult
	}
	replies := make(chan reply, calls)
	for n := range calls {
		prompt := fmt.Sprintf("unrelated %d", n)
		go func() {
			replies <- reply{prompt, requestCompletion(context.Background(), f.entryHosts[0], "tekst", prompt, tokens)}
		}()
	}
	time.Sleep(400 * time.Millisecond)
	a := requestCompletion(context.Background(), f.entryHosts[0], "tekst", "poison", tokens)
	is.True(!a.completed)
	is.Equal(a.outcome, "Rejected")
	var longest time.Duration
	for range calls {
		r := <-replies
		is.True(r.answer.completed)
		is.Equal(r.answer.text, expectedText("v1", r.prompt, tokens))
		longest = max(longest, r.answer.longestGap())
	}
	t.Logf("recovery fault=%q longest_gap_ms=%d", "poison", longest.Milliseconds())
	is.True(longest < maxGapAfterKill)
	lost := 0
	for _, p := range engines[:4] {
		select {
		case <-f.engines[p.name].exited:
			lost++
		default:
		}
	}
	is.Equal(lost, 2)
}
