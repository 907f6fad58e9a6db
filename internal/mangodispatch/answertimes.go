package mangodispatch

import (
	"sync"
	"time"
)

const (
	// sendTimeoutFactor is the timeout of a send in units of the usual answer time. With twice the factor, a call with a
	// short deadline would have no time left for a second replica.
	sendTimeoutFactor = 4
	// minSendTimeout keeps the timeout above scheduling delays.
	minSendTimeout = 250 * time.Millisecond
	// estimateDecay is the weight of a new answer time that is below the estimate. A longer one replaces the estimate.
	estimateDecay = 0.02
)

// answerTimes estimates the usual time of an answer of each profile. It is safe for concurrent use.
type answerTimes struct {
	mu        sync.Mutex
	estimates map[string]time.Duration
}

func newAnswerTimes() *answerTimes { return &answerTimes{estimates: map[string]time.Duration{}} }

// sendTimeout returns the timeout of one send; left is the time until the deadline of the call.
func (a *answerTimes) sendTimeout(profile string, left time.Duration) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	usual, ok := a.estimates[profile]
	if !ok {
		return max(left/2, minSendTimeout)
	}
	return min(left, max(sendTimeoutFactor*usual, minSendTimeout))
}

// recordAnswer updates the estimate of a profile with the time that an answer took.
func (a *answerTimes) recordAnswer(profile string, t time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	usual := a.estimates[profile]
	a.estimates[profile] = max(t, usual+time.Duration(estimateDecay*float64(t-usual)))
}

// recordTimeout doubles the timeout of the next send after a send that timed out, since the replica may have been slow
// rather than hung.
func (a *answerTimes) recordTimeout(profile string, timeout time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.estimates[profile] = max(a.estimates[profile], 2*timeout/sendTimeoutFactor)
}
