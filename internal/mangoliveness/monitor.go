package mangoliveness

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"mangopath.org/mangopath/internal/mangoreplica"
	"mangopath.org/mangopath/internal/mangostate"
)

const (
	// monitorsPerReplica is the number of daemons that monitor a replica: two, since one may be cut off from it.
	monitorsPerReplica = 2
	// updateInterval is the longest time between two updates of the monitored replicas; a change of the state causes one at
	// once.
	updateInterval = 2 * time.Second
	// dialTimeout bounds a dial; it is far above the round-trip time within a region.
	dialTimeout = 300 * time.Millisecond
	// redialPause is the time before a replica that could not be reached is dialled again, plus a random time up to
	// redialJitter.
	redialPause  = time.Second
	redialJitter = 500 * time.Millisecond
	// shortConnLifetime is the lifetime below which a connection counts as short. After two short ones in a row the next dial
	// waits for redialPause, so that a replica that accepts and closes connections is not flooded with dials.
	shortConnLifetime = time.Second
	// Keep-alive probes end the idle connection to a replica that does not answer within 3 s. Whole seconds are the smallest
	// unit that the kernel knows, and a single probe may get lost.
	probeInterval = time.Second
	probeCount    = 2
)

// State returns what is known from the store.
type State interface {
	View() *mangostate.View
}

// Monitor watches the processes of the replicas that are assigned to its daemon. Run owns it.
type Monitor struct {
	self        mangostate.Member
	state       State
	changed     <-chan struct{}
	reportEnded func(r *mangoreplica.Replica)
	// reportSilent is called when a replica stops answering.
	reportSilent func(r *mangoreplica.Replica)
	dial         func(ctx context.Context, address string) (net.Conn, error)
	logger       logrus.FieldLogger

	// cancels has the functions that end the monitoring of replicas.
	cancels map[mangoreplica.Incarnation]context.CancelFunc
	group   sync.WaitGroup
}

// Option sets a property of a Monitor.
type Option func(*Monitor)

// WithLogger sets the logger of ended processes.
func WithLogger(l logrus.FieldLogger) Option { return func(m *Monitor) { m.logger = l } }

// WithSilenceHandler sets the function that is called when a connection to a replica has ended and the next one gets no answer. It
// must not block.
func WithSilenceHandler(f func(r *mangoreplica.Replica)) Option {
	return func(m *Monitor) { m.reportSilent = f }
}

// dialProbed dials a connection with keep-alive probes.
func dialProbed(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{
		Timeout: dialTimeout, KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeInterval, Interval: probeInterval, Count: probeCount},
	}
	return d.DialContext(ctx, "tcp", address)
}

// New returns the monitor of a daemon. A signal on changed makes it update its replicas. It calls reportEnded when the
// process of a replica seems to have ended; reportEnded must not block.
func New(
	self mangostate.Member, state State, changed <-chan struct{}, reportEnded func(r *mangoreplica.Replica), opts ...Option,
) *Monitor {
	m := &Monitor{
		self: self, state: state, changed: changed, reportEnded: reportEnded, logger: logrus.StandardLogger(),
		reportSilent: func(*mangoreplica.Replica) {}, dial: dialProbed, cancels: map[mangoreplica.Incarnation]context.CancelFunc{},
	}
	for _, o := range opts {
		o(m)
	}
	return m
}

// Run monitors replicas until the context ends.
func (m *Monitor) Run(ctx context.Context) error {
	defer m.group.Wait()
	tick := time.NewTicker(updateInterval)
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

// update starts and stops the monitoring of replicas according to the state.
func (m *Monitor) update(ctx context.Context) {
	assigned := m.assignedReplicas(m.state.View())
	for i, stop := range m.cancels {
		if assigned[i] == nil {
			stop()
			delete(m.cancels, i)
		}
	}
	for i, r := range assigned {
		if m.cancels[i] != nil {
			continue
		}
		monitorCtx, stop := context.WithCancel(ctx)
		m.cancels[i] = stop
		m.group.Go(func() { m.monitorReplica(monitorCtx, r) })
	}
}

// assignedReplicas returns the replicas of split models that this daemon has to monitor.
func (m *Monitor) assignedReplicas(v *mangostate.View) map[mangoreplica.Incarnation]*mangoreplica.Replica {
	assigned := map[mangoreplica.Incarnation]*mangoreplica.Replica{}
	if v.Table == nil {
		return assigned
	}
	for name, s := range v.Table.Services() {
		if !s.Split() {
			continue
		}
		for _, r := range v.Fleet.ByService(name) {
			if r.Layers.Len() > 0 && m.isAssigned(r, v.Members) {
				assigned[r.Incarnation()] = r
			}
		}
	}
	return assigned
}

// isAssigned reports whether this daemon has to monitor a replica.
func (m *Monitor) isAssigned(replica *mangoreplica.Replica, hubs []mangostate.Member) bool {
	return slices.ContainsFunc(Monitors(replica, hubs), func(o mangostate.Member) bool { return o.Name == m.self.Name })
}

// rendezvousHash returns the hash by which daemons are ranked for a replica.
func rendezvousHash(daemon, replica string) uint64 {
	return xxhash.Sum64String(daemon + "\x00" + replica)
}

// monitorReplica keeps a connection to a replica until the context ends. A replica that refuses the dial after a connection
// was closed has ended; one that accepts it had only closed an idle connection.
func (m *Monitor) monitorReplica(ctx context.Context, r *mangoreplica.Replica) {
	connected, lastWasShort := false, false
	for ctx.Err() == nil {
		conn, err := m.dial(ctx, r.Address)
		if err != nil {
			if ctx.Err() == nil && connected {
				m.reportLost(r, err)
			}
			connected = false
			sleep(ctx, redialPause+rand.N(redialJitter))
			continue
		}
		connected = true
		connectedAt := time.Now()
		waitClosed(ctx, conn)
		lifetime := time.Since(connectedAt)
		if lastWasShort && lifetime < shortConnLifetime {
			sleep(ctx, redialPause+rand.N(redialJitter))
		}
		lastWasShort = lifetime < shortConnLifetime
	}
}

// reportLost reports a replica by the error of the dial that followed the end of a connection.
func (m *Monitor) reportLost(r *mangoreplica.Replica, err error) {
	entry := m.logger.WithFields(logrus.Fields{"replica": r.ID, "address": r.Address}).WithError(err)
	if errors.Is(err, syscall.ECONNREFUSED) {
		entry.WithField("event", "replica_ended").Warn("the process of a replica has ended")
		m.reportEnded(r)
		return
	}
	entry.WithField("event", "replica_silent").Warn("a replica does not answer any more")
	m.reportSilent(r)
}

// waitClosed blocks until the other end closes the connection or the context ends.
func waitClosed(ctx context.Context, conn net.Conn) {
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	// A replica sends nothing on a connection without requests, so the read returns only when the connection has ended.
	var b [1]byte
	_, _ = conn.Read(b[:])
	_ = conn.Close()
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
