package mangorelay

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"mangopath.org/mangopath/internal/mangobudget"
	"mangopath.org/mangopath/internal/mangoconn"
	"mangopath.org/mangopath/internal/mangodelay"
	"mangopath.org/mangopath/internal/mangoreplica"
	"mangopath.org/mangopath/internal/mangostate"
	"mangopath.org/mangopath/internal/mangosuspect"
)

// Exchanger sends a request to an upstream.
type Exchanger interface {
	Exchange(
		ctx context.Context, address string, request *http.Request, connect time.Duration, wait *mangoconn.Wait,
	) (*mangoconn.Response, error)
	// Reach reports whether a connection can be made within a time.
	Reach(ctx context.Context, address string, timeout time.Duration) error
}

// State returns what is known from the store.
type State interface {
	View() *mangostate.View
}

// Prober asks the first replica of a chain which replica a request waits for.
type Prober interface {
	Stalled(ctx context.Context, replica *mangoreplica.Replica) ([]StalledRequest, error)
	// Health asks a replica whether it takes requests; path is that of its service.
	Health(ctx context.Context, replica *mangoreplica.Replica, path string) (Health, error)
}

// Health is what a replica says of itself.
type Health int

const (
	// Serving replicas take requests.
	Serving Health = iota
	// Full replicas have no room for the question.
	Full
	// Leaving replicas take no new requests, because they stop or have failed.
	Leaving
)

// String returns the name of a health as it appears in logs.
func (h Health) String() string { return [...]string{"Serving", "Full", "Leaving"}[h] }

// StalledRequest is a request that waits for a replica that was lost.
type StalledRequest struct {
	// Request is the caller's id of the attempt.
	RequestID string
	// Address is that of the lost replica.
	ReplicaAddress string
}

// PeerNotifier tells the other daemons of lost replicas. It never blocks.
type PeerNotifier interface {
	Announce(o mangoreplica.Outage)
	// Crashed says that there is something new about requests that crash replicas.
	Crashed()
}

// SlowReplicaFinder is told where requests are slow. It never blocks.
type SlowReplicaFinder interface {
	Suspect(service, dataCentre string)
}

// Observer counts what the relay does. It never blocks.
type Observer interface {
	Request(route, kind, outcome string, status int, took time.Duration)
	FirstEvent(route string, took time.Duration)
	Send(service, result string)
	Retry(service, reason string)
}

// Relay serves requests. Its methods are safe for concurrent use.
type Relay struct {
	state    State
	codec    Codec
	dialer   Exchanger
	prober   Prober
	herald   PeerNotifier
	pacer    SlowReplicaFinder
	board    *mangoreplica.HealthTracker
	budget   *mangobudget.Budget
	suspects *mangosuspect.CrashTracker
	observer Observer
	logger   logrus.FieldLogger
	local    string
	random   func() float64
	closing  func() bool
	closed   func(stream bool) bool
	aboard   *manifest
	probes   *probes
	checks   *probes
	health   *probes
	delays   *mangodelay.Estimator
	// tasks are checks of replicas that wait for Run.
	tasks chan func(ctx context.Context)
}

// Option sets a property of a Relay.
type Option func(*Relay)

// WithLogger sets the logger of decisions.
func WithLogger(l logrus.FieldLogger) Option { return func(r *Relay) { r.logger = l } }

// WithObserver sets the receiver of counts.
func WithObserver(o Observer) Option { return func(r *Relay) { r.observer = o } }

// WithProber sets the means to find out which replica a stalled request waits for.
func WithProber(p Prober) Option { return func(r *Relay) { r.prober = p } }

// WithPeerNotifier sets the means to tell other daemons of lost replicas.
func WithPeerNotifier(h PeerNotifier) Option { return func(r *Relay) { r.herald = h } }

// WithSlowReplicaFinder sets the means to find out why requests are slow in a data centre.
func WithSlowReplicaFinder(p SlowReplicaFinder) Option { return func(r *Relay) { r.pacer = p } }

// WithRandom replaces the source of random numbers in [0, 1).
func WithRandom(f func() float64) Option { return func(r *Relay) { r.random = f } }

// WithCloseConnections sets the function that says whether connections of callers are to end with their answers.
func WithCloseConnections(f func() bool) Option { return func(r *Relay) { r.closing = f } }

// WithRejectNew sets the function that says whether no more streams, or no more requests of other kinds, are begun.
func WithRejectNew(f func(stream bool) bool) Option { return func(r *Relay) { r.closed = f } }

// New returns a relay of a daemon in a data centre.
func New(
	dataCentre string, state State, codec Codec, dialer Exchanger, board *mangoreplica.HealthTracker, budget *mangobudget.Budget,
	suspects *mangosuspect.CrashTracker, opts ...Option,
) *Relay {
	r := &Relay{
		state: state, codec: codec, dialer: dialer, board: board, budget: budget, suspects: suspects, local: dataCentre,
		prober: noProber{}, herald: noHerald{}, pacer: noPacer{}, observer: noObserver{}, logger: logrus.StandardLogger(), random: rand.Float64,
		closing: func() bool { return false }, closed: func(bool) bool { return false }, aboard: newManifest(), probes: newProbes(probeInterval),
		checks: newProbes(probeInterval), health: newProbes(healthInterval), delays: mangodelay.New(),
		tasks: make(chan func(ctx context.Context), maxTasks),
	}
	for _, o := range opts {
		o(r)
	}
	return r
}

// maxTasks bounds the checks of replicas that wait; a request that finds no room for one goes on without it.
const maxTasks = 256

// Run checks replicas for requests until the context ends.
func (r *Relay) Run(ctx context.Context) error {
	var running sync.WaitGroup
	defer running.Wait()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case task := <-r.tasks:
			running.Go(func() { task(ctx) })
		}
	}
}

// later leaves a check to Run. It never blocks.
func (r *Relay) later(task func(ctx context.Context)) {
	select {
	case r.tasks <- task:
	default:
		r.logger.WithField("event", "check_dropped").Warn("too many replicas wait for a check")
	}
}

// avoid notes an outage, tells the other daemons of a lost replica and logs the change of belief.
func (r *Relay) avoid(replica *mangoreplica.Replica, cause mangoreplica.Cause, hold time.Duration, request string) {
	now := time.Now()
	if !r.board.Avoid(replica.Incarnation(), cause, hold, now) {
		return
	}
	r.logger.WithFields(logrus.Fields{
		"event": "replica_avoided", "replica": replica.ID, "address": replica.Address, "cause": string(cause),
		"hold_ms": hold.Milliseconds(), "request": request,
	}).Warn("a replica gets no requests for a while")
	if cause.LikelyDown() || cause == mangoreplica.CauseLeaving {
		r.herald.Announce(mangoreplica.Outage{Replica: replica.Incarnation(), Cause: cause, At: now, Until: now.Add(hold)})
	}
}

// trust notes that a replica answered.
func (r *Relay) trust(replica *mangoreplica.Replica, request string) {
	if r.board.ClearOutage(replica.Incarnation(), time.Now()) {
		r.logger.WithFields(logrus.Fields{"event": "replica_back", "replica": replica.ID, "address": replica.Address, "request": request}).
			Info("an avoided replica answered")
	}
}

type noProber struct{}

func (noProber) Stalled(context.Context, *mangoreplica.Replica) ([]StalledRequest, error) { return nil, nil }

func (noProber) Health(context.Context, *mangoreplica.Replica, string) (Health, error) {
	return Serving, nil
}

type noHerald struct{}

func (noHerald) Announce(mangoreplica.Outage) {}

func (noHerald) Crashed() {}

type noPacer struct{}

func (noPacer) Suspect(string, string) {}

type noObserver struct{}

func (noObserver) Request(string, string, string, int, time.Duration) {}

func (noObserver) FirstEvent(string, time.Duration) {}

func (noObserver) Send(string, string) {}

func (noObserver) Retry(string, string) {}
