package mangoentry

import (
	"sync/atomic"
	"time"
)

// phase is where the daemon is between start and stop, and what it has in hand.
type phase struct {
	active atomic.Int64
	// end is nil until the daemon is told to stop.
	end atomic.Pointer[ending]
}

// ending has the times from which a stopping daemon begins no more streams and no more requests at all.
type ending struct{ streams, all time.Time }

func newPhase() *phase { return &phase{} }

// begin starts the stop. What arrives after its time is refused, as it would not end within the grace period.
func (p *phase) begin(streams, all time.Time) { p.end.Store(&ending{streams, all}) }

// stopping reports whether the daemon has been told to stop.
func (p *phase) stopping() bool { return p.end.Load() != nil }

// closed reports whether the daemon begins no more streams, or no more requests of other kinds.
func (p *phase) closed(stream bool) bool {
	e := p.end.Load()
	switch {
	case e == nil:
		return false
	case stream && time.Now().After(e.streams):
		return true
	default:
		return time.Now().After(e.all)
	}
}
