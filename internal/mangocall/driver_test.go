package mangocall

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"mangopath.org/mangopath/internal/mangoupstream"
	"mangopath.org/mangopath/pkg/mangomessage"
)

// textSink collects the text of an answer. It calls beforeToken, if set, with the number of tokens before it adds each one.
type textSink struct {
	strings.Builder
	tokens      int
	beforeToken func(tokens int)
}

func (s *textSink) Token(text string) error {
	s.tokens++
	if s.beforeToken != nil {
		s.beforeToken(s.tokens)
	}
	_, err := s.WriteString(text)
	return err
}

// noFaults is a faultFunc without any fault.
func noFaults(string, string, *mangomessage.Step) string { return "" }

func testCall() Call {
	return Call{
		ID: "c", Prompt: "one cat, two dogs", MaxTokens: 30, Deadline: time.Now().Add(20 * time.Second),
		Profile: &mangomessage.Profile{Name: "p", Model: "m", Version: "v", Layers: 6},
	}
}

func testDriver(fl *fakeFleet, opts ...Option) *Driver {
	all := append([]Option{
		WithStepTimeouts(2*time.Millisecond, 10*time.Millisecond, 10*time.Millisecond), WithOpenTimeout(10 * time.Millisecond),
		WithAttempts(100, 200), WithSeed(func() uint64 { return 1 }),
	}, opts...)
	return New(fl, fl, fl, all...)
}

// runTestCall runs a call on a fleet and checks that all chosen replicas were released. The clock is that of synctest, so that
// no step times out for lack of processor time.
func runTestCall(t *testing.T, fl *fakeFleet, sink *textSink, opts ...Option) (result Result, err error) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		d := testDriver(fl, opts...)
		result, err = d.Run(t.Context(), testCall(), sink)
		d.Wait()
	})
	for host, inFlight := range fl.inFlight {
		if inFlight != 0 {
			t.Errorf("%d attempts are still counted as in flight on host %s after the call", inFlight, host)
		}
	}
	return result, err
}

// faultFreeText returns the answer of a fleet without faults.
func faultFreeText(t *testing.T) string {
	t.Helper()
	sink := &textSink{}
	if _, err := runTestCall(t, newFakeFleet(1, noFaults), sink); err != nil {
		t.Fatal(err)
	}
	return sink.String()
}

// Guards against layers that are skipped, repeated or run out of order, and against tokens that are lost or sent twice,
// under random faults.
func TestRandomFaultsDoNotChangeAnswer(t *testing.T) {
	want := faultFreeText(t)
	for seed := range uint64(60) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			is := is.New(t)
			sink := &textSink{}
			result, err := runTestCall(t, newFakeFleet(6, randomFaults(seed)), sink)
			is.NoErr(err)
			is.Equal(sink.String(), want)
			is.Equal(result, Result{FinishReason: "length", Tokens: 30, Attempts: result.Attempts})
		})
	}
}

// faultsAtSteps returns a faultFunc that injects faults into the steps with the given numbers. Steps are counted from 1 over
// all stages.
func faultsAtSteps(faults map[int]string) faultFunc {
	steps := 0
	return func(op, _ string, _ *mangomessage.Step) string {
		if op != "Step" {
			return ""
		}
		steps++
		return faults[steps]
	}
}

// Guards against recoveries that need more attempts than necessary, or that change the answer.
func TestRecovery(t *testing.T) {
	want := faultFreeText(t)
	cases := []struct {
		name     string
		fault    faultFunc
		attempts int
	}{
		{"resume after a loss before the step", faultsAtSteps(map[int]string{8: "LostBefore"}), 1},
		{"resume after a loss after the step", faultsAtSteps(map[int]string{8: "LostAfter", 12: "LostAfter"}), 1},
		{"resume after a hang", faultsAtSteps(map[int]string{8: "HangAfter", 12: "HangBefore"}), 1},
		{"step that runs late", faultsAtSteps(map[int]string{8: "HangLate", 20: "HangLate"}), 1},
		{"step that runs after its attempt ended", faultsAtSteps(map[int]string{8: "HangLate", 9: "HangLate"}), 2},
		{"crash", faultsAtSteps(map[int]string{8: "Crash"}), 2},
		{"loss during recovery", faultsAtSteps(map[int]string{8: "Crash", 10: "Crash"}), 3},
		{"move", faultsAtSteps(map[int]string{8: "Leaving", 20: "Leaving"}), 1},
		{"failed move", func(op, host string, step *mangomessage.Step) string {
			if op == "Import" || op == "Step" && host[:2] == "h2" && step.GetPosition() == 20 {
				return "Leaving"
			}
			return ""
		}, 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			sink := &textSink{}
			result, err := runTestCall(t, newFakeFleet(4, c.fault), sink)
			is.NoErr(err)
			is.Equal(sink.String(), want)
			is.Equal(result.Attempts, c.attempts)
		})
	}
}

// Guards against an answer that is lost when the hosts of two stages crash at once, also if the next chain has crashed
// hosts.
func TestTwoStagesLostTogether(t *testing.T) {
	is := is.New(t)
	want, fl := faultFreeText(t), newFakeFleet(3, noFaults)
	sink := &textSink{beforeToken: func(tokens int) {
		if tokens != 5 {
			return
		}
		fl.mu.Lock()
		defer fl.mu.Unlock()
		for _, r := range fl.view.Replicas {
			if fl.inFlight[r.Host] > 0 && r.FromLayer > 0 {
				_ = fl.crash(r.Host)
			}
		}
	}}
	result, err := runTestCall(t, fl, sink)
	is.NoErr(err)
	is.Equal(sink.String(), want)
	is.True(result.Attempts >= 2)
	is.True(len(fl.crashReports) >= 1)
}

// Guards against calls that stay on a host that the chooser says is leaving.
func TestCallMovesOffLeavingHost(t *testing.T) {
	is := is.New(t)
	want, fl := faultFreeText(t), newFakeFleet(2, noFaults)
	sink := &textSink{beforeToken: func(tokens int) {
		fl.mu.Lock()
		defer fl.mu.Unlock()
		if tokens == 3 {
			for _, r := range fl.view.Replicas {
				fl.leaving[r.Host] = fl.inFlight[r.Host] > 0
			}
		}
		for host := range fl.leaving {
			if tokens > 5 && fl.leaving[host] && fl.caches[cacheKey(host, "c", 1)] != nil {
				t.Errorf("token %d: the call still has a KV cache on leaving host %s", tokens, host)
			}
		}
	}}
	result, err := runTestCall(t, fl, sink, WithMove(0, time.Second))
	is.NoErr(err)
	is.Equal(sink.String(), want)
	is.Equal(result.Attempts, 1)
}

// Guards against an error that says that a call did not run although it may have, against more retries than the budget
// allows, and against choosing chains again without end.
func TestOutcomeOfFailedCall(t *testing.T) {
	always := func(op, injected string) faultFunc {
		return func(o, _ string, _ *mangomessage.Step) string {
			if o == op {
				return injected
			}
			return ""
		}
	}
	cases := []struct {
		name      string
		cancelled bool
		fault     faultFunc
		kind      Kind
		outcome   Outcome
	}{
		{"all hosts refuse", false, always("Open", "Refuse"), KindUpstream, NotRun},
		{"cancelled before the start", true, noFaults, KindCancelled, NotRun},
		{"budget used up", false, always("Step", "HangBefore"), KindUpstream, Unknown},
		{"quarantined after a crash", false, always("Step", "Crash"), KindQuarantine, Rejected},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				fl := newFakeFleet(2, c.fault)
				d := testDriver(fl, WithRetryBudget(NewRetryBudget(0, 2, 2)), WithAttempts(100, 3), WithSuspectCheck(func(string) error {
					return &Error{Kind: KindQuarantine, Outcome: Rejected}
				}))
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				if c.cancelled {
					cancel()
				}
				result, err := d.Run(ctx, testCall(), &textSink{})
				d.Wait()
				var known *Error
				is.True(errors.As(err, &known))
				is.Equal(known.Kind, c.kind)
				is.Equal(known.Outcome, c.outcome)
				is.True(result.Attempts <= 5)
			})
		})
	}
}

// Guards against a suspect whose isolation ends before its recovery is past the position of the crash, so that a second
// crash would not identify it, and against a suspect that stays isolated for its whole answer.
func TestIsolationEndsPastCrash(t *testing.T) {
	for _, c := range []struct {
		name            string
		faults          map[int]string
		attempts        int
		isolationsEnded int
	}{
		{"crash and recovery", map[int]string{8: "Crash"}, 2, 1},
		{"second crash just after the prefill", map[int]string{8: "Crash", 13: "Crash"}, 3, 1},
		{"no crash", map[int]string{8: "LostAfter"}, 1, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			fl := newFakeFleet(6, faultsAtSteps(c.faults))
			result, err := runTestCall(t, fl, &textSink{})
			is.NoErr(err)
			is.Equal(result.Attempts, c.attempts)
			is.Equal(fl.isolationsEnded, c.isolationsEnded)
		})
	}
}

// failingStream fails all steps with one error.
type failingStream struct {
	mangoupstream.Stream
	err error
}

func (s failingStream) Step(context.Context, *mangomessage.Step) (*mangomessage.StepResult, error) {
	return nil, s.err
}

// Guards against a call that is blamed for two crashes when two hosts fail together: it was running on the first, but had
// only opened a stream to the second, and no step had reached it.
func TestHostWithoutStepIsNoCrash(t *testing.T) {
	notSent := &mangoupstream.Error{Op: "Step", Kind: mangoupstream.KindNotSent}
	lost := &mangoupstream.Error{Op: "Step", Kind: mangoupstream.KindLost}
	tests := []struct {
		name     string
		stepSent bool
		stepErr  error
		isCrash  bool
	}{
		{"broken before the first step", false, notSent, false},
		{"broken by the first step", false, lost, true},
		{"broken between two steps", true, notSent, true},
		{"broken by a later step", true, lost, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			fl := newFakeFleet(1, nil)
			e := &execution{driver: &Driver{observer: fl}, call: Call{Fingerprint: "f"}}
			stage := &attemptStage{attempt: &attempt{execution: e, startedAt: time.Now()}, replica: fl.view.Replicas[0], stream: failingStream{err: tt.stepErr}, stepSent: tt.stepSent}
			_, err := stage.sendStep(t.Context(), &mangomessage.Step{}, time.Second)
			stage.reportCrash(err, notSent)
			is.Equal(len(fl.crashReports) == 1, tt.isCrash)
			is.Equal(e.crashed, tt.isCrash)
		})
	}
}
