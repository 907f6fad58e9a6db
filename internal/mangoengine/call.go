package mangoengine

import (
	"slices"
	"time"

	"mangopath.org/mangopath/pkg/mangomessage"
)

type callKey struct {
	id      string
	attempt uint32
}

// callState is the state of a call on this engine, its KV cache. It is guarded by the engine's lock.
type callState struct {
	key          callKey
	openRequest  *mangomessage.Open
	kvCache      *kvCache
	nextPosition uint32
	lastResult   *mangomessage.StepResult
	stream       *stream
	// pending is the step that waits for a batch or runs in one.
	pendingStep *queuedStep
	// detached is when the last stream closed.
	detachedAt time.Time
}

// stream is one connection that carries the steps of a call.
type stream struct {
	ended         chan struct{}
	interruptRead func()
}

// end stops the handler of the stream; it is called once, by whoever takes the stream off its call.
func (s *stream) end() {
	close(s.ended)
	s.interruptRead()
}

// attachStream answers Open and attaches the stream to the call. A stream that was attached before is ended.
func (e *Engine) attachStream(open *mangomessage.Open, s *stream) (*callState, *mangomessage.Opened) {
	e.mu.Lock()
	defer e.mu.Unlock()
	key := callKey{open.Call, open.Attempt}
	current := e.calls[key]
	if reason := e.refuseOpen(open, current); reason != "" {
		return nil, &mangomessage.Opened{Reason: reason}
	}
	if current != nil {
		current.detach()
	}
	if !open.Resume {
		current = &callState{key: key, openRequest: open, kvCache: newKVCache(e.loaded.Model, e.loaded.From, e.loaded.To)}
		e.calls[key] = current
	}
	current.stream = s
	return current, &mangomessage.Opened{Accepted: true, NextPosition: current.nextPosition}
}

// refuseOpen returns why a stream cannot open, or "".
func (e *Engine) refuseOpen(open *mangomessage.Open, current *callState) string {
	switch {
	case open.Resume && current == nil:
		return "NoState"
	case open.Resume && !sameModelAndLayers(open, current.openRequest):
		return "Mismatch"
	case open.Resume:
		return ""
	case e.isLeaving():
		return "Leaving"
	case e.loading != nil:
		return "Busy"
	case !e.loaded.matches(open):
		return "Mismatch"
	default:
		return ""
	}
}

// matches says whether the layers and the model are exactly those asked for.
func (l LayerRange) matches(o *mangomessage.Open) bool {
	return l.hasLayers() && o.FromLayer == l.From && o.ToLayer == l.To && o.Model == l.Model.Name &&
		o.Version == l.Model.Version && slices.Equal(o.Adapters, l.Model.Adapters)
}

func sameModelAndLayers(a, b *mangomessage.Open) bool {
	return a.Model == b.Model && a.Version == b.Version && slices.Equal(a.Adapters, b.Adapters) &&
		a.FromLayer == b.FromLayer && a.ToLayer == b.ToLayer
}

// detach ends the stream of the call, if any, and keeps the state for a resume.
func (c *callState) detach() {
	if c.stream == nil {
		return
	}
	c.stream.end()
	c.stream, c.detachedAt = nil, time.Now()
}

// detachStream detaches the call unless another stream has taken its place.
func (e *Engine) detachStream(c *callState, s *stream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if c.stream == s {
		c.detach()
	}
}

// removeCall removes a call and ends its stream; the lock is held.
func (e *Engine) removeCall(key callKey) *callState {
	c := e.calls[key]
	if c != nil {
		c.detach()
		delete(e.calls, key)
	}
	return c
}

// removeExpiredCalls removes calls that nobody resumed; the lock is held.
func (e *Engine) removeExpiredCalls(now time.Time) {
	for key, c := range e.calls {
		if c.stream == nil && now.Sub(c.detachedAt) > resumeTimeout {
			delete(e.calls, key)
		}
	}
}
