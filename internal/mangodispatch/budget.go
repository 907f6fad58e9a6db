package mangodispatch

import "sync"

const (
	// maxProfileRetries and maxProcessRetries bound the retries that can accumulate for a profile and for the process. Both
	// counts start at their maximum, so that the first failures after a start can be retried.
	maxProfileRetries = 10
	maxProcessRetries = 50
)

// retryBudget allows retries in proportion to successful calls, for each profile and for the whole process.
type retryBudget struct {
	mu sync.Mutex
	// perSuccess is the number of retries that a successful call adds.
	perSuccess     float64
	processRetries float64
	profileRetries map[string]float64
}

func newRetryBudget(perSuccess float64) *retryBudget {
	b := &retryBudget{perSuccess: perSuccess, profileRetries: map[string]float64{}}
	if perSuccess > 0 {
		b.processRetries = maxProcessRetries
	}
	return b
}

// recordSuccess adds to the retries of a profile and of the process after a successful call.
func (b *retryBudget) recordSuccess(profile string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.processRetries = min(b.processRetries+b.perSuccess, maxProcessRetries)
	b.profileRetries[profile] = min(b.availableRetries(profile)+b.perSuccess, maxProfileRetries)
}

// take spends one retry; it returns false if the profile or the process has none left.
func (b *retryBudget) take(profile string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	available := b.availableRetries(profile)
	if b.processRetries < 1 || available < 1 {
		return false
	}
	b.processRetries--
	b.profileRetries[profile] = available - 1
	return true
}

// availableRetries returns the retries that a profile has left. b.mu must be held.
func (b *retryBudget) availableRetries(profile string) float64 {
	available, ok := b.profileRetries[profile]
	if !ok && b.perSuccess > 0 {
		return maxProfileRetries
	}
	return available
}
