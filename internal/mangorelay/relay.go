package mangorelay

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"mangopath.org/mangopath/internal/mangobudget"
	"mangopath.org/mangopath/internal/mangocapacity"
	"mangopath.org/mangopath/internal/mangoconn"
	"mangopath.org/mangopath/internal/mangocrash"
	"mangopath.org/mangopath/internal/mangodelay"
	"mangopath.org/mangopath/internal/mangoduration"
	"mangopath.org/mangopath/internal/mangolimit"
	"mangopath.org/mangopath/internal/mangomemory"
	"mangopath.org/mangopath/internal/mangorecovery"
	"mangopath.org/mangopath/internal/mangoreplica"
	"mangopath.org/mangopath/internal/mangostate"
)

// Exchanger sends requests to upstreams. It is implemented by mangoconn.Dialer.
type Exchanger interface {
	Exchange(
		ctx context.Context, address string, request *http.Request, connect time.Duration, wait *mangoconn.ReadWaiter,
	) (*mangoconn.Response, error)
	// Reach returns an error if no connection can be made within a time.
	Reach(ctx context.Context, address string, timeout time.Duration) error
}

// State returns the current configuration, replicas and daemons, as read from the store.
type State interface {
	View() *mangostate.View
}

// Prober asks replicas for their state.
type Prober interface {
	// Stalled asks a replica for the requests that it cannot go on with because another replica does not respond.
	Stalled(ctx context.Context, replica *mangoreplica.Replica) ([]StalledRequest, error)
	// Health asks a replica whether it takes requests; path is the health path of its service.
	Health(ctx context.Context, replica *mangoreplica.Replica, path string) (Health, error)
}

// Health is a replica's answer to a health request.
type Health int

const (
	// Serving replicas take new requests.
	Serving Health = iota
	// Full replicas have no capacity even for the health request.
	Full
	// Leaving replicas take no new requests because they are stopping or have failed.
	Leaving
)

// String returns the name of a health as it appears in logs.
func (h Health) String() string { return [...]string{"Serving", "Full", "Leaving"}[h] }

// StalledRequest is a request that makes no progress because a replica of its chain does not respond.
type StalledRequest struct {
	// RequestID is the caller's id of the attempt.
	RequestID string
	// ReplicaAddress is the address of the replica that does not respond.
	ReplicaAddress string
}

// PeerNotifier tells the other daemons of outages and crashes. Its methods never block.
type PeerNotifier interface {
	// AnnounceOutage tells the other daemons of an outage.
	AnnounceOutage(o mangoreplica.Outage)
	// ReportCrash signals that new crash reports are ready to be sent.
	ReportCrash()
	// AnnounceRateLimit tells the other daemons of a limit that a replica named or ended.
	AnnounceRateLimit(l mangolimit.Limit)
}

// SlowReplicaFinder asks the replicas of a data centre how slow they are when requests there are slow.
type SlowReplicaFinder interface {
	// ReportSlow reports that requests of a service are slow in a data centre. It never blocks.
	ReportSlow(service, dataCentre string)
}

// Observer records metrics of requests, sends and retries. Its methods never block.
type Observer interface {
	Request(route, kind, outcome string, status int, took time.Duration)
	FirstEvent(route string, took time.Duration)
	Send(service, result string)
	Retry(service, reason string)
	// PathChange counts an attempt to replace lost replicas in the chain of a running request, by its outcome.
	PathChange(service, outcome string)
	// Restart counts a stream that is sent anew after a loss; started says that its caller has a part of the answer.
	Restart(service string, started bool)
	// FirstStage counts a request that is sent to the first stage of a chain, by the use of its slots: "Free", "Half" or "Full".
	FirstStage(service, slots string)
	// Admission counts a decision on a new stream while its service has several ranks, by the two parts of its rank.
	Admission(priority, routePriority int, result string)
	// RankedStream counts the end of such a stream, by the two parts of its rank. caller is "New" or "Returning", size "Usual" or "Large".
	RankedStream(priority, routePriority int, caller, size, result string)
	// Capacity sets the free memory in tokens of the replicas of a service in a data centre, and the memory in
	// tokens that the demand of the daemons there would take.
	Capacity(service, dataCentre string, room, demand float64)
	// DataCentre counts the choice of a data centre for a request: Local, Remote or Other.
	DataCentre(service, result string)
}

// Relay serves requests of callers. Its methods are safe for concurrent use.
type Relay struct {
	state  State
	codec  Codec
	dialer Exchanger
	// kept has the connections that are kept between requests; nil if there are none.
	kept            KeptExchanger
	prober          Prober
	peers           PeerNotifier
	slowReplicas    SlowReplicaFinder
	health          *mangoreplica.HealthTracker
	budget          *mangobudget.Budget
	limiter         *mangolimit.Limiter
	demand          *mangocapacity.Tracker
	crashes         *mangocrash.CrashTracker
	observer        Observer
	logger          logrus.FieldLogger
	localDataCentre string
	random          func() float64
	shutdown        Shutdown
	durations       *mangoduration.Tracker
	memory          *mangomemory.Pool
	handleNotice    NoticeHandler
	inFlight        *inFlightIndex
	running         *runningCalls
	// These limit the checks of connections, of stalled requests and of health.
	connectionChecks *checkLimiter
	stallChecks      *checkLimiter
	healthChecks     *checkLimiter
	chainChecks      *chainChecks
	links            LinkWatcher
	delays           *mangodelay.Estimator
	// repairs changes the paths of running requests, and restarts orders the streams that are sent anew after a loss.
	repairs  *pathRepairer
	restarts *mangorecovery.Queue
	// pendingChecks are checks of replicas that Run has yet to start.
	pendingChecks chan func(ctx context.Context)
}

// Option sets a property of a Relay.
type Option func(*Relay)

// WithLogger sets the logger of sends, refusals, outages and ended requests.
func WithLogger(l logrus.FieldLogger) Option { return func(r *Relay) { r.logger = l } }

// WithObserver sets the receiver of metrics.
func WithObserver(o Observer) Option { return func(r *Relay) { r.observer = o } }

// WithProber sets the client that asks replicas for stalled requests and for their health.
func WithProber(p Prober) Option { return func(r *Relay) { r.prober = p } }

// WithPeerNotifier sets the receiver of outages and crashes that the other daemons are to know.
func WithPeerNotifier(n PeerNotifier) Option { return func(r *Relay) { r.peers = n } }

// WithSlowReplicaFinder sets what looks for slow replicas when requests are slow in a data centre.
func WithSlowReplicaFinder(f SlowReplicaFinder) Option { return func(r *Relay) { r.slowReplicas = f } }

// WithLimiter sets the limits of replicas, which other parts of the daemon share. By default the relay has its own.
func WithLimiter(l *mangolimit.Limiter) Option { return func(r *Relay) { r.limiter = l } }

// WithDemand sets the tracker of demand, which other parts of the daemon share. By default the relay has its own, which never
// learns of other daemons.
func WithDemand(t *mangocapacity.Tracker) Option { return func(r *Relay) { r.demand = t } }

// WithRandom replaces the source of random numbers in [0, 1).
func WithRandom(f func() float64) Option { return func(r *Relay) { r.random = f } }

// WithShutdown sets what tells whether the daemon stops. By default it never does.
func WithShutdown(s Shutdown) Option { return func(r *Relay) { r.shutdown = s } }

// WithMemory sets the memory that all answers may take while they are kept. The default is defaultMemory.
func WithMemory(p *mangomemory.Pool) Option { return func(r *Relay) { r.memory = p } }

// defaultMemory is the memory that all answers may take while they are kept, in bytes.
const defaultMemory = 64 << 20

// New returns the relay of a daemon that runs in the given data centre.
func New(
	dataCentre string, state State, codec Codec, dialer Exchanger, health *mangoreplica.HealthTracker, budget *mangobudget.Budget,
	crashes *mangocrash.CrashTracker, opts ...Option,
) *Relay {
	r := &Relay{
		state: state, codec: codec, dialer: dialer, health: health, budget: budget, limiter: mangolimit.New(health), demand: mangocapacity.NewTracker(), crashes: crashes, localDataCentre: dataCentre,
		prober: noProber{}, peers: noPeerNotifier{}, slowReplicas: noSlowReplicaFinder{}, observer: noObserver{}, logger: logrus.StandardLogger(), random: rand.Float64,
		shutdown: noShutdown{}, durations: mangoduration.New(), memory: mangomemory.New(defaultMemory), inFlight: newInFlightIndex(), running: newRunningCalls(), connectionChecks: newCheckLimiter(checkInterval), stallChecks: newCheckLimiter(stallCheckInterval),
		chainChecks: newChainChecks(), links: noLinkWatcher{}, healthChecks: newCheckLimiter(healthCheckInterval), delays: mangodelay.New(),
		repairs: newPathRepairer(), restarts: mangorecovery.NewQueue(),
		pendingChecks: make(chan func(ctx context.Context), maxPendingChecks),
	}
	for _, o := range opts {
		o(r)
	}
	r.handleNotice = NewNoticeHandler(health, r.limiter, r.peers, r.logger)
	return r
}

// maxPendingChecks bounds the pending checks of replicas; further ones are dropped.
const maxPendingChecks = 256

// Run runs the checks of replicas, concurrently, until the context ends.
func (r *Relay) Run(ctx context.Context) error {
	var running sync.WaitGroup
	defer running.Wait()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case check := <-r.pendingChecks:
			running.Go(func() { check(ctx) })
		}
	}
}

// enqueueCheck hands a check to Run, or drops it and returns false if too many are pending. It never blocks.
func (r *Relay) enqueueCheck(check func(ctx context.Context)) bool {
	select {
	case r.pendingChecks <- check:
		return true
	default:
		r.logger.WithField("event", "check_dropped").Warn("replica check dropped: too many checks are pending")
		return false
	}
}

// avoid records an outage of a replica. If the replica was not avoided before, or for a weaker cause, it logs that and
// tells the other daemons of a lost or leaving replica.
func (r *Relay) avoid(replica *mangoreplica.Replica, cause mangoreplica.Cause, hold time.Duration, requestID string) {
	now := time.Now()
	if !r.health.Avoid(replica.Incarnation(), cause, hold, now) {
		return
	}
	r.logger.WithFields(logrus.Fields{
		"event": "replica_avoided", "replica": replica.ID, "address": replica.Address, "cause": string(cause),
		"hold_ms": hold.Milliseconds(), "request": requestID,
	}).Warn("replica is avoided for a while")
	if cause.LikelyDown() || cause.Planned() {
		r.peers.AnnounceOutage(mangoreplica.Outage{Replica: replica.Incarnation(), Cause: cause, At: now, Until: now.Add(hold)})
	}
}

// clearOutage ends the outage of a replica that has answered.
func (r *Relay) clearOutage(replica *mangoreplica.Replica, requestID string) {
	if r.health.ClearOutage(replica.Incarnation(), time.Now()) {
		r.logger.WithFields(logrus.Fields{"event": "replica_back", "replica": replica.ID, "address": replica.Address, "request": requestID}).
			Info("avoided replica answered and is used again")
	}
}

type noProber struct{}

func (noProber) Stalled(context.Context, *mangoreplica.Replica) ([]StalledRequest, error) {
	return nil, nil
}

func (noProber) Health(context.Context, *mangoreplica.Replica, string) (Health, error) {
	return Serving, nil
}

type noPeerNotifier struct{}

func (noPeerNotifier) AnnounceOutage(mangoreplica.Outage) {}

func (noPeerNotifier) ReportCrash() {}

func (noPeerNotifier) AnnounceRateLimit(mangolimit.Limit) {}

type noSlowReplicaFinder struct{}

func (noSlowReplicaFinder) ReportSlow(string, string) {}

type noObserver struct{}

func (noObserver) Request(string, string, string, int, time.Duration) {}

func (noObserver) FirstEvent(string, time.Duration) {}

func (noObserver) Send(string, string) {}

func (noObserver) Retry(string, string) {}

func (noObserver) PathChange(string, string) {}

func (noObserver) Restart(string, bool) {}

func (noObserver) FirstStage(string, string) {}

func (noObserver) Admission(int, int, string) {}

func (noObserver) RankedStream(int, int, string, string, string) {}

func (noObserver) Capacity(string, string, float64, float64) {}

func (noObserver) DataCentre(string, string) {}
