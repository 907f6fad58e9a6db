package mangoengine

import (
	"slices"
	"time"

	"mangopath.org/mangopath/pkg/mangomessage"
)

// callKey identifies an attempt of a call.
type callKey struct {
	id      string
	attempt uint32
}

// callState is the state of a call on this engine: its KV cache, its progress and its stream. The engine's lock guards it.
type callState struct {
	key callKey
	// openRequest is the Open that created the call.
	openRequest  *mangomessage.Open
	kvCache      *kvCache
	nextPosition uint32
	lastResult   *mangomessage.StepResult
	stream       *stream
	// pendingStep is the step that waits for a batch or runs in one.
	pendingStep *queuedStep
	// detachedAt is when the call lost its last stream.
	detachedAt time.Time
}

// stream is an HTTP request that carries the steps of a call.
type stream struct {
	ended         chan struct{}
	interruptRead func()
}

// end stops the handler of the stream. Only detach calls it, once per stream, since a second close of ended would panic.
func (s *stream) end() {
	close(s.ended)
	s.interruptRead()
}

// attachStream checks an Open, creates the call unless it is resumed, and attaches the stream to it. A stream that was
// attached before is ended. The returned call is nil if the Open is refused.
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

// refuseOpen returns the reason why a stream cannot open, or "". The lock must be held.
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

// matches reports whether an Open asks for exactly this model, version, adapters and layers.
func (l LayerRange) matches(o *mangomessage.Open) bool {
	return l.hasLayers() && o.FromLayer == l.From && o.ToLayer == l.To && o.Model == l.Model.Name &&
		o.Version == l.Model.Version && slices.Equal(o.Adapters, l.Model.Adapters)
}

// sameModelAndLayers reports whether two Opens ask for the same model, version, adapters and layers.
func sameModelAndLayers(a, b *mangomessage.Open) bool {
	return a.Model == b.Model && a.Version == b.Version && slices.Equal(a.Adapters, b.Adapters) &&
		a.FromLayer == b.FromLayer && a.ToLayer == b.ToLayer
}

// detach ends the stream of the call, if any, and keeps the state of the call for a resume.
func (c *callState) detach() {
	if c.stream == nil {
		return
	}
	c.stream.end()
	c.stream, c.detachedAt = nil, time.Now()
}

// detachStream ends the stream unless another one has already replaced it.
func (e *Engine) detachStream(c *callState, s *stream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if c.stream == s {
		c.detach()
	}
}

// removeCall removes a call, ends its stream and returns the call, or nil if there is none. The lock must be held.
func (e *Engine) removeCall(key callKey) *callState {
	c := e.calls[key]
	if c != nil {
		c.detach()
		delete(e.calls, key)
	}
	return c
}

// removeExpiredCalls removes the calls that were not resumed within resumeTimeout. The lock must be held.
func (e *Engine) removeExpiredCalls(now time.Time) {
	for key, c := range e.calls {
		if c.stream == nil && now.Sub(c.detachedAt) > resumeTimeout {
			delete(e.calls, key)
		}
	}
}
