package mangostate

import (
	"sync/atomic"
	"time"
)

// storeDownAfter is the time after which a store that neither this daemon nor another one that it hears from has reached
// counts as down. Daemons that reach the store tell each other about once a second.
const storeDownAfter = 1900 * time.Millisecond

// Outage is a time in which the store was away, so that entries of replicas may have lapsed.
type Outage struct {
	// At is the last time at which the store is known to have been away. It was back any time after that.
	At time.Time
	// OnlyLocal says that the store was away from the data centre of this daemon only: the replicas of others reached it.
	OnlyLocal bool
}

// Contact records when this daemon, or another one that it hears from, last reached the store. It is safe for concurrent use.
type Contact struct {
	// lastSeen is the time of the last contact, in nanoseconds since start.
	lastSeen atomic.Int64
	start    time.Time
}

// NewContact returns a contact that counts as made now.
func NewContact() *Contact { return &Contact{start: time.Now()} }

// Record records that a daemon reached the store some time ago. An earlier contact than the last one changes nothing.
func (c *Contact) Record(age time.Duration) {
	at := int64(time.Since(c.start) - age)
	for {
		last := c.lastSeen.Load()
		if at <= last || c.lastSeen.CompareAndSwap(last, at) {
			return
		}
	}
}

// Age returns the time since the last contact.
func (c *Contact) Age() time.Duration {
	return time.Since(c.start) - time.Duration(c.lastSeen.Load())
}

// Down reports whether the store counts as down: nobody that this daemon hears from has reached it lately.
func (c *Contact) Down() bool { return c.Age() > storeDownAfter }
