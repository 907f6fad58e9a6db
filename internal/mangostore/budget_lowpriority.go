package mangostore

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

const (
	// lowPriorityPollInterval is the time between looks at the budget of calls that take only what is spare.
	lowPriorityPollInterval = 20 * time.Millisecond
	// reservedShare of the burst is left to other purposes.
	reservedShare = 0.25
)

// WithLowPriority lets calls take only what other purposes leave of the budget. They wait as long as their context allows
// and never delay a call of another purpose.
func WithLowPriority() PurposeOption {
	return func(_ *Budget, s *purposeStore) { s.lowPriority = &lowPriority{} }
}

// lowPriority takes tokens that others leave; the lock keeps two calls from taking the same one for lowPriority.
type lowPriority struct{ mu sync.Mutex }

func (s *lowPriority) tryTake(limiter *rate.Limiter) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	burst := float64(limiter.Burst())
	return limiter.Tokens() >= min(reservedShare*burst+1, burst) && limiter.Allow()
}

// wait returns once a token was taken that was spare.
func (s *lowPriority) wait(ctx context.Context, limiter *rate.Limiter) error {
	tick := time.NewTicker(lowPriorityPollInterval)
	defer tick.Stop()
	for !s.tryTake(limiter) {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}
