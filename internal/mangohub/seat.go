package mangohub

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"mangopath.org/mangopath/internal/mangostate"
)

const (
	// largeHostShare is the share of a processor from which a host is large. Hubs do more work than their followers, so
	// large hosts take free seats first.
	largeHostShare = 0.5
	// largeHostDelay bounds the random time that a large host waits before it takes a free seat. Others wait at least
	// smallHostDelay and up to smallHostJitter more.
	largeHostDelay  = 150 * time.Millisecond
	smallHostDelay  = 800 * time.Millisecond
	smallHostJitter = 800 * time.Millisecond
)

// Lease is a leased key of the store: the seat of a hub.
type Lease interface {
	Run(ctx context.Context) error
	// Holds returns true while this daemon holds the key.
	Holds() (fence uint64, ok bool)
	// GiveUp gives up the key if this daemon holds it.
	GiveUp(ctx context.Context)
}

// Seats are the seats of the hubs of a data centre, of which this daemon may hold one. Its methods are safe for concurrent
// use.
type Seats struct {
	leases [mangostate.SeatsPerDataCentre]Lease

	mu sync.Mutex
	// leftUntil is the time until which free seats are left to others.
	leftUntil time.Time
}

// NewSeats returns the seats with their leases, which newLease makes for a seat; eligible reports whether this daemon may
// take that seat now.
func NewSeats(newLease func(seat int, eligible func() bool) Lease) *Seats {
	s := &Seats{}
	for i := range s.leases {
		s.leases[i] = newLease(i, func() bool { return !s.holdsOther(i) && !s.leavesToOthers(time.Now()) })
	}
	return s
}

// holdsOther reports whether this daemon holds another seat.
func (s *Seats) holdsOther(seat int) bool {
	for i, l := range s.leases {
		// A seat whose lease is still being made has no holder.
		if i == seat || l == nil {
			continue
		}
		if _, ok := l.Holds(); ok {
			return true
		}
	}
	return false
}

// leavesToOthers reports whether this daemon has given up a seat within yieldTime.
func (s *Seats) leavesToOthers(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Before(s.leftUntil)
}

// GiveUp gives up the seat that this daemon holds, and leaves free seats to others for yieldTime.
func (s *Seats) GiveUp(ctx context.Context) {
	s.mu.Lock()
	s.leftUntil = time.Now().Add(yieldTime)
	s.mu.Unlock()
	for _, l := range s.leases {
		if _, ok := l.Holds(); ok {
			l.GiveUp(ctx)
		}
	}
}

// Held returns the seat that this daemon holds, or false.
func (s *Seats) Held() (int, bool) {
	for i, l := range s.leases {
		if _, ok := l.Holds(); ok {
			return i, true
		}
	}
	return 0, false
}

// IsHub reports whether this daemon holds a seat.
func (s *Seats) IsHub() bool {
	_, ok := s.Held()
	return ok
}

// Run takes and keeps a seat until the context ends, then gives it up.
func (s *Seats) Run(ctx context.Context) error {
	var group sync.WaitGroup
	for _, l := range s.leases {
		group.Go(func() { _ = l.Run(ctx) })
	}
	group.Wait()
	return ctx.Err()
}

// SeatDelay returns the time that a host with a share of a processor waits before it takes a free seat.
func SeatDelay(processorShare float64) time.Duration {
	if IsLargeHost(processorShare) {
		return rand.N(largeHostDelay)
	}
	return smallHostDelay + rand.N(smallHostJitter)
}

// IsLargeHost reports whether a host with a share of a processor is one that should hold a seat.
func IsLargeHost(processorShare float64) bool { return processorShare >= largeHostShare }
