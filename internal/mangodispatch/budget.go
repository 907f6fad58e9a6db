package mangodispatch

import "sync"

const (
	// profileReserve and processReserve are the retries that can be saved up; they start full so that the first
	// failures after a start can be retried.
	profileReserve = 10
	processReserve = 50
)

// retryBudget allows retries in proportion to successes, per profile and for the process.
type retryBudget struct {
	mu       sync.Mutex
	ratio    float64
	process  float64
	profiles map[string]float64
}

func newBudget(ratio float64) *retryBudget {
	b := &retryBudget{ratio: ratio, profiles: map[string]float64{}}
	if ratio > 0 {
		b.process = processReserve
	}
	return b
}

func (b *retryBudget) succeed(profile string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.process = min(b.process+b.ratio, processReserve)
	b.profiles[profile] = min(b.saved(profile)+b.ratio, profileReserve)
}

func (b *retryBudget) take(profile string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	saved := b.saved(profile)
	if b.process < 1 || saved < 1 {
		return false
	}
	b.process--
	b.profiles[profile] = saved - 1
	return true
}

func (b *retryBudget) saved(profile string) float64 {
	saved, ok := b.profiles[profile]
	if !ok && b.ratio > 0 {
		return profileReserve
	}
	return saved
}
