package mangocheck

import "time"

// pauseInterval is the interval at which the clock is read; a late reading shows that the process did not run meanwhile.
const pauseInterval = 5 * time.Millisecond

// pauseMeter measures the longest time by which readings of the clock were late.
type pauseMeter struct {
	last    time.Time
	longest time.Duration
}

func (m *pauseMeter) record(now time.Time) {
	m.longest = max(m.longest, now.Sub(m.last)-pauseInterval)
	m.last = now
}

// measurePauses measures scheduling pauses of this process until the returned function is called, which returns the longest one.
func measurePauses(now time.Time) (stop func() time.Duration) {
	quit, longest := make(chan struct{}), make(chan time.Duration, 1)
	go func() {
		m := pauseMeter{last: now}
		tick := time.NewTicker(pauseInterval)
		defer tick.Stop()
		for {
			select {
			case <-tick.C:
				m.record(time.Now())
			case <-quit:
				m.record(time.Now())
				longest <- m.longest
				return
			}
		}
	}()
	return func() time.Duration {
		close(quit)
		return <-longest
	}
}
