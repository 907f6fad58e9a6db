package mangoengine

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"google.golang.org/protobuf/proto"

	"mangopath.org/mangopath/pkg/mangomessage"
)

const (
	// maxEvents bounds the cache events that are kept; older ones are lost.
	maxEvents = 4096
	// sampleInterval is by how much a load report can be older than the lag.
	sampleInterval = 20 * time.Millisecond
)

// sampledState is a load report at the time it was taken.
type sampledState struct {
	at    time.Time
	state *mangomessage.EngineState
}

// eventLog holds cache events with the time they happened.
type eventLog struct {
	sequence uint64
	events   []*mangomessage.CacheEvent
	at       []time.Time
}

// reportLag is called with the lock held.
func (e *Engine) reportLag() time.Duration {
	if e.faults.StateLagMs > 0 {
		return time.Duration(e.faults.StateLagMs) * time.Millisecond
	}
	return e.lag
}

// runReports takes samples of the load, from which lagging reports are answered.
func (e *Engine) runReports(ctx context.Context) {
	every(ctx, sampleInterval, func() bool {
		e.mu.Lock()
		defer e.mu.Unlock()
		now := time.Now()
		e.sweep(now)
		e.samples = append(e.samples, sampledState{now, e.state()})
		e.trimSamples(now)
		return true
	})
}

// trimSamples keeps the newest sample that is as old as the lag and all later ones.
func (e *Engine) trimSamples(now time.Time) {
	limit := now.Add(-e.reportLag())
	for len(e.samples) > 1 && !e.samples[1].at.After(limit) {
		e.samples = e.samples[1:]
	}
}

// state returns the present load; the lock is held.
func (e *Engine) state() *mangomessage.EngineState {
	s := &mangomessage.EngineState{
		Host: e.host, Kind: e.kind, Role: e.role, MaxBatch: uint32(e.maxBatch), Leaving: e.leaving(),
		Running: uint32(e.streams()), Waiting: uint32(len(e.queue)),
		StepMicros: uint32(e.stepTime.Microseconds()), FencingNumber: e.fence,
	}
	if e.loading != nil {
		s.Loading = e.loading.Model.Version
	}
	if e.placed.loaded() {
		s.Model, s.Version, s.Adapters = e.placed.Model.Name, e.placed.Model.Version, e.placed.Model.Adapters
		s.FromLayer, s.ToLayer = e.placed.From, e.placed.To
	}
	return s
}

func (e *Engine) getState(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	now := time.Now()
	state := e.state()
	if e.reportLag() > 0 && len(e.samples) > 0 {
		e.trimSamples(now)
		state = proto.CloneOf(e.samples[0].state)
		state.LagMs = uint32(now.Sub(e.samples[0].at).Milliseconds())
	}
	e.mu.Unlock()
	reply(w, state)
}

// addEvent numbers an event and loses it with the share of the fault; the lock is held.
func (e *Engine) addEvent(digest string, evicted bool) {
	l := &e.events
	l.sequence++
	if rand.IntN(100) < e.faults.DropEvents {
		return
	}
	l.events = append(l.events, &mangomessage.CacheEvent{Sequence: l.sequence, PrefixDigest: digest, Evicted: evicted})
	l.at = append(l.at, time.Now())
	if drop := len(l.events) - maxEvents; drop > 0 {
		l.events, l.at = l.events[drop:], l.at[drop:]
	}
}

// getEvents returns the events that are as old as the lag. Next is the After of the next request.
func (e *Engine) getEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint("0"+r.URL.Query().Get("After"), 10, 64)
	if err != nil {
		fail(w, http.StatusBadRequest, "Invalid", "After must be a number")
		return
	}
	answer := &mangomessage.CacheEvents{Next: after}
	e.mu.Lock()
	limit := time.Now().Add(-e.reportLag())
	for i, event := range e.events.events {
		if event.Sequence > after && !e.events.at[i].After(limit) {
			answer.Events = append(answer.Events, event)
			answer.Next = event.Sequence
		}
	}
	e.mu.Unlock()
	reply(w, answer)
}

// addTrace notes the layers that ran; the lock is held.
func (e *Engine) addTrace(r *mangomessage.StepResult) {
	if e.traceLines == 0 {
		return
	}
	if len(e.trace) >= 2*e.traceLines {
		e.trace = append([]*mangomessage.TraceLine(nil), e.trace[e.traceLines:]...)
	}
	e.trace = append(e.trace, &mangomessage.TraceLine{
		Call: r.Call, Attempt: r.Attempt, Position: r.Position, Count: r.Count,
		FromLayer: r.FromLayer, ToLayer: r.ToLayer, Version: r.Version,
	})
}

func (e *Engine) getTrace(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	trace := &mangomessage.Trace{Lines: append([]*mangomessage.TraceLine(nil), e.trace...)}
	e.mu.Unlock()
	reply(w, trace)
}
