package mangostore

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

const (
	// sparePause is the time between looks at the budget of calls that take only what is spare.
	sparePause = 20 * time.Millisecond
	// spareShare of the burst is left to other purposes.
	spareShare = 0.25
)

// WithLowPriority lets calls take only what other purposes leave of the budget. They wait as long as their context allows
// and never delay a call of another purpose.
func WithLowPriority() PurposeOption { return func(_ *Budget, s *budgeted) { s.spare = &spare{} } }

// spare takes tokens that others leave; the lock keeps two calls from taking the same one for spare.
type spare struct{ mu sync.Mutex }

func (s *spare) take(limiter *rate.Limiter) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	burst := float64(limiter.Burst())
	return limiter.Tokens() >= min(spareShare*burst+1, burst) && limiter.Allow()
}

// wait returns once a token was taken that was spare.
func (s *spare) wait(ctx context.Context, limiter *rate.Limiter) error {
	tick := time.NewTicker(sparePause)
	defer tick.Stop()
	for !s.take(limiter) {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}
