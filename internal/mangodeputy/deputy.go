package mangodeputy

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"mangopath.org/mangopath/internal/mangorevision"
	"mangopath.org/mangopath/internal/mangostate"
)

// updateInterval is the time between two updates of the election.
const updateInterval = 100 * time.Millisecond

// PlacementLease tells whether this daemon may place layers, and under which fencing number.
type PlacementLease interface {
	// Holds returns the fencing number; ok is true if this daemon may place layers now.
	Holds() (fence uint64, ok bool)
	// Renounce gives up the right to place layers under a fencing number that a replica refused.
	Renounce(fence uint64)
}

// State returns the daemons and the fencing number last read from the store.
type State interface {
	View() *mangostate.View
}

// Announcer sends a claim to the other daemons: this daemon places layers under the fencing number, with or without the
// lease. It must not block.
type Announcer func(fence uint64, holdsLease bool)

// Deputy is a PlacementLease that falls back to an election among the daemons while none of them reaches the store. Its
// methods are safe for concurrent use.
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

// Option configures a Deputy.
type Option func(*Deputy)

// WithLogger sets the logger.
func WithLogger(l logrus.FieldLogger) Option { return func(d *Deputy) { d.logger = l } }

// New returns a Deputy for the daemon self. storeUnreachable reports that neither this daemon nor any daemon that it hears
// from reaches the store.
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

// Holds returns the fencing number, and true if this daemon may place layers: it holds the lease, or it is the deputy and
// the store is still unreachable.
func (d *Deputy) Holds() (uint64, bool) {
	if fence, ok := d.lease.Holds(); ok {
		return fence, true
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.election.fence, d.election.acting && d.storeUnreachable()
}

// Renounce gives up the lease or the role of deputy under a fencing number that a replica refused.
func (d *Deputy) Renounce(fence uint64) {
	d.lease.Renounce(fence)
	d.mu.Lock()
	defer d.mu.Unlock()
	wasActing := d.election.acting
	d.election.renounce(fence)
	d.logChange(wasActing, "Outranked")
}

// HandleClaim processes a claim of another daemon to place layers; this daemon may cease to be the deputy. It does not
// block.
func (d *Deputy) HandleClaim(from string, fence uint64, holdsLease bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	wasActing := d.election.acting
	d.election.handleClaim(claim{name: from, fence: fence, holdsLease: holdsLease}, time.Now())
	d.logChange(wasActing, "Claim of "+from)
}

// Run updates the election and sends claims while this daemon places layers, until the context ends.
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

// clusterState returns the input of the election, and the fencing number of the lease if this daemon holds it.
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

// stop ends the role of deputy, so that another daemon takes over once it receives no more claims.
func (d *Deputy) stop() {
	d.mu.Lock()
	defer d.mu.Unlock()
	wasActing := d.election.acting
	d.election.acting = false
	d.logChange(wasActing, "Stop")
}

// logChange logs that this daemon became the deputy or ceased to be it.
func (d *Deputy) logChange(wasActing bool, reason string) {
	entry := d.logger.WithFields(logrus.Fields{"fence": mangorevision.Text(d.election.fence), "reason": reason})
	switch {
	case !wasActing && d.election.acting:
		entry.WithField("event", "deputy_began").Warn("no daemon reaches the store: this daemon now places layers without the lease")
	case wasActing && !d.election.acting:
		entry.WithField("event", "deputy_ended").Info("this daemon no longer places layers without the lease")
	}
}
