package mangodispatch

import (
	"sync"
	"time"
)

const (
	// paceFactor times the usual time is the limit of a try; twice as much as that would leave short deadlines no
	// time for a second replica.
	paceFactor = 4
	// minTry keeps limits above scheduling delays.
	minTry = 250 * time.Millisecond
	// paceDecay is the share of a new time in the estimate when it is below it; longer times count at once.
	paceDecay = 0.02
)

// pace estimates the usual time of an answer by profile.
type pace struct {
	mu    sync.Mutex
	usual map[string]time.Duration
}

func newPace() *pace { return &pace{usual: map[string]time.Duration{}} }

// limit returns the time for one try; left is the time until the deadline of the call.
func (p *pace) limit(profile string, left time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	usual, ok := p.usual[profile]
	if !ok {
		return max(left/2, minTry)
	}
	return min(left, max(paceFactor*usual, minTry))
}

func (p *pace) took(profile string, t time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	usual := p.usual[profile]
	p.usual[profile] = max(t, usual+time.Duration(paceDecay*float64(t-usual)))
}

// cut doubles the next limit after a try that reached it, since the replica may have been slow and not hung.
func (p *pace) cut(profile string, limit time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.usual[profile] = max(p.usual[profile], 2*limit/paceFactor)
}
