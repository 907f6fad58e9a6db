package mangoengine

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"mangopath.org/mangopath/pkg/mangomessage"
)

// task is a step that waits for a batch.
type task struct {
	call   *call
	step   *mangomessage.Step
	inputs []uint64
	// result has room for the result, so that the batching loop never waits for a handler. It is guarded by the engine's
	// lock, since a resumed stream replaces it.
	result chan *mangomessage.StepResult
}

// prefill says whether the step carries a prompt or several positions.
func (t *task) prefill() bool { return len(t.inputs) > 1 || t.step.Text != "" }

// enqueue checks a step and queues it. A step that cannot run, or whose result was kept, is answered at once. A step
// that still waits or runs for an earlier stream of the call is not queued again; its result goes to this stream.
func (e *Engine) enqueue(
	c *call, s *stream, step *mangomessage.Step,
) (<-chan *mangomessage.StepResult, *mangomessage.StepResult) {
	t := &task{call: c, step: step, inputs: inputsOf(step), result: make(chan *mangomessage.StepResult, 1)}
	e.mu.Lock()
	defer e.mu.Unlock()
	if c.stream != s {
		return nil, e.refuse(step, "NoState")
	}
	if fault := c.fault(t); fault != "" {
		return nil, e.refuse(step, fault)
	}
	if c.ran(step) {
		return nil, e.kept(c)
	}
	if p := c.pending; p != nil && sameStep(p.step, step) {
		p.result = t.result
		return t.result, nil
	}
	c.pending = t
	e.queue = append(e.queue, t)
	select {
	case e.wake <- struct{}{}:
	default:
	}
	return t.result, nil
}

func sameStep(a, b *mangomessage.Step) bool {
	return a.Position == b.Position && a.Count == b.Count && a.Text == b.Text &&
		slices.Equal(a.Tokens, b.Tokens) && slices.Equal(a.Hidden, b.Hidden)
}

// inputsOf returns the input of each position. The prompt belongs to position 0.
func inputsOf(step *mangomessage.Step) []uint64 {
	if step.FromLayer > 0 {
		return decodeHidden(step.Hidden)
	}
	var inputs []uint64
	if step.Position == 0 {
		inputs = embedPrompt(step.Text)
	}
	return append(inputs, embedTokens(step.Tokens)...)
}

// fault returns why a step cannot run, or "". Count may be 0, since only engines know how a prompt splits.
func (c *call) fault(t *task) string {
	step, o := t.step, c.open
	switch {
	case step.Call != c.key.call || step.Attempt != c.key.attempt || step.Version != o.Version ||
		step.FromLayer != o.FromLayer || step.ToLayer != o.ToLayer:
		return "Mismatch"
	case len(t.inputs) == 0 || step.Count != 0 && int(step.Count) != len(t.inputs):
		return "Invalid"
	case c.ran(step):
		return ""
	case step.Position != c.next:
		return "Gap"
	default:
		return ""
	}
}

// ran says whether the step is the one that ran last.
func (c *call) ran(step *mangomessage.Step) bool {
	return c.last != nil && step.Position == c.last.Position && (step.Count == 0 || step.Count == c.last.Count)
}

// kept returns the result of the step that ran last with the present load; the lock is held.
func (e *Engine) kept(c *call) *mangomessage.StepResult {
	result := proto.CloneOf(c.last)
	e.stamp(result)
	return result
}

// stamp adds the present load to a result; the lock is held.
func (e *Engine) stamp(r *mangomessage.StepResult) {
	r.Running, r.Waiting, r.Leaving = uint32(e.streams()), uint32(len(e.queue)), e.leaving()
}

// refuse returns a result for a step that did not run; the lock is held.
func (e *Engine) refuse(step *mangomessage.Step, fault string) *mangomessage.StepResult {
	result := echo(step)
	result.Error = fault
	e.stamp(result)
	return result
}

// echo returns a result with the fields that repeat the step.
func echo(step *mangomessage.Step) *mangomessage.StepResult {
	return &mangomessage.StepResult{
		Call: step.Call, Attempt: step.Attempt, Position: step.Position, Count: step.Count,
		FromLayer: step.FromLayer, ToLayer: step.ToLayer, Version: step.Version,
	}
}

// execute runs a step whose batch time has passed; the lock is held. The call may have changed since it was queued: it
// may be gone, or a resumed stream may have sent the step again.
func (e *Engine) execute(t *task) *mangomessage.StepResult {
	c, step := t.call, t.step
	if c.pending == t {
		c.pending = nil
	}
	if e.calls[c.key] != c {
		return e.refuse(step, "NoState")
	}
	if fault := c.fault(t); fault != "" {
		return e.refuse(step, fault)
	}
	if c.ran(step) {
		return e.kept(c)
	}
	outputs := c.stage.run(t.inputs)
	result := echo(step)
	result.Count = uint32(len(outputs))
	if e.layers == 0 || step.ToLayer < e.layers {
		result.Hidden = encodeHidden(outputs)
	}
	if e.layers == 0 || step.ToLayer == e.layers {
		result.Token, result.Text, result.End = e.placed.Model.sample(outputs[len(outputs)-1])
	}
	c.last, c.next = result, step.Position+result.Count
	e.addTrace(result)
	return e.kept(c)
}
