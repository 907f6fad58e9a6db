package mangodeputy

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"mangopath.org/mangopath/internal/mangostate"
)

// stepInterval is the time between two looks at the state.
const stepInterval = 100 * time.Millisecond

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
type Announcer func(fence uint64, holder bool)

// Deputy is a Tenure that goes on without the store. Its methods are safe for concurrent use.
type Deputy struct {
	self     mangostate.Member
	tenure   PlacementLease
	state    State
	alone    func() bool
	announce Announcer
	logger   logrus.FieldLogger

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
	self mangostate.Member, tenure PlacementLease, state State, alone func() bool, announce Announcer, opts ...Option,
) *Deputy {
	d := &Deputy{
		self: self, tenure: tenure, state: state, alone: alone, announce: announce, logger: logrus.StandardLogger(),
		election: election{name: self.Name},
	}
	for _, o := range opts {
		o(d)
	}
	return d
}

// Holds returns the fencing number if this daemon may place layers.
func (d *Deputy) Holds() (uint64, bool) {
	if fence, ok := d.tenure.Holds(); ok {
		return fence, true
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.election.fence, d.election.acting && d.alone()
}

// Renounce gives up the right under a fencing number that a replica refused.
func (d *Deputy) Renounce(fence uint64) {
	d.tenure.Renounce(fence)
	d.mu.Lock()
	defer d.mu.Unlock()
	was := d.election.acting
	d.election.renounce(fence)
	d.report(was, "Outranked")
}

// HandleClaim takes the claim of another daemon. It never blocks.
func (d *Deputy) HandleClaim(from string, fence uint64, holder bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	was := d.election.acting
	d.election.hear(claim{name: from, fence: fence, holder: holder}, time.Now())
	d.report(was, "Claim of "+from)
}

// Run takes over and gives way until the context ends.
func (d *Deputy) Run(ctx context.Context) error {
	defer d.end()
	var claimed time.Time
	tick := time.NewTicker(stepInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case now := <-tick.C:
			in, fence := d.input()
			d.mu.Lock()
			was := d.election.acting
			acts := d.election.step(in, now)
			if !in.holds {
				fence = d.election.fence
			}
			d.report(was, "Store")
			d.mu.Unlock()
			if acts && now.Sub(claimed) >= interval(in.daemons) {
				claimed = now
				d.announce(fence, in.holds)
			}
		}
	}
}

func (d *Deputy) input() (input, uint64) {
	v := d.state.View()
	in := input{alone: d.alone(), fence: v.Fence, daemons: len(v.Members)}
	var fence uint64
	fence, in.holds = d.tenure.Holds()
	for _, m := range v.Members {
		if m.Name < d.self.Name {
			in.rank++
		}
	}
	return in, fence
}

// end gives the right up, so that another daemon takes over.
func (d *Deputy) end() {
	d.mu.Lock()
	defer d.mu.Unlock()
	was := d.election.acting
	d.election.acting = false
	d.report(was, "Stop")
}

// report logs a change between acting and not acting.
func (d *Deputy) report(was bool, reason string) {
	entry := d.logger.WithFields(logrus.Fields{"fence": d.election.fence, "reason": reason})
	switch {
	case !was && d.election.acting:
		entry.WithField("event", "deputy_began").Warn("this daemon places layers without the lease, since nobody reaches the store")
	case was && !d.election.acting:
		entry.WithField("event", "deputy_ended").Info("this daemon no longer places layers without the lease")
	}
}
