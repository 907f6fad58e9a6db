package mangocall

import "sync"

const (
	// budgetRatio is the number of retries that a success pays for.
	budgetRatio = 0.2
	// budgetMost and budgetStart let the calls of a lost rack recover at once, also soon after the start.
	budgetMost  = 1000
	budgetStart = 100
)

// RetryBudget bounds retries to a proportion of successes, for the process and for each profile.
type RetryBudget struct {
	ratio, start, most float64

	mu       sync.Mutex
	process  float64
	profiles map[string]float64
}

// NewRetryBudget returns a budget that starts with a number of retries and gains a fraction of one with each success.
func NewRetryBudget(ratio, start, most float64) *RetryBudget {
	return &RetryBudget{ratio: ratio, start: start, most: most, process: start, profiles: map[string]float64{}}
}

// AddSuccess adds to the budget of the process and the profile.
func (b *RetryBudget) AddSuccess(profile string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.process = min(b.process+b.ratio, b.most)
	b.profiles[profile] = min(b.left(profile)+b.ratio, b.most)
}

// Take uses one retry and reports false when the process or the profile has none left.
func (b *RetryBudget) Take(profile string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	left := b.left(profile)
	if b.process < 1 || left < 1 {
		return false
	}
	b.process--
	b.profiles[profile] = left - 1
	return true
}

func (b *RetryBudget) left(profile string) float64 {
	if left, ok := b.profiles[profile]; ok {
		return left
	}
	return b.start
}
