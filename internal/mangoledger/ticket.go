package mangoledger

import (
	"sync/atomic"
	"time"
)

// Ticket allows its holder one dispatch of a call before the deadline.
type Ticket struct {
	Customer string
	Key      string
	Digest   string
	// Attempt is the random id in the record.
	Attempt  string
	storeKey string
	version  uint64
	leaseID  uint64
	deadline time.Time
	used     atomic.Bool
}

// Deadline returns the last time of a dispatch, on the monotonic clock.
func (t *Ticket) Deadline() time.Time { return t.deadline }

// MayDispatch returns true at most once, and only before the deadline; it is called immediately before the send.
func (t *Ticket) MayDispatch(now time.Time) bool {
	return now.Before(t.deadline) && t.used.CompareAndSwap(false, true)
}
