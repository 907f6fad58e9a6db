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
	// maxCacheEvents bounds the number of cache events that are kept; the oldest are dropped.
	maxCacheEvents = 4096
	// sampleInterval is the time between load samples, by which a load report can be older than the lag.
	sampleInterval = 20 * time.Millisecond
)

// loadSample is a load report with the time at which it was taken.
type loadSample struct {
	takenAt time.Time
	state   *mangomessage.EngineState
}

// cacheEventLog holds the latest cache events; times[i] is when events[i] happened.
type cacheEventLog struct {
	lastSequence uint64
	events       []*mangomessage.CacheEvent
	times        []time.Time
}

// currentLag returns the lag of load reports and cache events, as set by the faults or the options. The lock must be held.
func (e *Engine) currentLag() time.Duration {
	if e.faults.StateLagMs > 0 {
		return time.Duration(e.faults.StateLagMs) * time.Millisecond
	}
	return e.reportLag
}

// runLoadSampling takes a load sample at each interval, from which lagging reports are returned, and removes expired calls.
func (e *Engine) runLoadSampling(ctx context.Context) {
	runPeriodically(ctx, sampleInterval, func() bool {
		e.mu.Lock()
		defer e.mu.Unlock()
		now := time.Now()
		e.removeExpiredCalls(now)
		e.loadSamples = append(e.loadSamples, loadSample{now, e.currentState()})
		e.dropOldSamples(now)
		return true
	})
}

// dropOldSamples drops the samples before the newest one that is at least as old as the lag.
func (e *Engine) dropOldSamples(now time.Time) {
	limit := now.Add(-e.currentLag())
	for len(e.loadSamples) > 1 && !e.loadSamples[1].takenAt.After(limit) {
		e.loadSamples = e.loadSamples[1:]
	}
}

// currentState returns a load report without lag. The lock must be held.
func (e *Engine) currentState() *mangomessage.EngineState {
	s := &mangomessage.EngineState{
		Host: e.host, Kind: e.kind, Role: e.role, MaxBatch: uint32(e.maxBatch), Leaving: e.isLeaving(),
		Running: uint32(e.countOpenStreams()), Waiting: uint32(len(e.queue)),
		StepMicros: uint32(e.stepTime.Microseconds()), FencingNumber: e.highestFencingNumber,
	}
	if e.loading != nil {
		s.Loading = e.loading.Model.Version
	}
	if e.loaded.hasLayers() {
		s.Model, s.Version, s.Adapters = e.loaded.Model.Name, e.loaded.Model.Version, e.loaded.Model.Adapters
		s.FromLayer, s.ToLayer = e.loaded.From, e.loaded.To
	}
	return s
}

func (e *Engine) getState(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	now := time.Now()
	state := e.currentState()
	if e.currentLag() > 0 && len(e.loadSamples) > 0 {
		e.dropOldSamples(now)
		state = proto.CloneOf(e.loadSamples[0].state)
		state.LagMs = uint32(now.Sub(e.loadSamples[0].takenAt).Milliseconds())
	}
	e.mu.Unlock()
	writeReply(w, state)
}

// recordCacheEvent assigns a sequence number to a cache event and records it, unless Faults.DropEvents drops it. A dropped
// event leaves a gap in the sequence. The lock must be held.
func (e *Engine) recordCacheEvent(digest string, evicted bool) {
	l := &e.cacheEvents
	l.lastSequence++
	if rand.IntN(100) < e.faults.DropEvents {
		return
	}
	l.events = append(l.events, &mangomessage.CacheEvent{Sequence: l.lastSequence, PrefixDigest: digest, Evicted: evicted})
	l.times = append(l.times, time.Now())
	if drop := len(l.events) - maxCacheEvents; drop > 0 {
		l.events, l.times = l.events[drop:], l.times[drop:]
	}
}

// getEvents returns the events with a sequence above After that are at least as old as the lag. Next is the value of After
// for the next request.
func (e *Engine) getEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint("0"+r.URL.Query().Get("After"), 10, 64)
	if err != nil {
		writeError(w, http.StatusBadRequest, "Invalid", "After must be a number")
		return
	}
	reply := &mangomessage.CacheEvents{Next: after}
	e.mu.Lock()
	limit := time.Now().Add(-e.currentLag())
	for i, event := range e.cacheEvents.events {
		if event.Sequence > after && !e.cacheEvents.times[i].After(limit) {
			reply.Events = append(reply.Events, event)
			reply.Next = event.Sequence
		}
	}
	e.mu.Unlock()
	writeReply(w, reply)
}

// recordTrace adds a trace line for a step that ran. The lock must be held.
func (e *Engine) recordTrace(r *mangomessage.StepResult) {
	if e.minTraceLines == 0 {
		return
	}
	if len(e.trace) >= 2*e.minTraceLines {
		e.trace = append([]*mangomessage.TraceLine(nil), e.trace[e.minTraceLines:]...)
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
	writeReply(w, trace)
}
