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
		batch, duration := e.takeBatch()
		if len(batch) == 0 {
			select {
			case <-e.stepQueued:
				continue
			case <-ctx.Done():
				return
			}
		}
		if !sleep(ctx, duration) || !e.executeBatch(batch) {
			return
		}
	}
}

// takeBatch removes up to the largest batch of steps from the queue, those of high priority first, and returns the time
// that they need together.
func (e *Engine) takeBatch() ([]*queuedStep, time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	slices.SortStableFunc(e.queue, func(a, b *queuedStep) int {
		return cmp.Compare(b.call.openRequest.Priority, a.call.openRequest.Priority)
	})
	n := min(len(e.queue), e.maxBatch)
	batch := slices.Clone(e.queue[:n])
	e.queue = slices.Delete(e.queue, 0, n)
	duration := e.stepTime + time.Duration(e.faults.StepDelayMs)*time.Millisecond
	for _, q := range batch {
		if q.isPrefill() {
			duration += time.Duration(e.countUncached(q)) * e.prefillTime
		}
	}
	return batch, duration
}

// countUncached returns the number of positions of a prefill that the prefix cache does not hold, and remembers the prefill.
func (e *Engine) countUncached(q *queuedStep) int {
	digest := q.call.openRequest.PrefixDigest
	if digest == "" || q.step.Position != 0 {
		return len(q.inputs)
	}
	hit, evicted, added := e.prefixCache.lookUpAndAdd(digest, q.inputs)
	if evicted != "" {
		e.recordCacheEvent(evicted, true)
	}
	if added {
		e.recordCacheEvent(digest, false)
	}
	return len(q.inputs) - hit
}

// executeBatch runs the layers and replies. It returns false when a poison request crashed the engine.
func (e *Engine) executeBatch(batch []*queuedStep) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if poison := e.faults.CrashOnPrompt; poison != "" {
		for _, q := range batch {
			if strings.Contains(q.step.Text, poison) {
				e.crash()
				return false
			}
		}
	}
	for _, q := range batch {
		q.result <- e.executeStep(q)
	}
	return true
}
