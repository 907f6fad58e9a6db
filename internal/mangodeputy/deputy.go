package mangodeputy

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"mangopath.org/mangopath/internal/mangostate"
)

// updateInterval is the time between two looks at the state.
const updateInterval = 100 * time.Millisecond

// PlacementLease is the right to give orders under the lease of the store.
type PlacementLease interface {
	Holds() (fence uint64, ok bool)
	Renounce(fence uint64)
}

// State returns what is known from the store.
type State interface {
	View() *mangostate.View
}

// Announcer tells the other daemons that this one places layers. It must not block.
type Announcer func(fence uint64, holdsLease bool)

// Deputy is a Tenure that goes on without the store. Its methods are safe for concurrent use.
type Deputy struct {
	self             mangostate.Member
	lease            PlacementLease
	state            State
	storeUnreachable func() bool
	announce         Announcer
	logger           logrus.FieldLogger

	mu       sync.Mutex
	election election
}

var _ PlacementLease = (*Deputy)(nil)

// Option sets a property of a Deputy.
type Option func(*Deputy)

// WithLogger sets the logger.
func WithLogger(l logrus.FieldLogger) Option { return func(d *Deputy) { d.logger = l } }

// New returns a deputy of a daemon; alone reports that neither it nor any daemon that it hears from reaches the store.
func New(
	self mangostate.Member, lease PlacementLease, state State, storeUnreachable func() bool, announce Announcer, opts ...Option,
) *Deputy {
	d := &Deputy{
		self: self, lease: lease, state: state, storeUnreachable: storeUnreachable, announce: announce, logger: logrus.StandardLogger(),
		election: election{name: self.Name},
	}
	for _, o := range opts {
		o(d)
	}
	return d
}

// Holds returns the fencing number if this daemon may place layers.
func (d *Deputy) Holds() (uint64, bool) {
	if fence, ok := d.lease.Holds(); ok {
		return fence, true
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.election.fence, d.election.acting && d.storeUnreachable()
}

// Renounce gives up the right under a fencing number that a replica refused.
func (d *Deputy) Renounce(fence uint64) {
	d.lease.Renounce(fence)
	d.mu.Lock()
	defer d.mu.Unlock()
	wasActing := d.election.acting
	d.election.renounce(fence)
	d.logChange(wasActing, "Outranked")
}

// HandleClaim takes the claim of another daemon. It never blocks.
func (d *Deputy) HandleClaim(from string, fence uint64, holdsLease bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	wasActing := d.election.acting
	d.election.handleClaim(claim{name: from, fence: fence, holdsLease: holdsLease}, time.Now())
	d.logChange(wasActing, "Claim of "+from)
}

// Run takes over and gives way until the context ends.
func (d *Deputy) Run(ctx context.Context) error {
	defer d.stop()
	var lastClaim time.Time
	tick := time.NewTicker(updateInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case now := <-tick.C:
			cs, fence := d.clusterState()
			d.mu.Lock()
			wasActing := d.election.acting
			places := d.election.update(cs, now)
			if !cs.holdsLease {
				fence = d.election.fence
			}
			d.logChange(wasActing, "Store")
			d.mu.Unlock()
			if places && now.Sub(lastClaim) >= claimInterval(cs.daemons) {
				lastClaim = now
				d.announce(fence, cs.holdsLease)
			}
		}
	}
}

func (d *Deputy) clusterState() (clusterState, uint64) {
	v := d.state.View()
	cs := clusterState{storeUnreachable: d.storeUnreachable(), fence: v.Fence, daemons: len(v.Members)}
	var fence uint64
	fence, cs.holdsLease = d.lease.Holds()
	for _, m := range v.Members {
		if m.Name < d.self.Name {
			cs.rank++
		}
	}
	return cs, fence
}

// stop gives the right up, so that another daemon takes over.
func (d *Deputy) stop() {
	d.mu.Lock()
	defer d.mu.Unlock()
	wasActing := d.election.acting
	d.election.acting = false
	d.logChange(wasActing, "Stop")
}

// logChange logs a change between acting and not acting.
func (d *Deputy) logChange(wasActing bool, reason string) {
	entry := d.logger.WithFields(logrus.Fields{"fence": d.election.fence, "reason": reason})
	switch {
	case !wasActing && d.election.acting:
		entry.WithField("event", "deputy_began").Warn("this daemon places layers without the lease, since nobody reaches the store")
	case wasActing && !d.election.acting:
		entry.WithField("event", "deputy_ended").Info("this daemon no longer places layers without the lease")
	}
}
