package mangoengine

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"time"
)

// runBatches takes the waiting steps, lets their time pass and replies, over and over.
func (e *Engine) runBatches(ctx context.Context) {
	for {
		batch, duration := e.take()
		if len(batch) == 0 {
			select {
			case <-e.wake:
				continue
			case <-ctx.Done():
				return
			}
		}
		if !pause(ctx, duration) || !e.finish(batch) {
			return
		}
	}
}

// take removes up to the largest batch of steps from the queue, those of high priority first, and returns the time
// that they need together.
func (e *Engine) take() ([]*task, time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	slices.SortStableFunc(e.queue, func(a, b *task) int {
		return cmp.Compare(b.call.open.Priority, a.call.open.Priority)
	})
	n := min(len(e.queue), e.maxBatch)
	batch := slices.Clone(e.queue[:n])
	e.queue = slices.Delete(e.queue, 0, n)
	duration := e.stepTime + time.Duration(e.faults.StepDelayMs)*time.Millisecond
	for _, t := range batch {
		if t.prefill() {
			duration += time.Duration(e.uncached(t)) * e.prefillTime
		}
	}
	return batch, duration
}

// uncached returns the number of positions of a prefill that the prefix cache does not hold, and remembers the prefill.
func (e *Engine) uncached(t *task) int {
	digest := t.call.open.PrefixDigest
	if digest == "" || t.step.Position != 0 {
		return len(t.inputs)
	}
	hit, evicted, added := e.cache.use(digest, t.inputs)
	if evicted != "" {
		e.addEvent(evicted, true)
	}
	if added {
		e.addEvent(digest, false)
	}
	return len(t.inputs) - hit
}

// finish runs the layers and replies. It returns false when a poison request crashed the engine.
func (e *Engine) finish(batch []*task) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if poison := e.faults.CrashOnPrompt; poison != "" {
		for _, t := range batch {
			if strings.Contains(t.step.Text, poison) {
				e.crash()
				return false
			}
		}
	}
	for _, t := range batch {
		t.result <- e.execute(t)
	}
	return true
}
