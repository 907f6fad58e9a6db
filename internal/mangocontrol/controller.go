package mangocontrol

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"mangopath.org/mangopath/internal/mangochain"
	"mangopath.org/mangopath/internal/mangocrash"
	"mangopath.org/mangopath/internal/mangohost"
	"mangopath.org/mangopath/internal/mangoprofile"
	"mangopath.org/mangopath/pkg/mangomessage"
)

const (
	// publishInterval is the time between snapshots with new load figures; other changes are published at once.
	publishInterval = 100 * time.Millisecond
	// smallFleetHosts is the number of hosts up to which load figures are published at publishInterval.
	smallFleetHosts = 500
	// commandQueueSize bounds the number of changes that wait for the control goroutine.
	commandQueueSize = 1024
)

// Values of the field Kind of a profile.
const (
	KindCompletion = "completion"
	KindService    = "service"
)

// Identity identifies this entry host among its peers.
type Identity struct {
	Name       string
	DataCentre string
	// PeerAddress is the address at which other entry hosts reach this one.
	PeerAddress string
	// Incarnation is higher after each restart, so that peers can tell reports of an earlier run from those of this one.
	Incarnation uint64
}

// ChangeLog is the store's log of configuration changes by operators.
type ChangeLog interface {
	// Poll returns the book with the changes that are newer than the known one.
	Poll(ctx context.Context, known *mangoprofile.Book) (*mangoprofile.Book, error)
	// Repair writes the known book back to a store that is behind it.
	Repair(ctx context.Context, known *mangoprofile.Book) error
	// ResolveFork decides between the store's history and the known one after a fork and returns the book that is kept.
	ResolveFork(ctx context.Context, known *mangoprofile.Book) (*mangoprofile.Book, error)
}

// HostLister reads the platform's host list.
type HostLister interface {
	Hosts(ctx context.Context) (*mangomessage.HostList, error)
}

// PeerClient exchanges state with other entry hosts and fetches pages of their books.
type PeerClient interface {
	Exchange(ctx context.Context, address string, request *mangomessage.ExchangeRequest) (*mangomessage.ExchangeReply, error)
	Fetch(ctx context.Context, address string, request *mangomessage.FetchRequest) (*mangomessage.FetchReply, error)
}

// EngineProber asks engines for the model, the layers and the load that they have.
type EngineProber interface {
	State(ctx context.Context, address string) (*mangomessage.EngineState, error)
}

// CrashTracker tracks the requests that may crash upstreams, from the crashes that this daemon and its peers report.
type CrashTracker interface {
	// Check says whether a request is clear, suspect or to be refused.
	Check(fingerprint string, now time.Time) mangocrash.Verdict
	// EligibleHosts returns the candidates on which a suspect of this daemon may run now.
	EligibleHosts(fingerprint string, candidates []string, now time.Time) []string
	// Acquire reserves a host for one suspect and reports whether that succeeded; Release ends the reservation.
	Acquire(fingerprint, host string, now time.Time) bool
	Release(fingerprint, host string)
	// ReportProgress clears a suspect that ran past the point at which it met its last crash, Complete one that also ran
	// for longer.
	ReportProgress(fingerprint string, now time.Time)
	Report(crashID string, fingerprints []string, now time.Time)
	Complete(fingerprint string, now time.Time)
	// Updates returns the suspicions after a position of the tracker's log, and the position to go on from.
	Updates(after uint64, now time.Time) ([]*mangomessage.Suspicion, uint64)
	Merge(suspicions []*mangomessage.Suspicion, now time.Time)
	SetDaemons(names []string)
}

// RateLimiter limits the rate of each customer across all daemons, which tell each other the usage that they admitted.
type RateLimiter interface {
	LocalUsages(now time.Time) []*mangomessage.Usage
	RecordPeerUsages(peer string, usages []*mangomessage.Usage, now time.Time)
	SetDaemonCount(n int)
}

// Controller keeps the control state of an entry host up to date and chooses chains of replicas from it.
type Controller struct {
	identity     Identity
	changeLog    ChangeLog
	lister       HostLister
	peers        PeerClient
	engines      EngineProber
	crashTracker CrashTracker
	rateLimiter  RateLimiter
	logger       *logrus.Logger
	timing       Timing
	seeds        []string
	linkDelays   map[mangochain.Link]time.Duration
	meter        *mangohost.Meter

	// commands are the changes for the control goroutine.
	commands chan func(*state)
	// exchangeNow ends the wait for the next exchange with random peers.
	exchangeNow chan struct{}
	// peersAhead are the addresses of peers whose book is newer, for an exchange at once.
	peersAhead chan string
	// probeRequests are the names of hosts to probe at once.
	probeRequests chan string
	// leaving says that this entry host is shutting down.
	leaving             atomic.Bool
	droppedObservations atomic.Uint64
	// noChainProbedAt is the time of the last probes for a call without a chain, in Unix nanoseconds.
	noChainProbedAt  atomic.Int64
	snapshot         atomic.Pointer[Snapshot]
	confirmer        confirmer
	suspicionCursors suspicionCursors
	forkRecord       forkRecord
	alertRounds      alertRounds
	// pollRequests ends the wait for the next poll of the change log.
	pollRequests chan struct{}
	now          func() time.Time
}

// New returns a controller with an empty book. Its state changes only while Run is running.
func New(id Identity, log ChangeLog, lister HostLister, peers PeerClient, engines EngineProber, opts ...Option) *Controller {
	c := &Controller{
		identity: id, changeLog: log, lister: lister, peers: peers, engines: engines,
		logger: logrus.StandardLogger(), meter: mangohost.NewMeter(),
		commands: make(chan func(*state), commandQueueSize), exchangeNow: make(chan struct{}, 1),
		peersAhead: make(chan string, 16), probeRequests: make(chan string, 64), pollRequests: make(chan struct{}, 1),
		now: time.Now,
		timing: Timing{
			PollInterval: time.Second, HostListInterval: time.Second, ExchangeInterval: time.Second, ExchangeTimeout: time.Second,
			ProbeInterval: time.Second, FreshnessBound: 3 * time.Second,
		},
	}
	for _, o := range opts {
		o(c)
	}
	c.publish(newState(c.now()))
	return c
}

// Snapshot returns the control state that was published last.
func (c *Controller) Snapshot() *Snapshot { return c.snapshot.Load() }

// Meter returns the counters of calls in flight.
func (c *Controller) Meter() *mangohost.Meter { return c.meter }

// DroppedObservations returns the number of observations that were dropped because the queue of the control goroutine
// was full.
func (c *Controller) DroppedObservations() uint64 { return c.droppedObservations.Load() }

// AnnounceShutdown marks this entry host as leaving in all further exchanges and starts one at once.
func (c *Controller) AnnounceShutdown() {
	c.leaving.Store(true)
	c.triggerExchange()
}

// Run runs the control goroutine, the polls, the exchanges and the probes until the context ends.
func (c *Controller) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	workers := []func(context.Context){c.runChangeLogPolls, c.runHostListPolls, c.runExchanges, c.runProbes}
	ended := make(chan struct{}, len(workers))
	for _, w := range workers {
		go func() {
			w(ctx)
			ended <- struct{}{}
		}()
	}
	c.runState(ctx)
	cancel()
	for range workers {
		<-ended
	}
	return nil
}

// runState is the control goroutine, the only one that reads or writes the state.
func (c *Controller) runState(ctx context.Context) {
	s := newState(c.now())
	tick := time.NewTicker(publishInterval)
	var refreshedAt time.Time
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-c.commands:
			f(s)
		case now := <-tick.C:
			if now.Sub(refreshedAt) < refreshInterval(s.directory.Len()) {
				continue
			}
			refreshedAt = now
			s.expireMembers(c.now())
			s.viewsStale = true
			c.updateLiveDaemons(s)
		}
		if s.viewsStale || s.confirmationChanged {
			c.publish(s)
		}
	}
}

// refreshInterval returns the time between snapshots with new load figures. It grows with the fleet up to one second, since
// load reports in a large fleet are seconds old anyway and a view of 4,100 replicas takes 1.6 ms to build.
func refreshInterval(hosts int) time.Duration {
	return min(max(publishInterval*time.Duration(hosts)/smallFleetHosts, publishInterval), time.Second)
}

// updateLiveDaemons gives the rate limiter and the crash tracker the live daemons, among which they divide rates and hosts.
func (c *Controller) updateLiveDaemons(s *state) {
	live := s.liveMembers(c.now())
	if c.rateLimiter != nil {
		c.rateLimiter.SetDaemonCount(len(live) + 1)
	}
	if c.crashTracker == nil {
		return
	}
	names := make([]string, 0, len(live)+1)
	for _, m := range live {
		names = append(names, m.Name)
	}
	c.crashTracker.SetDaemons(append(names, c.identity.Name))
}

// tryApply sends a change to the control goroutine without waiting. A change that finds the queue full is dropped and
// counted.
func (c *Controller) tryApply(f func(*state)) {
	select {
	case c.commands <- f:
	default:
		c.droppedObservations.Add(1)
	}
}

// apply sends a change to the control goroutine and waits until a snapshot with it is published.
func (c *Controller) apply(ctx context.Context, f func(*state)) error {
	done := make(chan struct{})
	command := func(s *state) {
		f(s)
		c.publish(s)
		close(done)
	}
	select {
	case c.commands <- command:
	case <-ctx.Done():
		return &Error{Op: "apply", Kind: KindStopped, Err: ctx.Err()}
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return &Error{Op: "apply", Kind: KindStopped, Err: ctx.Err()}
	}
}

// triggerExchange starts the next exchange with random peers at once.
func (c *Controller) triggerExchange() {
	select {
	case c.exchangeNow <- struct{}{}:
	default:
	}
}

// publish stores a snapshot of the state. Cached views carry over to it unless they are stale.
func (c *Controller) publish(s *state) {
	now := c.now()
	viewCache := &sync.Map{}
	if old := c.snapshot.Load(); old != nil && !s.viewsStale {
		viewCache = old.viewCache
	}
	s.viewsStale, s.confirmationChanged = false, false
	members := s.liveMembers(now)
	heardAt := make(map[string]time.Time, len(members))
	knownRevisions := make(map[string]uint64, len(members))
	localDaemons := 1
	for _, m := range members {
		heardAt[m.Name] = s.members[m.Name].heardAt
		knownRevisions[m.Address] = s.members[m.Name].knownRevision
		if m.DataCentre == c.identity.DataCentre {
			localDaemons++
		}
	}
	c.snapshot.Store(&Snapshot{
		hostListChangedMs: s.hostListChangedMs, viewCache: viewCache,
		Book: s.book, Directory: s.directory, Members: members, DaemonCount: len(members) + 1, LocalDaemonCount: localDaemons,
		PeerInFlight: s.sumPeerInFlight(now), ConfirmedAt: s.confirmedAt, TakenAt: now,
		identity: c.identity, linkDelays: c.linkDelays, meter: c.meter, hostList: s.hostList, heardAt: heardAt, knownRevisions: knownRevisions,
	})
}
