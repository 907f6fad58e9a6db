package mangoentry

import "sync/atomic"

// phase is where the daemon is between start and stop, and what it has in hand.
type phase struct {
	stop   atomic.Bool
	active atomic.Int64
}

func newPhase() *phase { return &phase{} }

// stopping reports whether the daemon has been told to stop.
func (p *phase) stopping() bool { return p.stop.Load() }
