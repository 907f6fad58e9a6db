package mangoengine

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"time"
)

// runBatches takes batches from the queue, waits for the duration of each and executes it, until the context ends or the
// engine crashes.
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

// takeBatch removes up to maxBatch steps from the queue, in order of descending priority, and returns the duration of the
// batch.
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

// countUncached returns how many positions of a prefill are not in the prefix cache, and adds the prefill to the cache.
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

// executeBatch executes the steps of a batch and sends their results. It returns false if a prompt matched
// Faults.CrashOnPrompt and crashed the engine.
func (e *Engine) executeBatch(batch []*queuedStep) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if crashText := e.faults.CrashOnPrompt; crashText != "" {
		for _, q := range batch {
			if strings.Contains(q.step.Text, crashText) {
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
