package mangocall

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"mangopath.org/mangopath/internal/mangoupstream"
	"mangopath.org/mangopath/pkg/mangomessage"
)

type textSink struct {
	strings.Builder
	tokens int
	before func(tokens int)
}

func (s *textSink) Token(text string) error {
	s.tokens++
	if s.before != nil {
		s.before(s.tokens)
	}
	_, err := s.WriteString(text)
	return err
}

func quiet(string, string, *mangomessage.Step) string { return "" }

func testCall() Call {
	return Call{
		ID: "c", Prompt: "one cat, two dogs", MaxTokens: 30, Deadline: time.Now().Add(20 * time.Second),
		Profile: &mangomessage.Profile{Name: "p", Model: "m", Version: "v", Layers: 6},
	}
}

func testDriver(l *fleet, opts ...Option) *Driver {
	all := append([]Option{
		WithStepTimeouts(2*time.Millisecond, 10*time.Millisecond, 10*time.Millisecond), WithOpenTimeout(10 * time.Millisecond),
		WithAttempts(100, 200), WithSeed(func() uint64 { return 1 }),
	}, opts...)
	return New(l, l, l, all...)
}

func runOn(t *testing.T, l *fleet, sink *textSink, opts ...Option) (Result, error) {
	t.Helper()
	d := testDriver(l, opts...)
	result, err := d.Run(t.Context(), testCall(), sink)
	d.Wait()
	for host, flying := range l.flying {
		if flying != 0 {
			t.Errorf("%d places of %s were not released", flying, host)
		}
	}
	return result, err
}

func faultFree(t *testing.T) string {
	t.Helper()
	sink := &textSink{}
	if _, err := runOn(t, newFleet(1, quiet), sink); err != nil {
		t.Fatal(err)
	}
	return sink.String()
}

// Guards against layers skipped, repeated or run out of order and tokens lost or sent twice under any mix of faults.
func TestRunEqualsFaultFree(t *testing.T) {
	want := faultFree(t)
	for seed := range uint64(60) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			is := is.New(t)
			sink := &textSink{}
			result, err := runOn(t, newFleet(6, randomFaults(seed)), sink)
			is.NoErr(err)
			is.Equal(sink.String(), want)
			is.Equal(result, Result{FinishReason: "length", Tokens: 30, Attempts: result.Attempts})
		})
	}
}

// at returns a schedule with a fault at chosen steps, counted over all stages.
func at(faults map[int]string) fault {
	steps := 0
	return func(op, _ string, _ *mangomessage.Step) string {
		if op != "Step" {
			return ""
		}
		steps++
		return faults[steps]
	}
}

// Guards each way of recovery by the number of attempts that it may use.
func TestRecovery(t *testing.T) {
	want := faultFree(t)
	cases := []struct {
		name     string
		fault    fault
		attempts int
	}{
		{"resume after a loss before the step", at(map[int]string{8: "LostBefore"}), 1},
		{"resume after a loss after the step", at(map[int]string{8: "LostAfter", 12: "LostAfter"}), 1},
		{"resume after a hang", at(map[int]string{8: "HangAfter", 12: "HangBefore"}), 1},
		{"step that runs late", at(map[int]string{8: "HangLate", 20: "HangLate"}), 1},
		{"step that runs after its attempt ended", at(map[int]string{8: "HangLate", 9: "HangLate"}), 2},
		{"crash", at(map[int]string{8: "Crash"}), 2},
		{"loss during recovery", at(map[int]string{8: "Crash", 10: "Crash"}), 3},
		{"move", at(map[int]string{8: "Leaving", 20: "Leaving"}), 1},
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
			result, err := runOn(t, newFleet(4, c.fault), sink)
			is.NoErr(err)
			is.Equal(sink.String(), want)
			is.Equal(result.Attempts, c.attempts)
		})
	}
}

// Guards against an answer that is lost when two stages die at once, also when the new chain meets dead hosts.
func TestTwoStagesLostTogether(t *testing.T) {
	is := is.New(t)
	want, l := faultFree(t), newFleet(3, quiet)
	sink := &textSink{before: func(tokens int) {
		if tokens != 5 {
			return
		}
		l.mu.Lock()
		defer l.mu.Unlock()
		for _, r := range l.view.Replicas {
			if l.flying[r.Host] > 0 && r.FromLayer > 0 {
				_ = l.crash(r.Host)
			}
		}
	}}
	result, err := runOn(t, l, sink)
	is.NoErr(err)
	is.Equal(sink.String(), want)
	is.True(result.Attempts >= 2)
	is.True(len(l.crashes) >= 1)
}

// Guards against calls that stay on a host which the directory calls leaving.
func TestMovesOffLeavingHost(t *testing.T) {
	is := is.New(t)
	want, l := faultFree(t), newFleet(2, quiet)
	sink := &textSink{before: func(tokens int) {
		l.mu.Lock()
		defer l.mu.Unlock()
		if tokens == 3 {
			for _, r := range l.view.Replicas {
				l.leaving[r.Host] = l.flying[r.Host] > 0
			}
		}
		for host := range l.leaving {
			if tokens > 5 && l.leaving[host] && l.kept[keyOf(host, "c", 1)] != nil {
				t.Errorf("token %d: the call is still on %s", tokens, host)
			}
		}
	}}
	result, err := runOn(t, l, sink, WithMove(0, time.Second))
	is.NoErr(err)
	is.Equal(sink.String(), want)
	is.Equal(result.Attempts, 1)
}

// Guards against a wrong claim that a call did not run, against retries beyond the budget, and against endless refusals.
func TestOutcomes(t *testing.T) {
	always := func(op, what string) fault {
		return func(o, _ string, _ *mangomessage.Step) string {
			if o == op {
				return what
			}
			return ""
		}
	}
	gone, cancel := context.WithCancel(t.Context())
	cancel()
	cases := []struct {
		name    string
		ctx     context.Context
		fault   fault
		kind    Kind
		outcome Outcome
	}{
		{"all refuse", t.Context(), always("Open", "Refuse"), KindUpstream, NotRun},
		{"caller gone before", gone, quiet, KindCancelled, NotRun},
		{"budget used up", t.Context(), always("Step", "HangBefore"), KindUpstream, Unknown},
		{"crashes its hosts", t.Context(), always("Step", "Crash"), KindQuarantine, Rejected},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			l := newFleet(2, c.fault)
			d := testDriver(l, WithRetryBudget(NewRetryBudget(0, 2, 2)), WithAttempts(100, 3), WithSuspectCheck(func(string) error {
				return &Error{Kind: KindQuarantine, Outcome: Rejected}
			}))
			result, err := d.Run(c.ctx, testCall(), &textSink{})
			d.Wait()
			var known *Error
			is.True(errors.As(err, &known))
			is.Equal(known.Kind, c.kind)
			is.Equal(known.Outcome, c.outcome)
			is.True(result.Attempts <= 5)
		})
	}
}

// Guards against a suspect that is let go before its recovery has passed the crash, which would hide a second crash, and
// against one that is held apart for its whole answer.
func TestSuspectPassesCrash(t *testing.T) {
	for _, c := range []struct {
		name    string
		faults  map[int]string
		attempt int
		passed  int
	}{
		{"crash and recovery", map[int]string{8: "Crash"}, 2, 1},
		{"second crash just after the prefill", map[int]string{8: "Crash", 13: "Crash"}, 3, 1},
		{"no crash", map[int]string{8: "LostAfter"}, 1, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			l := newFleet(6, at(c.faults))
			result, err := runOn(t, l, &textSink{})
			is.NoErr(err)
			is.Equal(result.Attempts, c.attempt)
			is.Equal(l.passed, c.passed)
		})
	}
}

// stubStream fails all steps with one error.
type stubStream struct {
	mangoupstream.Stream
	err error
}

func (s stubStream) Step(context.Context, *mangomessage.Step) (*mangomessage.StepResult, error) {
	return nil, s.err
}

// Guards against a call that is condemned because two hosts ended together: it was aboard the first, and had only opened
// the second one, to which no step of it had left yet.
func TestOpenedHostIsNoCrash(t *testing.T) {
	notSent := &mangoupstream.Error{Op: "Step", Kind: mangoupstream.KindNotSent}
	lost := &mangoupstream.Error{Op: "Step", Kind: mangoupstream.KindLost}
	tests := []struct {
		name    string
		stepped bool
		step    error
		crash   bool
	}{
		{"broken before the first step", false, notSent, false},
		{"broken by the first step", false, lost, true},
		{"broken between two steps", true, notSent, true},
		{"broken by a later step", true, lost, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			l := newFleet(1, nil)
			r := &run{driver: &Driver{observer: l}, call: Call{Fingerprint: "f"}}
			leg := &leg{attempt: &attempt{run: r, began: time.Now()}, replica: l.view.Replicas[0], stream: stubStream{err: tt.step}, stepped: tt.stepped}
			_, err := leg.try(t.Context(), &mangomessage.Step{}, time.Second)
			leg.reportCrash(err, notSent)
			is.Equal(len(l.crashes) == 1, tt.crash)
			is.Equal(r.crashed, tt.crash)
		})
	}
}
