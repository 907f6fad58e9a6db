package mangoentry

import (
	"sync/atomic"
	"time"
)

// phase is where the daemon is between start and stop, and what it has in hand.
type phase struct {
	active atomic.Int64
	// closes is nil until the daemon is told to stop; then it is the time from which no stream is begun.
	closes atomic.Pointer[time.Time]
}

func newPhase() *phase { return &phase{} }

// begin starts the stop; streams that arrive after a time are refused, as they would not end within the grace period.
func (p *phase) begin(closes time.Time) { p.closes.Store(&closes) }

// stopping reports whether the daemon has been told to stop.
func (p *phase) stopping() bool { return p.closes.Load() != nil }

// closed reports whether the daemon begins no more streams.
func (p *phase) closed() bool {
	t := p.closes.Load()
	return t != nil && time.Now().After(*t)
}
