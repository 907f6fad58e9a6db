package mangorecovery

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against a stream that waits on a chain that cannot go on, restarts although its path was changed, or goes on after an
// order whose outcome is unknown.
func TestDecide(t *testing.T) {
	lost := Situation{Lost: true, Replaceable: true, CanRestart: true}
	with := func(change func(s *Situation)) Situation {
		s := lost
		change(&s)
		return s
	}
	tests := []struct {
		name string
		s    Situation
		want Step
	}{
		{"a lost stage with a replacement", lost, StepOrder},
		{"the replica answers again before the order", with(func(s *Situation) { s.Lost = false }), StepWait},
		{"no replacement", with(func(s *Situation) { s.Replaceable = false }), StepRestart},
		{"no replacement and no attempt left", with(func(s *Situation) { s.Replaceable, s.CanRestart = false, false }), StepGiveUp},
		{"second loss after a repair", with(func(s *Situation) { s.Repairs = 1 }), StepOrder},
		{"fourth loss", with(func(s *Situation) { s.Repairs = 3 }), StepRestart},
		{"begun", with(func(s *Situation) { s.Answer, s.Orders = AnswerBegun, 1 }), StepWait},
		{"done already", with(func(s *Situation) { s.Answer, s.Orders = AnswerDone, 1 }), StepWait},
		{"a part is missing", with(func(s *Situation) { s.Answer, s.Orders = AnswerPartMissing, 1 }), StepOrder},
		{"a second part is missing", with(func(s *Situation) { s.Answer, s.Orders = AnswerPartMissing, 2 }), StepOrder},
		{"a third part is missing", with(func(s *Situation) { s.Answer, s.Orders = AnswerPartMissing, 3 }), StepRestart},
		{"a part is missing and nothing replaces it", with(func(s *Situation) { s.Answer, s.Orders, s.Replaceable = AnswerPartMissing, 1, false }), StepRestart},
		{"a part is missing and the lost one is back", with(func(s *Situation) { s.Answer, s.Orders, s.Lost = AnswerPartMissing, 1, false }), StepWait},
		{"no such request", with(func(s *Situation) { s.Answer, s.Orders = AnswerNoRequest, 1 }), StepRestart},
		{"mismatch", with(func(s *Situation) { s.Answer, s.Orders = AnswerMismatch, 1 }), StepRestart},
		{"address of another replica", with(func(s *Situation) { s.Answer, s.Orders = AnswerMoved, 1 }), StepRestart},
		{"no answer", with(func(s *Situation) { s.Answer, s.Orders = AnswerUnknown, 1 }), StepRestart},
		{"no answer and the lost one is back", with(func(s *Situation) { s.Answer, s.Orders, s.Lost = AnswerUnknown, 1, false }), StepRestart},
		{"no answer and no attempt left", with(func(s *Situation) { s.Answer, s.Orders, s.CanRestart = AnswerUnknown, 1, false }), StepGiveUp},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is.New(t).Equal(Decide(tt.s), tt.want)
		})
	}
}

// Guards against restarts that leave the streams behind that are nearly complete, or let new requests go before them.
func TestRestartOrder(t *testing.T) {
	first := Stream{Service: "s", Started: true, Remaining: 0.2, Priority: 3}
	tests := []struct {
		name string
		o    Stream
		want int
	}{
		{"nearer to completion", Stream{Started: true, Remaining: 0.1, Priority: 9}, 1},
		{"further from completion", Stream{Started: true, Remaining: 0.3}, -1},
		{"more urgent at the same point", Stream{Started: true, Remaining: 0.2, Priority: 1}, 1},
		{"without an event", Stream{Remaining: 0.1}, -1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is.New(t).Equal(first.Compare(tt.o), tt.want)
		})
	}
}

// Guards against restarts that are refused for want of capacity, that overtake streams which come before them, or that keep
// their places when they have ended.
func TestQueue(t *testing.T) {
	is := is.New(t)
	q := NewQueue()
	far := q.Enter(Stream{Service: "s", Started: true, Remaining: 0.9})
	near := q.Enter(Stream{Service: "s", Started: true, Remaining: 0.1})
	other := q.Enter(Stream{Service: "other"})
	is.True(!far.Take(0.5))   // a stream nearer to completion waits
	is.True(other.Take(0.5))  // streams of another service do not wait for each other
	is.True(!near.Take(1.01)) // no capacity
	is.True(near.Take(0.9))
	is.True(far.Take(0.9))
	var more []*Turn
	for range maxPrefilling {
		more = append(more, q.Enter(Stream{Service: "s"}))
	}
	last := len(more) - 1
	for _, t := range more[:last-1] {
		is.True(t.Take(0.1))
	}
	is.True(!more[last-1].Take(0.1)) // too many prefill
	near.End()
	near.End()
	is.True(more[last-1].Take(0.1))
	is.True(!more[last].Take(0.1))
	gone := q.Enter(Stream{Service: "s", Started: true})
	is.True(!gone.Take(0.1))
	gone.End()
	far.End()
	is.True(more[last].Take(0.1))
}

// Guards against a restart that is sent without capacity because its caller waits no longer, and meanwhile holds back all
// streams that come after it.
func TestForcedRestartHoldsNobodyBack(t *testing.T) {
	is := is.New(t)
	q := NewQueue()
	near := q.Enter(Stream{Service: "s", Started: true, Remaining: 0.1})
	far := q.Enter(Stream{Service: "s", Started: true, Remaining: 0.9})
	is.True(!near.Take(1.01))
	is.True(!far.Take(0.5))
	near.Force()
	is.True(far.Take(0.5))
	near.End()
	far.End()
	is.Equal(len(q.waiting)+len(q.prefilling), 0)
}
