package mangocontrol

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"mangopath.org/mangopath/internal/mangochain"
	"mangopath.org/mangopath/internal/mangohost"
	"mangopath.org/mangopath/internal/mangoprofile"
	"mangopath.org/mangopath/internal/mangosuspect"
	"mangopath.org/mangopath/pkg/mangomessage"
)

const (
	// publishInterval bounds the age of load figures in a snapshot; changes of state are published at once.
	publishInterval = 100 * time.Millisecond
	// refreshHosts is the number of hosts up to which figures are published at publishInterval.
	refreshHosts = 500
	// commandQueue bounds the changes that wait for the control goroutine.
	commandQueue = 1024
)

// Kinds of profiles.
const (
	KindCompletion = "completion"
	KindService    = "service"
)

// Identity says which entry host this is.
type Identity struct {
	Name       string
	DataCentre string
	// PeerAddress is where other entry hosts reach it.
	PeerAddress string
	// Incarnation tells restarts apart; a later start has a higher one.
	Incarnation uint64
}

// ChangeLog reads the operators' change log.
type ChangeLog interface {
	Poll(ctx context.Context, known *mangoprofile.Book) (*mangoprofile.Book, error)
	Repair(ctx context.Context, known *mangoprofile.Book) error
	Settle(ctx context.Context, known *mangoprofile.Book) (*mangoprofile.Book, error)
}

// HostLister reads the platform's host list.
type HostLister interface {
	Hosts(ctx context.Context) (*mangomessage.HostList, error)
}

// PeerClient calls other entry hosts.
type PeerClient interface {
	Exchange(ctx context.Context, address string, request *mangomessage.ExchangeRequest) (*mangomessage.ExchangeReply, error)
	Fetch(ctx context.Context, address string, request *mangomessage.FetchRequest) (*mangomessage.FetchReply, error)
}

// EngineProber reads the state of engines.
type EngineProber interface {
	State(ctx context.Context, address string) (*mangomessage.EngineState, error)
}

// CrashTracker knows the requests that may crash upstreams and shares that with peers.
type CrashTracker interface {
	Check(fingerprint string, now time.Time) mangosuspect.Verdict
	Hosts(fingerprint string, candidates []string, now time.Time) []string
	Acquire(fingerprint, host string, now time.Time) bool
	Release(fingerprint, host string)
	Passed(fingerprint string, now time.Time)
	Report(crashID string, fingerprints []string, now time.Time)
	Complete(fingerprint string, now time.Time)
	News(after uint64, now time.Time) ([]*mangomessage.Suspicion, uint64)
	Merge(suspicions []*mangomessage.Suspicion, now time.Time)
	SetDaemons(names []string)
}

// RateLimiter shares the rates at which customers are admitted.
type RateLimiter interface {
	Usages(now time.Time) []*mangomessage.Usage
	Observe(peer string, usages []*mangomessage.Usage, now time.Time)
	SetDaemons(n int)
}

// Timing are the intervals and bounds that settings give.
type Timing struct {
	PollInterval            time.Duration
	HostListInterval            time.Duration
	ExchangeInterval        time.Duration
	ExchangeTimeout time.Duration
	ProbeInterval           time.Duration
	FreshnessBound       time.Duration
}

// Option changes a controller during construction.
type Option func(*Controller)

// WithLogger sets the logger of events and decisions.
func WithLogger(logger *logrus.Logger) Option { return func(c *Controller) { c.logger = logger } }

// WithTiming sets the intervals.
func WithTiming(times Timing) Option { return func(c *Controller) { c.times = times } }

// WithSeeds sets addresses of entry hosts to contact before the host list is known.
func WithSeeds(seeds ...string) Option { return func(c *Controller) { c.seeds = seeds } }

// WithLinkDelays sets one-way link delays between data centres.
func WithLinkDelays(links map[mangochain.Link]time.Duration) Option {
	return func(c *Controller) { c.links = links }
}

// WithCrashTracker shares suspicions with peers.
func WithCrashTracker(suspects CrashTracker) Option { return func(c *Controller) { c.suspects = suspects } }

// WithRateLimiter shares customers' usage with peers.
func WithRateLimiter(limits RateLimiter) Option { return func(c *Controller) { c.limits = limits } }

// Controller owns the control state of an entry host.
type Controller struct {
	identity Identity
	log      ChangeLog
	lister   HostLister
	peers    PeerClient
	engines  EngineProber
	suspects CrashTracker
	limits   RateLimiter
	logger   *logrus.Logger
	times    Timing
	seeds    []string
	links    map[mangochain.Link]time.Duration
	meter    *mangohost.Meter

	commands chan func(*state)
	news     chan struct{}
	pulls    chan string
	reprobe  chan string
	leaving  atomic.Bool
	dropped  atomic.Uint64
	// sought is the time of the last reads that calls without a chain caused, in Unix nanoseconds.
	sought   atomic.Int64
	snapshot atomic.Pointer[Snapshot]
	confirms confirmer
	cursors  cursors
	forks    forks
	alerts   alerts
	// pollNow ends the wait for the next poll of the change log.
	pollNow chan struct{}
	now     func() time.Time
}

// New returns a controller that has to be run.
func New(id Identity, log ChangeLog, lister HostLister, peers PeerClient, engines EngineProber, opts ...Option) *Controller {
	c := &Controller{
		identity: id, log: log, lister: lister, peers: peers, engines: engines,
		logger: logrus.StandardLogger(), meter: mangohost.NewMeter(),
		commands: make(chan func(*state), commandQueue), news: make(chan struct{}, 1),
		pulls: make(chan string, 16), reprobe: make(chan string, 64), pollNow: make(chan struct{}, 1),
		now: time.Now,
		times: Timing{
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

// Snapshot returns the present control state.
func (c *Controller) Snapshot() *Snapshot { return c.snapshot.Load() }

// Meter returns the counters of calls in flight.
func (c *Controller) Meter() *mangohost.Meter { return c.meter }

// DroppedObservations returns the number of observations that the control goroutine could not take.
func (c *Controller) DroppedObservations() uint64 { return c.dropped.Load() }

// AnnounceShutdown tells peers from now on that this entry host is shutting down.
func (c *Controller) AnnounceShutdown() {
	c.leaving.Store(true)
	c.wake()
}

// Run owns the control state until the context ends.
func (c *Controller) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	workers := []func(context.Context){c.pollLog, c.pollList, c.exchange, c.probe}
	ended := make(chan struct{}, len(workers))
	for _, w := range workers {
		go func() {
			w(ctx)
			ended <- struct{}{}
		}()
	}
	c.loop(ctx)
	cancel()
	for range workers {
		<-ended
	}
	return nil
}

// loop is the control goroutine: it alone touches the state.
func (c *Controller) loop(ctx context.Context) {
	s := newState(c.now())
	tick := time.NewTicker(publishInterval)
	var refreshed time.Time
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-c.commands:
			f(s)
		case now := <-tick.C:
			if now.Sub(refreshed) < refreshInterval(s.directory.Len()) {
				continue
			}
			refreshed = now
			s.expire(c.now())
			s.dirty = true
			c.shareDaemons(s)
		}
		if s.dirty || s.unpublished {
			c.publish(s)
		}
	}
}

// refreshInterval is publishInterval for a small fleet and grows with it up to a second, since reports of a large one
// are seconds old and views of 4,100 replicas take 1.6 ms to build.
func refreshInterval(hosts int) time.Duration {
	return min(max(publishInterval*time.Duration(hosts)/refreshHosts, publishInterval), time.Second)
}

// shareDaemons tells the parts that divide work among the live daemons who they are.
func (c *Controller) shareDaemons(s *state) {
	live := s.liveMembers(c.now())
	if c.limits != nil {
		c.limits.SetDaemons(len(live) + 1)
	}
	if c.suspects == nil {
		return
	}
	names := make([]string, 0, len(live)+1)
	for _, m := range live {
		names = append(names, m.Name)
	}
	c.suspects.SetDaemons(append(names, c.identity.Name))
}

// observe hands a change to the control goroutine without waiting; it is dropped and counted when the queue is full.
func (c *Controller) observe(f func(*state)) {
	select {
	case c.commands <- f:
	default:
		c.dropped.Add(1)
	}
}

// apply hands a change to the control goroutine and waits until it is published.
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

// wake starts an exchange with a few peers at once.
func (c *Controller) wake() {
	select {
	case c.news <- struct{}{}:
	default:
	}
}

func (c *Controller) publish(s *state) {
	now := c.now()
	views := &sync.Map{}
	if old := c.snapshot.Load(); old != nil && !s.dirty {
		views = old.views
	}
	s.dirty, s.unpublished = false, false
	members := s.liveMembers(now)
	heard := make(map[string]time.Time, len(members))
	known := make(map[string]uint64, len(members))
	local := 1
	for _, m := range members {
		heard[m.Name] = s.members[m.Name].heard
		known[m.Address] = s.members[m.Name].revision
		if m.DataCentre == c.identity.DataCentre {
			local++
		}
	}
	c.snapshot.Store(&Snapshot{
		listChanged: s.listChanged, views: views,
		Book: s.book, Directory: s.directory, Members: members, DaemonCount: len(members) + 1, LocalDaemonCount: local,
		PeerInFlight: s.peerLoads(now), ConfirmedAt: s.confirmedAt, TakenAt: now,
		identity: c.identity, links: c.links, meter: c.meter, list: s.list, heard: heard, known: known,
	})
}
