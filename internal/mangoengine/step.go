package mangoengine

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"mangopath.org/mangopath/pkg/mangomessage"
)

// queuedStep is a step that waits for a batch or runs in one.
type queuedStep struct {
	call   *callState
	step   *mangomessage.Step
	inputs []uint64
	// result receives the result. It is buffered, so that runBatches never waits for a handler. The engine's lock
	// guards the field, since a stream that resumes the call replaces the channel.
	result chan *mangomessage.StepResult
}

// isPrefill reports whether the step carries a prompt or several positions.
func (q *queuedStep) isPrefill() bool { return len(q.inputs) > 1 || q.step.Text != "" }

// enqueueStep checks a step and queues it. It returns the channel of the result, or at once a result: an error if the
// step cannot run, or the stored result if it was the last to run. A step that is still pending from an earlier stream of
// the call is not queued again; its result goes to this stream instead.
func (e *Engine) enqueueStep(
	c *callState, s *stream, step *mangomessage.Step,
) (<-chan *mangomessage.StepResult, *mangomessage.StepResult) {
	q := &queuedStep{call: c, step: step, inputs: stepInputs(step), result: make(chan *mangomessage.StepResult, 1)}
	e.mu.Lock()
	defer e.mu.Unlock()
	if c.stream != s {
		return nil, e.errorResult(step, "NoState")
	}
	if code := c.checkStep(q); code != "" {
		return nil, e.errorResult(step, code)
	}
	if c.isLastStep(step) {
		return nil, e.repeatLastResult(c)
	}
	if p := c.pendingStep; p != nil && sameStep(p.step, step) {
		p.result = q.result
		return q.result, nil
	}
	c.pendingStep = q
	e.queue = append(e.queue, q)
	select {
	case e.stepQueued <- struct{}{}:
	default:
	}
	return q.result, nil
}

// sameStep reports whether two steps have the same position and inputs.
func sameStep(a, b *mangomessage.Step) bool {
	return a.Position == b.Position && a.Count == b.Count && a.Text == b.Text &&
		slices.Equal(a.Tokens, b.Tokens) && slices.Equal(a.Hidden, b.Hidden)
}

// stepInputs returns the input of each position of a step: hidden values of the previous stage, or the embedded prompt and
// tokens in the first stage. The prompt counts only in the step at position 0.
func stepInputs(step *mangomessage.Step) []uint64 {
	if step.FromLayer > 0 {
		return decodeHidden(step.Hidden)
	}
	var inputs []uint64
	if step.Position == 0 {
		inputs = embedPrompt(step.Text)
	}
	return append(inputs, embedTokens(step.Tokens)...)
}

// checkStep returns the error code of a step that cannot run, or "". A Count of 0 is accepted, since only engines know how
// many positions a prompt takes.
func (c *callState) checkStep(q *queuedStep) string {
	step, o := q.step, c.openRequest
	switch {
	case step.Call != c.key.id || step.Attempt != c.key.attempt || step.Version != o.Version ||
		step.FromLayer != o.FromLayer || step.ToLayer != o.ToLayer:
		return "Mismatch"
	case len(q.inputs) == 0 || step.Count != 0 && int(step.Count) != len(q.inputs):
		return "Invalid"
	case c.isLastStep(step):
		return ""
	case step.Position != c.nextPosition:
		return "Gap"
	default:
		return ""
	}
}

// isLastStep reports whether the step is the one that ran last, by its position and count.
func (c *callState) isLastStep(step *mangomessage.Step) bool {
	return c.lastResult != nil && step.Position == c.lastResult.Position &&
		(step.Count == 0 || step.Count == c.lastResult.Count)
}

// repeatLastResult returns a copy of the last result with the current load. The lock must be held.
func (e *Engine) repeatLastResult(c *callState) *mangomessage.StepResult {
	result := proto.CloneOf(c.lastResult)
	e.addLoad(result)
	return result
}

// addLoad sets the load fields of a result to the current load. The lock must be held.
func (e *Engine) addLoad(r *mangomessage.StepResult) {
	r.Running, r.Waiting, r.Leaving = uint32(e.countOpenStreams()), uint32(len(e.queue)), e.isLeaving()
}

// errorResult returns a result with an error code for a step that did not run. The lock must be held.
func (e *Engine) errorResult(step *mangomessage.Step, code string) *mangomessage.StepResult {
	result := newResult(step)
	result.Error = code
	e.addLoad(result)
	return result
}

// newResult returns a result with the fields that identify the step.
func newResult(step *mangomessage.Step) *mangomessage.StepResult {
	return &mangomessage.StepResult{
		Call: step.Call, Attempt: step.Attempt, Position: step.Position, Count: step.Count,
		FromLayer: step.FromLayer, ToLayer: step.ToLayer, Version: step.Version,
	}
}

// executeStep runs a step once the duration of its batch has passed. The lock must be held. The step is checked again: since
// it was queued, its call may have been removed, or another stream may have sent the same step and it has run.
func (e *Engine) executeStep(q *queuedStep) *mangomessage.StepResult {
	c, step := q.call, q.step
	if c.pendingStep == q {
		c.pendingStep = nil
	}
	if e.calls[c.key] != c {
		return e.errorResult(step, "NoState")
	}
	if code := c.checkStep(q); code != "" {
		return e.errorResult(step, code)
	}
	if c.isLastStep(step) {
		return e.repeatLastResult(c)
	}
	outputs := c.kvCache.runLayers(q.inputs)
	result := newResult(step)
	result.Count = uint32(len(outputs))
	if e.totalLayers == 0 || step.ToLayer < e.totalLayers {
		result.Hidden = encodeHidden(outputs)
	}
	if e.totalLayers == 0 || step.ToLayer == e.totalLayers {
		result.Token, result.Text, result.End = e.loaded.Model.sample(outputs[len(outputs)-1])
	}
	c.lastResult, c.nextPosition = result, step.Position+result.Count
	e.recordTrace(result)
	return e.repeatLastResult(c)
}
