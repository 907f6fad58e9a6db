package mangohost

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// stepAverageDivisor divides a new step time in the moving average, where its weight is 1/8.
	stepAverageDivisor = 8
	// maxStepAge is the age past which a step time is dropped. Without it a replica whose link was slow once
	// would be avoided for good, since only calls on it would bring newer times.
	maxStepAge = 10 * time.Second
)

// Meter counts calls in flight and averages step times by host; it is safe for concurrent use.
type Meter struct {
	hosts sync.Map
}

// hostCounters are the figures of one host. Times are in Unix nanoseconds, the step time in nanoseconds.
type hostCounters struct {
	inFlight      atomic.Int64
	stepTime      atomic.Int64
	stepAt        atomic.Int64
	reportedCalls atomic.Int64
	reportedAt    atomic.Int64
}

// NewMeter returns an empty meter.
func NewMeter() *Meter { return &Meter{} }

func (m *Meter) countersOf(host string) *hostCounters {
	if c, ok := m.hosts.Load(host); ok {
		return c.(*hostCounters)
	}
	c, _ := m.hosts.LoadOrStore(host, &hostCounters{})
	return c.(*hostCounters)
}

// AddInFlight changes the number of calls in flight on a host.
func (m *Meter) AddInFlight(host string, n int) { m.countersOf(host).inFlight.Add(int64(n)) }

// InFlight returns the number of calls in flight on a host.
func (m *Meter) InFlight(host string) int { return int(m.countersOf(host).inFlight.Load()) }

// AddStepTime adds the time of a decode step on a host to its average. Updates that are lost under contention are harmless.
func (m *Meter) AddStepTime(host string, took time.Duration) {
	c := m.countersOf(host)
	now := time.Now()
	old := c.stepTime.Load()
	if last := c.stepAt.Swap(now.UnixNano()); old == 0 || now.Sub(time.Unix(0, last)) > maxStepAge {
		c.stepTime.Store(int64(took))
		return
	}
	c.stepTime.Store(old + (int64(took)-old)/stepAverageDivisor)
}

// StepTime returns the average step time of a host, 0 when the latest one is older than maxStepAge.
func (m *Meter) StepTime(host string) time.Duration {
	c := m.countersOf(host)
	if time.Since(time.Unix(0, c.stepAt.Load())) > maxStepAge {
		return 0
	}
	return time.Duration(c.stepTime.Load())
}

// SetReportedLoad sets the number of running and waiting calls that a reply of the host stated.
func (m *Meter) SetReportedLoad(host string, calls int, at time.Time) {
	c := m.countersOf(host)
	c.reportedCalls.Store(int64(calls))
	c.reportedAt.Store(at.UnixNano())
}

// ReportedLoad returns the calls that the latest reply of the host stated and its time, the zero time when there was none.
func (m *Meter) ReportedLoad(host string) (calls int, at time.Time) {
	c := m.countersOf(host)
	if n := c.reportedAt.Load(); n > 0 {
		return int(c.reportedCalls.Load()), time.Unix(0, n)
	}
	return 0, time.Time{}
}

// EachInFlight calls f for each host with calls in flight.
func (m *Meter) EachInFlight(f func(host string, inFlight int)) {
	m.hosts.Range(func(k, v any) bool {
		if n := v.(*hostCounters).inFlight.Load(); n > 0 {
			f(k.(string), int(n))
		}
		return true
	})
}

// RemoveUnknown drops the counters of hosts that are not known and have no calls in flight.
func (m *Meter) RemoveUnknown(known func(host string) bool) {
	m.hosts.Range(func(k, v any) bool {
		if !known(k.(string)) && v.(*hostCounters).inFlight.Load() == 0 {
			m.hosts.Delete(k)
		}
		return true
	})
}
