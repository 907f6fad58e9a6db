package mangodispatch

import (
	"sync"
	"time"
)

const (
	// sendTimeoutFactor times the usual time is the limit of a try; twice as much as that would leave short deadlines no
	// time for a second replica.
	sendTimeoutFactor = 4
	// minSendTimeout keeps limits above scheduling delays.
	minSendTimeout = 250 * time.Millisecond
	// estimateDecay is the share of a new time in the estimate when it is below it; longer times count at once.
	estimateDecay = 0.02
)

// answerTimes estimates the usual time of an answer by profile.
type answerTimes struct {
	mu        sync.Mutex
	estimates map[string]time.Duration
}

func newAnswerTimes() *answerTimes { return &answerTimes{estimates: map[string]time.Duration{}} }

// sendTimeout returns the time for one try; left is the time until the deadline of the call.
func (p *answerTimes) sendTimeout(profile string, left time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	usual, ok := p.estimates[profile]
	if !ok {
		return max(left/2, minSendTimeout)
	}
	return min(left, max(sendTimeoutFactor*usual, minSendTimeout))
}

func (p *answerTimes) recordAnswer(profile string, t time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	usual := p.estimates[profile]
	p.estimates[profile] = max(t, usual+time.Duration(estimateDecay*float64(t-usual)))
}

// recordTimeout doubles the next limit after a try that reached it, since the replica may have been slow and not hung.
func (p *answerTimes) recordTimeout(profile string, limit time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.estimates[profile] = max(p.estimates[profile], 2*limit/sendTimeoutFactor)
}
