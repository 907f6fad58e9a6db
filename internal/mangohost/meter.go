package mangohost

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// stepWeight is the weight of a new step time in the moving average, as a divisor.
	stepWeight = 8
	// stepLife is the age past which a step time says nothing about the present. Without it a replica whose link was
	// slow once would be avoided for good, since only calls on it would bring newer times.
	stepLife = 10 * time.Second
)

// Meter counts calls in flight and averages step times by host; it is safe for concurrent use.
type Meter struct {
	hosts sync.Map
}

type counter struct {
	inFlight atomic.Int64
	step     atomic.Int64
	stepAt   atomic.Int64
	report   atomic.Int64
	reportAt atomic.Int64
}

// NewMeter returns an empty meter.
func NewMeter() *Meter { return &Meter{} }

func (m *Meter) counter(host string) *counter {
	if c, ok := m.hosts.Load(host); ok {
		return c.(*counter)
	}
	c, _ := m.hosts.LoadOrStore(host, &counter{})
	return c.(*counter)
}

// AddInFlight changes the number of calls in flight on a host.
func (m *Meter) AddInFlight(host string, n int) { m.counter(host).inFlight.Add(int64(n)) }

// InFlight returns the number of calls in flight on a host.
func (m *Meter) InFlight(host string) int { return int(m.counter(host).inFlight.Load()) }

// AddStepTime takes the time of a decode step into the average; lost updates under contention are harmless.
func (m *Meter) AddStepTime(host string, took time.Duration) {
	c := m.counter(host)
	now := time.Now()
	old := c.step.Load()
	if last := c.stepAt.Swap(now.UnixNano()); old == 0 || now.Sub(time.Unix(0, last)) > stepLife {
		c.step.Store(int64(took))
		return
	}
	c.step.Store(old + (int64(took)-old)/stepWeight)
}

// StepTime returns the average step time, 0 when no step was measured lately.
func (m *Meter) StepTime(host string) time.Duration {
	c := m.counter(host)
	if time.Since(time.Unix(0, c.stepAt.Load())) > stepLife {
		return 0
	}
	return time.Duration(c.step.Load())
}

// SetReportedLoad takes over the load that a reply of the host states.
func (m *Meter) SetReportedLoad(host string, calls int, at time.Time) {
	c := m.counter(host)
	c.report.Store(int64(calls))
	c.reportAt.Store(at.UnixNano())
}

// ReportedLoad returns the load of the latest reply and its time, the zero time when there was none.
func (m *Meter) ReportedLoad(host string) (calls int, at time.Time) {
	c := m.counter(host)
	if n := c.reportAt.Load(); n > 0 {
		return int(c.report.Load()), time.Unix(0, n)
	}
	return 0, time.Time{}
}

// EachInFlight calls f for each host with calls in flight.
func (m *Meter) EachInFlight(f func(host string, inFlight int)) {
	m.hosts.Range(func(k, v any) bool {
		if n := v.(*counter).inFlight.Load(); n > 0 {
			f(k.(string), int(n))
		}
		return true
	})
}

// RemoveUnknown drops the counters of hosts that are no longer known and carry no call.
func (m *Meter) RemoveUnknown(known func(host string) bool) {
	m.hosts.Range(func(k, v any) bool {
		if !known(k.(string)) && v.(*counter).inFlight.Load() == 0 {
			m.hosts.Delete(k)
		}
		return true
	})
}
