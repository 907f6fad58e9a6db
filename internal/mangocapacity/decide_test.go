package mangocapacity

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"mangopath.org/mangopath/internal/mangoroute"
)

// rank returns the class of new callers with a priority.
func rank(priority int) Class { return Class{Rank: mangoroute.Rank{Priority: priority}} }

// returningOf returns the class of the returning callers of a class.
func returningOf(c Class) Class {
	c.Returning = true
	return c
}

// shortView returns a view in which 100 tokens are in use of 100, and each of the classes needs a number of tokens.
func shortView(tokens map[Class]float64) View {
	v := View{Sites: []Site{{DataCentre: "a", Capacity: 100, Used: 100}}, StepTime: time.Second}
	for _, c := range []Class{returningOf(rank(0)), rank(0), returningOf(rank(1)), rank(1)} {
		if tokens[c] > 0 {
			v.Demand = append(v.Demand, ClassDemand{Class: c, Demand: Demand{Requests: 1, Tokens: tokens[c], PromptTokens: tokens[c], TokenSteps: tokens[c]}})
		}
	}
	return v
}

// Guards against refusals while there is room, against ranks that are served in the wrong order, and against classes that starve.
func TestDecide(t *testing.T) {
	urgent, late, lateReturning := rank(0), rank(1), returningOf(rank(1))
	with := func(v View, change func(v *View)) View {
		change(&v)
		return v
	}
	request := Request{Class: late, Work: Work{Tokens: 1, PromptTokens: 1}, Target: 500 * time.Millisecond, TimeLeft: 20 * time.Second}
	of := func(c Class) Request {
		r := request
		r.Class = c
		return r
	}
	tests := []struct {
		name     string
		view     View
		request  Request
		reason   Reason
		low, top float64
	}{
		{"room for all demand", shortView(map[Class]float64{urgent: 40, late: 40}), request, ReasonRoom, 1, 1},
		{"no view", with(shortView(map[Class]float64{late: 900}), func(v *View) { v.Age = MaxAge + 1 }), request, ReasonNoView, 1, 1},
		{"no whole data centre", with(shortView(map[Class]float64{late: 900}), func(v *View) { v.Sites = nil }), request, ReasonNoView, 1, 1},
		{"under half of the memory in use", with(shortView(map[Class]float64{late: 900}), func(v *View) { v.Sites[0].Used = 49 }), request, ReasonRoom, 1, 1},
		{"the urgent are served whole", shortView(map[Class]float64{urgent: 60, late: 100}), of(urgent), ReasonRoom, 1, 1},
		{"the others get the rest", shortView(map[Class]float64{urgent: 60, late: 100}), request, ReasonMemory, 0.3, 0.34},
		{"returning callers go before new ones", shortView(map[Class]float64{urgent: 60, lateReturning: 20, late: 80}), of(lateReturning), ReasonRoom, 1, 1},
		{"new callers go behind", shortView(map[Class]float64{urgent: 60, lateReturning: 20, late: 80}), request, ReasonMemory, 0.14, 0.17},
		{"no rank starves", shortView(map[Class]float64{urgent: 300, late: 100}), request, ReasonMemory, 0.1, 0.1},
		{"the floors of a flood leave half of the room", shortView(map[Class]float64{urgent: 100, late: 9900}), of(urgent), ReasonMemory, 0.46, 0.47},
		{"a large request is not refused more often", shortView(map[Class]float64{urgent: 60, late: 100}), func() Request {
			r := request
			r.Tokens = 1000
			return r
		}(), ReasonMemory, 0.34, 0.4},
		{"prompts are read too slowly", with(shortView(map[Class]float64{urgent: 30, late: 30}), func(v *View) {
			v.Sites[0].Read, v.Sites[0].Wait = 40, 425*time.Millisecond
		}), request, ReasonReading, 0.1, 0.3},
		{"another data centre reads in time", with(shortView(map[Class]float64{urgent: 30, late: 30}), func(v *View) {
			v.Sites[0].Read, v.Sites[0].Wait = 40, 300*time.Millisecond
			v.Sites = append(v.Sites, Site{DataCentre: "b"})
		}), request, ReasonRoom, 1, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			d := Decide(tt.view, tt.request)
			is.Equal(d.Reason, tt.reason)
			is.True(d.Share >= tt.low && d.Share <= tt.top)
			for _, random := range []float64{0, 0.5, 0.999} {
				tt.request.Random = random
				is.Equal(Decide(tt.view, tt.request).Admit, random < d.Share)
			}
		})
	}
}

// Guards against callers that are told a time at which they have left or nothing has changed, or all the same time.
func TestRetryAfter(t *testing.T) {
	urgent, late := rank(0), rank(1)
	tests := []struct {
		name     string
		demand   map[Class]float64
		left     time.Duration
		random   float64
		min, max time.Duration
	}{
		{"the backlog at the rate", map[Class]float64{urgent: 60, late: 50}, 60 * time.Second, 0.9, 3 * time.Second, 5 * time.Second},
		{"a long one", map[Class]float64{urgent: 60, late: 900}, 60 * time.Second, 0.9, 6 * time.Second, 10 * time.Second},
		{"a third of the time left", map[Class]float64{urgent: 60, late: 900}, 6 * time.Second, 0.9, 1200 * time.Millisecond, 2 * time.Second},
		{"hardly any time left", map[Class]float64{urgent: 60, late: 900}, time.Second, 0.9, 200 * time.Millisecond, time.Second / 3},
		{"no deadline", map[Class]float64{urgent: 60, late: 900}, 0, 0.9, 6 * time.Second, 10 * time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			r := Request{Class: late, Work: Work{Tokens: 1}, TimeLeft: tt.left, Random: tt.random}
			d := Decide(shortView(tt.demand), r)
			is.True(!d.Admit)
			is.True(d.RetryAfter >= tt.min && d.RetryAfter <= tt.max)
			r.Random = 0.999
			is.True(Decide(shortView(tt.demand), r).RetryAfter < d.RetryAfter)
		})
	}
	is := is.New(t)
	v := shortView(map[Class]float64{late: 10})
	v.Sites[0].Wait = 3 * time.Second
	d := Decide(v, Request{Class: late, TimeLeft: 2 * time.Second})
	is.True(!d.Admit && d.Reason == ReasonDeadline)
}
