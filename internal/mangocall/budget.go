package mangocall

import "sync"

const (
	// defaultRetriesPerSuccess is the number of retries that each successful call adds to the budget.
	defaultRetriesPerSuccess = 0.2
	// defaultMaxRetryBudget and defaultInitialRetryBudget let all calls of a lost rack recover at once, also soon after the
	// start of the process.
	defaultMaxRetryBudget     = 1000
	defaultInitialRetryBudget = 100
)

// RetryBudget limits retries to a proportion of successful calls, for the whole process and for each profile.
type RetryBudget struct {
	retriesPerSuccess, initial, maximum float64

	mu sync.Mutex
	// process and profiles have the retries that are left to the process and to each profile.
	process  float64
	profiles map[string]float64
}

// NewRetryBudget returns a budget that starts with the initial number of retries, gains retriesPerSuccess with each
// successful call, and holds at most the maximum.
func NewRetryBudget(retriesPerSuccess, initial, maximum float64) *RetryBudget {
	return &RetryBudget{
		retriesPerSuccess: retriesPerSuccess, initial: initial, maximum: maximum, process: initial, profiles: map[string]float64{},
	}
}

// AddSuccess counts a successful call towards the budgets of the process and the profile.
func (b *RetryBudget) AddSuccess(profile string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.process = min(b.process+b.retriesPerSuccess, b.maximum)
	b.profiles[profile] = min(b.remaining(profile)+b.retriesPerSuccess, b.maximum)
}

// Take uses one retry. It reports false, and uses none, when the process or the profile has none left.
func (b *RetryBudget) Take(profile string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	remaining := b.remaining(profile)
	if b.process < 1 || remaining < 1 {
		return false
	}
	b.process--
	b.profiles[profile] = remaining - 1
	return true
}

func (b *RetryBudget) remaining(profile string) float64 {
	if remaining, ok := b.profiles[profile]; ok {
		return remaining
	}
	return b.initial
}
