package mangorecovery

import "time"

// SilentOrderWait is the time for which an order is awaited from a first replica that shows no sign of life. Orders are answered
// within a few milliseconds. If the first packet is lost, a second connection is made after 40 ms, and its answer has 30 ms left.
const SilentOrderWait = 70 * time.Millisecond

// PendingOrder is what is known of an order that has no answer yet.
type PendingOrder struct {
	// FirstLost says that the first replica of the chain, to which the order was sent, has been found lost.
	FirstLost bool
	// FirstAlive says that an event that left that replica after the order has arrived, on any stream of this daemon.
	FirstAlive bool
	// Age is the time since the order.
	Age time.Duration
	// Overdue says that the next event of the stream is overdue, and CanRestart that the request may be sent again.
	Overdue, CanRestart bool
}

// Abandonment says why an order is not awaited any longer.
type Abandonment int

const (
	// NotAbandoned means that the order is still awaited.
	NotAbandoned Abandonment = iota
	// FirstLost means that the first replica is lost, so no answer can come.
	FirstLost
	// FirstSilent means that the first replica has shown no sign of life for SilentOrderWait.
	FirstSilent
)

// String returns the name as it appears in logs and metrics.
func (a Abandonment) String() string { return [...]string{"None", "FirstLost", "FirstSilent"}[a] }

// Abandon decides whether a stream stops waiting for the answer to an order and restarts. It is a pure function.
func Abandon(p PendingOrder) Abandonment {
	switch {
	case p.FirstLost:
		return FirstLost
	case p.CanRestart && p.Overdue && !p.FirstAlive && p.Age >= SilentOrderWait:
		return FirstSilent
	default:
		return NotAbandoned
	}
}
