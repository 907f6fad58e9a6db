package mangostore

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

const (
	// lowPriorityPollInterval is the interval at which a waiting low-priority call checks the budget.
	lowPriorityPollInterval = 20 * time.Millisecond
	// reservedShare is the share of the burst that low-priority calls leave to other purposes.
	reservedShare = 0.25
)

// WithLowPriority makes calls use only what other purposes leave of the budget: they wait, as long as their context allows,
// until the limiter has more tokens than the share reserved for others.
func WithLowPriority() PurposeOption {
	return func(_ *Budget, s *purposeStore) { s.lowPriority = &lowPriority{} }
}

// lowPriority takes tokens above the reserved share. The lock makes the check and the taking of a token atomic.
type lowPriority struct{ mu sync.Mutex }

// tryTake takes a token if the reserved share remains, and reports whether it did. A limiter with a burst of 1 has
// to be full.
func (p *lowPriority) tryTake(limiter *rate.Limiter) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	burst := float64(limiter.Burst())
	return limiter.Tokens() >= min(reservedShare*burst+1, burst) && limiter.Allow()
}

// wait returns nil once it has taken a token, or the error of the context.
func (p *lowPriority) wait(ctx context.Context, limiter *rate.Limiter) error {
	ticker := time.NewTicker(lowPriorityPollInterval)
	defer ticker.Stop()
	for !p.tryTake(limiter) {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}
