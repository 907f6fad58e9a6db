package mangoliveness

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"mangopath.org/mangopath/internal/mangoreplica"
	"mangopath.org/mangopath/internal/mangostate"
)

const (
	// watchers is the number of daemons that monitor a replica; one of them may be cut off from it.
	watchers = 2
	// interval is the time between two looks at the replicas to monitor; a change of the state comes before it.
	interval = 2 * time.Second
	// dialTimeout is far above the round trip within a region.
	dialTimeout = 300 * time.Millisecond
	// redialPause is the time before a replica that could not be reached is tried again, and redialSpread its random part.
	redialPause  = time.Second
	redialSpread = 500 * time.Millisecond
	// shortLife is the life of a connection from which the next one follows at once; two shorter ones in a row make it wait,
	// so that a replica that accepts and closes connections is not flooded with them.
	shortLife = time.Second
)

// State returns what is known from the store.
type State interface {
	View() *mangostate.View
}

// Monitor watches replicas. Run owns it.
type Monitor struct {
	self    mangostate.Member
	state   State
	changed <-chan struct{}
	suspect func(r *mangoreplica.Replica)
	logger  logrus.FieldLogger

	running map[mangoreplica.Incarnation]context.CancelFunc
	group   sync.WaitGroup
}

// Option sets a property of a Monitor.
type Option func(*Monitor)

// WithLogger sets the logger.
func WithLogger(l logrus.FieldLogger) Option { return func(m *Monitor) { m.logger = l } }

// New returns a monitor of a daemon. Suspect is called when the process of a replica seems to have ended; it must not block.
func New(
	self mangostate.Member, state State, changed <-chan struct{}, suspect func(r *mangoreplica.Replica), opts ...Option,
) *Monitor {
	m := &Monitor{
		self: self, state: state, changed: changed, suspect: suspect, logger: logrus.StandardLogger(),
		running: map[mangoreplica.Incarnation]context.CancelFunc{},
	}
	for _, o := range opts {
		o(m)
	}
	return m
}

// Run monitors replicas until the context ends.
func (m *Monitor) Run(ctx context.Context) error {
	defer m.group.Wait()
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for {
		m.update(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		case <-m.changed:
		}
	}
}

// update starts and stops watching according to the state.
func (m *Monitor) update(ctx context.Context) {
	wanted := m.wanted(m.state.View())
	for i, stop := range m.running {
		if wanted[i] == nil {
			stop()
			delete(m.running, i)
		}
	}
	for i, r := range wanted {
		if m.running[i] != nil {
			continue
		}
		watching, stop := context.WithCancel(ctx)
		m.running[i] = stop
		m.group.Go(func() { m.watch(watching, r) })
	}
}

// wanted returns the replicas of split models that this daemon watches.
func (m *Monitor) wanted(v *mangostate.View) map[mangoreplica.Incarnation]*mangoreplica.Replica {
	wanted := map[mangoreplica.Incarnation]*mangoreplica.Replica{}
	if v.Table == nil {
		return wanted
	}
	for name, s := range v.Table.Services() {
		if !s.Split() {
			continue
		}
		for _, r := range v.Fleet.ByService(name) {
			if r.Layers.Len() > 0 && m.mine(r.ID, v.Members) {
				wanted[r.Incarnation()] = r
			}
		}
	}
	return wanted
}

// mine reports whether this daemon is one of the watchers of a replica: those with the lowest hashes of daemon and replica.
func (m *Monitor) mine(replica string, members []mangostate.Member) bool {
	own, lower := rank(m.self.Name, replica), 0
	for _, o := range members {
		if o.Name != m.self.Name && rank(o.Name, replica) < own {
			lower++
		}
	}
	return lower < watchers
}

func rank(daemon, replica string) uint64 { return xxhash.Sum64String(daemon + "\x00" + replica) }

// watch keeps a connection to a replica until the context ends.
func (m *Monitor) watch(ctx context.Context, r *mangoreplica.Replica) {
	watched, short := false, false
	for ctx.Err() == nil {
		conn, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "tcp", r.Address)
		if err != nil {
			if ctx.Err() == nil && watched && errors.Is(err, syscall.ECONNREFUSED) {
				m.logger.WithFields(logrus.Fields{"event": "replica_ended", "replica": r.ID, "address": r.Address}).
					WithError(err).Warn("the process of a replica has ended")
				m.suspect(r)
			}
			watched = false
			pause(ctx, redialPause+rand.N(redialSpread))
			continue
		}
		watched = true
		began := time.Now()
		await(ctx, conn)
		lived := time.Since(began)
		if short && lived < shortLife {
			pause(ctx, redialPause+rand.N(redialSpread))
		}
		short = lived < shortLife
	}
}

// await blocks until the other end closes the connection or the context ends.
func await(ctx context.Context, conn net.Conn) {
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	// A replica sends nothing without a request, so any result of the read ends the connection.
	var b [1]byte
	_, _ = conn.Read(b[:])
	_ = conn.Close()
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
