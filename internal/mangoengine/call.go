package mangoengine

import (
	"slices"
	"time"

	"mangopath.org/mangopath/pkg/mangomessage"
)

type callKey struct {
	call    string
	attempt uint32
}

// call is the state of a call on this engine, its KV cache. It is guarded by the engine's lock.
type call struct {
	key    callKey
	open   *mangomessage.Open
	stage  *stage
	next   uint32
	last   *mangomessage.StepResult
	stream *stream
	// pending is the step that waits for a batch or runs in one.
	pending *task
	// detached is when the last stream closed.
	detached time.Time
}

// stream is one connection that carries the steps of a call.
type stream struct {
	done      chan struct{}
	interrupt func()
}

// end stops the handler of the stream; it is called once, by whoever takes the stream off its call.
func (s *stream) end() {
	close(s.done)
	s.interrupt()
}

// begin answers Open and attaches the stream to the call. A stream that was attached before is ended.
func (e *Engine) begin(open *mangomessage.Open, s *stream) (*call, *mangomessage.Opened) {
	e.mu.Lock()
	defer e.mu.Unlock()
	key := callKey{open.Call, open.Attempt}
	present := e.calls[key]
	if reason := e.refusal(open, present); reason != "" {
		return nil, &mangomessage.Opened{Reason: reason}
	}
	if present != nil {
		present.detach()
	}
	if !open.Resume {
		present = &call{key: key, open: open, stage: newStage(e.placed.Model, e.placed.From, e.placed.To)}
		e.calls[key] = present
	}
	present.stream = s
	return present, &mangomessage.Opened{Accepted: true, NextPosition: present.next}
}

// refusal returns why a stream cannot open, or "".
func (e *Engine) refusal(open *mangomessage.Open, present *call) string {
	switch {
	case open.Resume && present == nil:
		return "NoState"
	case open.Resume && !sameModel(open, present.open):
		return "Mismatch"
	case open.Resume:
		return ""
	case e.leaving():
		return "Leaving"
	case e.loading != nil:
		return "Busy"
	case !e.placed.holds(open):
		return "Mismatch"
	default:
		return ""
	}
}

// holds says whether the layers and the model are exactly those asked for.
func (p LayerRange) holds(o *mangomessage.Open) bool {
	return p.loaded() && o.FromLayer == p.From && o.ToLayer == p.To && o.Model == p.Model.Name &&
		o.Version == p.Model.Version && slices.Equal(o.Adapters, p.Model.Adapters)
}

func sameModel(a, b *mangomessage.Open) bool {
	return a.Model == b.Model && a.Version == b.Version && slices.Equal(a.Adapters, b.Adapters) &&
		a.FromLayer == b.FromLayer && a.ToLayer == b.ToLayer
}

// detach ends the stream of the call, if any, and keeps the state for a resume.
func (c *call) detach() {
	if c.stream == nil {
		return
	}
	c.stream.end()
	c.stream, c.detached = nil, time.Now()
}

// release detaches the call unless another stream has taken its place.
func (e *Engine) release(c *call, s *stream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if c.stream == s {
		c.detach()
	}
}

// drop removes a call and ends its stream; the lock is held.
func (e *Engine) drop(key callKey) *call {
	c := e.calls[key]
	if c != nil {
		c.detach()
		delete(e.calls, key)
	}
	return c
}

// sweep removes calls that nobody resumed; the lock is held.
func (e *Engine) sweep(now time.Time) {
	for key, c := range e.calls {
		if c.stream == nil && now.Sub(c.detached) > keepTime {
			delete(e.calls, key)
		}
	}
}
