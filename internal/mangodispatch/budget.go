package mangodispatch

import "sync"

const (
	// maxProfileRetries and processReserve are the retries that can be saved up; they start full so that the first
	// failures after a start can be retried.
	maxProfileRetries = 10
	maxProcessRetries = 50
)

// retryBudget allows retries in proportion to successes, per profile and for the process.
type retryBudget struct {
	mu             sync.Mutex
	perSuccess     float64
	processRetries float64
	profileRetries map[string]float64
}

func newRetryBudget(ratio float64) *retryBudget {
	b := &retryBudget{perSuccess: ratio, profileRetries: map[string]float64{}}
	if ratio > 0 {
		b.processRetries = maxProcessRetries
	}
	return b
}

func (b *retryBudget) recordSuccess(profile string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.processRetries = min(b.processRetries+b.perSuccess, maxProcessRetries)
	b.profileRetries[profile] = min(b.availableRetries(profile)+b.perSuccess, maxProfileRetries)
}

func (b *retryBudget) take(profile string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	saved := b.availableRetries(profile)
	if b.processRetries < 1 || saved < 1 {
		return false
	}
	b.processRetries--
	b.profileRetries[profile] = saved - 1
	return true
}

func (b *retryBudget) availableRetries(profile string) float64 {
	saved, ok := b.profileRetries[profile]
	if !ok && b.perSuccess > 0 {
		return maxProfileRetries
	}
	return saved
}
