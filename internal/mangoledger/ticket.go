package mangoledger

import (
	"sync/atomic"
	"time"
)

// Ticket is the permission to dispatch a call once before a deadline, which Begin gives after it wrote the Started record.
type Ticket struct {
	Customer string
	Key      string
	Digest   string
	// Attempt is the random id of this attempt in the record.
	Attempt  string
	storeKey string
	version  uint64
	leaseID  uint64
	deadline time.Time
	used     atomic.Bool
}

// Deadline returns the time, on the monotonic clock, before which the call must be dispatched.
func (t *Ticket) Deadline() time.Time { return t.deadline }

// MayDispatch returns true at most once, and only before the deadline. It must be called immediately before the send.
func (t *Ticket) MayDispatch(now time.Time) bool {
	return now.Before(t.deadline) && t.used.CompareAndSwap(false, true)
}
