package mangobroadcast

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"mangopath.org/mangopath/internal/mangocrash"
	"mangopath.org/mangopath/internal/mangolayout"
	"mangopath.org/mangopath/internal/mangolimit"
	"mangopath.org/mangopath/internal/mangoreplica"
	"mangopath.org/mangopath/internal/mangostate"
	"mangopath.org/mangopath/pkg/mangomessage"
)

const (
	// batchDelay is the time for which announcements are collected before they are sent. Often several replicas of a chain are
	// found lost at the same time.
	batchDelay = 5 * time.Millisecond
	// sendTimeout bounds the time for a message to a peer and its reply.
	sendTimeout = 500 * time.Millisecond
	// maxPeerHold bounds the time for which a replica is avoided because a peer reported it. The peer may know less about the
	// replica than this daemon.
	maxPeerHold = 1500 * time.Millisecond
	// senderLifetime is the time for which a hub that sent a message remains a peer although it has no seat in the store. The
	// store may refuse its calls for as long as that.
	senderLifetime = 15 * time.Second
	// unfollowedPeers is the number of hubs to which a daemon sends its announcements while it follows none.
	unfollowedPeers = 2
	// retryInterval is the time after which peers that did not answer are sent messages again.
	retryInterval = time.Second
)

// Exchanger sends a message to the daemon at an address and returns its reply.
type Exchanger interface {
	Exchange(ctx context.Context, address string, request *mangomessage.ExchangeRequest) (*mangomessage.ExchangeReply, error)
}

// State returns the daemon's view of the store.
type State interface {
	View() *mangostate.View
}

// Topology tells to whom this daemon sends its announcements.
type Topology interface {
	// IsHub reports whether this daemon sends on what its followers announce.
	IsHub() bool
	// Hub returns the daemon that this one follows; ok is false if there is none.
	Hub() (hub mangostate.Member, ok bool)
}

// Publisher sends announcements to the followers of this daemon. Its methods never block.
type Publisher interface {
	// Publish sends announcements to all followers but the one that sent them.
	Publish(from string, announcements *mangomessage.ExchangeRequest)
	// Wake sends new suspicions of the crash tracker.
	Wake()
}

// Claim is a daemon's statement that it places layers while no daemon reaches the store.
type Claim struct {
	// Fence is the fencing number of the daemon's orders.
	Fence uint64
	// Holder says that the daemon holds the lease, or held it when the store was last reached.
	Holder bool
}

// Broadcaster sends announcements to all other daemons and receives theirs. A daemon sends its announcements to its hub; a hub
// sends them on to its followers and to all other hubs, which send them to their followers. Its methods are safe for
// concurrent use, apart from the On methods.
type Broadcaster struct {
	self       mangostate.Member
	client     Exchanger
	state      State
	health     *mangoreplica.HealthTracker
	crashes    *mangocrash.CrashTracker
	logger     logrus.FieldLogger
	wake       chan struct{}
	onRevision func(revision uint64)
	onLayers   func(r mangoreplica.LayerReport)
	onOutage   func(r *mangoreplica.Replica)
	onClaim    func(from string, c Claim)
	onOrder    func(o mangolayout.GivenOrder)
	onPace     func(p mangoreplica.Pace, from string)
	onLoads    func(from string, l LoadReport)
	onSuspects func()
	onLimit    func(l mangolimit.Limit, from string)
	topology   Topology
	followers  Publisher
	checks     checkHandlers

	mu sync.Mutex
	// directQueues holds what is to be sent to single daemons only, by their names.
	directQueues map[string]*directQueue
	queued       batch
	// queuedForFollowers is what other hubs sent for the followers of this one.
	queuedForFollowers batch
	// peerQueues holds what is to be sent to each peer, by its name.
	peerQueues map[string]*peerQueue
	// recentSenders holds the hubs that sent messages, by name.
	recentSenders map[string]recentSender
	sendLoops     sync.WaitGroup
}

// recentSender is a hub that sent a message, with the time of the last one.
type recentSender struct {
	member mangostate.Member
	at     time.Time
}

// Option configures a Broadcaster.
type Option func(*Broadcaster)

// WithLogger sets the logger.
func WithLogger(l logrus.FieldLogger) Option { return func(br *Broadcaster) { br.logger = l } }

// New returns a Broadcaster for the daemon self.
func New(
	self mangostate.Member, client Exchanger, state State, topology Topology, health *mangoreplica.HealthTracker, crashes *mangocrash.CrashTracker,
	opts ...Option,
) *Broadcaster {
	br := &Broadcaster{
		self: self, client: client, state: state, topology: topology, health: health, crashes: crashes, logger: logrus.StandardLogger(),
		followers: noFollowers{}, onLoads: func(string, LoadReport) {}, onSuspects: func() {}, onLimit: func(mangolimit.Limit, string) {},
		wake: make(chan struct{}, 1), peerQueues: map[string]*peerQueue{}, recentSenders: map[string]recentSender{}, onRevision: func(uint64) {},
		onLayers: func(mangoreplica.LayerReport) {}, onOutage: func(*mangoreplica.Replica) {}, onClaim: func(string, Claim) {}, onOrder: func(mangolayout.GivenOrder) {},
		onPace: func(mangoreplica.Pace, string) {}, checks: newCheckHandlers(), directQueues: map[string]*directQueue{},
	}
	for _, o := range opts {
		o(br)
	}
	return br
}

// AnnounceOutage queues an outage of a replica for the other daemons. It never blocks.
func (br *Broadcaster) AnnounceOutage(o mangoreplica.Outage) {
	br.enqueue(batch{outages: []mangoreplica.Outage{o}})
}

// AnnounceRevision queues a revision of the store for the other daemons. It never blocks.
func (br *Broadcaster) AnnounceRevision(revision uint64) { br.enqueue(batch{revision: revision}) }

// AnnounceLayers queues the layers that a replica reported for the other daemons. It never blocks.
func (br *Broadcaster) AnnounceLayers(r mangoreplica.LayerReport) {
	br.enqueue(batch{layerReports: []mangoreplica.LayerReport{r}})
}

// AnnounceOrder queues an order that this daemon gave to a replica for the other daemons. It never blocks.
func (br *Broadcaster) AnnounceOrder(o mangolayout.GivenOrder) {
	br.enqueue(batch{orders: []mangolayout.GivenOrder{o}})
}

// AnnouncePace queues the pace of a replica for the other daemons. It never blocks.
func (br *Broadcaster) AnnouncePace(p mangoreplica.Pace) {
	br.enqueue(batch{paces: []mangoreplica.Pace{p}})
}

// AnnounceRateLimit queues a limit that a replica named for the other daemons. It never blocks.
func (br *Broadcaster) AnnounceRateLimit(l mangolimit.Limit) {
	br.enqueue(batch{limits: []mangolimit.Limit{l}})
}

// AnnounceLoads queues the load that this daemon, or as a hub its group, puts on replicas. It never blocks.
func (br *Broadcaster) AnnounceLoads(l LoadReport) { br.enqueue(batch{loads: &l}) }

// AnnounceClaim queues a claim of this daemon for the other daemons. It never blocks.
func (br *Broadcaster) AnnounceClaim(c Claim) { br.enqueue(batch{claim: &c}) }

// enqueue adds to what the next round of messages sends, and starts that round.
func (br *Broadcaster) enqueue(b batch) {
	br.mu.Lock()
	br.queued = br.queued.mergedWith(b)
	br.mu.Unlock()
	br.ReportCrash()
}

// enqueueForFollowers adds to what the next round sends to the followers of this daemon only.
func (br *Broadcaster) enqueueForFollowers(b batch) {
	br.mu.Lock()
	br.queuedForFollowers = br.queuedForFollowers.mergedWith(b)
	br.mu.Unlock()
	br.ReportCrash()
}

// ReportCrash starts a round of messages, which also sends the new suspicions of the crash tracker. It never blocks.
func (br *Broadcaster) ReportCrash() {
	select {
	case br.wake <- struct{}{}:
	default:
	}
}

// Run sends what is announced to the other daemons until the context ends.
func (br *Broadcaster) Run(ctx context.Context) error {
	defer br.sendLoops.Wait()
	retry := time.NewTicker(retryInterval)
	defer retry.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-retry.C:
			if !br.anyUnreachable() {
				continue
			}
		case <-br.wake:
		}
		timer := time.NewTimer(batchDelay)
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
		timer.Stop()
		br.distribute(ctx)
		br.distributeDirect(ctx)
	}
}

// distribute publishes what was announced to the followers, moves it to the queues of all peers and starts a goroutine for
// each queue that has none.
func (br *Broadcaster) distribute(ctx context.Context) {
	now := time.Now()
	peers := br.peers(now)
	br.publish(now)
	br.mu.Lock()
	defer br.mu.Unlock()
	b := br.queued
	br.queued = batch{}
	br.removeQueues(peers)
	for _, m := range peers {
		q := br.peerQueues[m.Name]
		if q == nil {
			q = &peerQueue{}
			br.peerQueues[m.Name] = q
		}
		q.queued = q.queued.mergedWith(b)
		if !q.sending {
			q.sending = true
			br.sendLoops.Go(func() { br.sendQueued(ctx, m, q) })
		}
	}
}

// publish sends the followers of this daemon what was announced, by it or through it.
func (br *Broadcaster) publish(now time.Time) {
	br.mu.Lock()
	b := br.queuedForFollowers.mergedWith(br.queued).forFollowers()
	br.queuedForFollowers = batch{}
	br.mu.Unlock()
	if !b.empty() {
		br.followers.Publish("", b.message(br.self, now))
	}
	br.followers.Wake()
}

// Exchange is part of mangopeer.Handler. It receives the announcements of another daemon, and as a hub sends them on.
func (br *Broadcaster) Exchange(_ context.Context, request *mangomessage.ExchangeRequest) (*mangomessage.ExchangeReply, error) {
	now := time.Now()
	if request.GetRelayed() {
		br.recordSender(request.GetFrom(), now)
	}
	if request.GetRevision() > 0 {
		br.onRevision(request.GetRevision())
	}
	if request.GetGroupSize() > 0 {
		br.onLoads(request.GetFrom().GetName(), LoadReport{
			Loads: request.GetReplicaLoads(), Demand: request.GetDemand(), Daemons: int(request.GetGroupSize()), Group: request.GetRelayed(),
		})
	}
	if c := request.GetClaim(); c != nil {
		br.onClaim(request.GetFrom().GetName(), Claim{Fence: c.GetFence(), Holder: c.GetHolder()})
	}
	br.receiveChecks(request, now)
	isHub := br.topology.IsHub()
	announcements := br.receive(request, isHub, now)
	switch {
	case !isHub || announcements.empty():
	case request.GetRelayed():
		br.enqueueForFollowers(announcements)
	default:
		br.enqueue(announcements)
	}
	if isHub && len(request.GetSuspicions()) > 0 {
		br.ReportCrash()
	}
	return &mangomessage.ExchangeReply{From: &mangomessage.Member{Name: br.self.Name, Address: br.self.Address}}, nil
}

// noFollowers is the Publisher of a daemon that serves no followers.
type noFollowers struct{}

func (noFollowers) Publish(string, *mangomessage.ExchangeRequest) {}

func (noFollowers) Wake() {}

// Fetch is part of mangopeer.Handler. It always fails, since this kind of daemon keeps no history of profiles.
func (br *Broadcaster) Fetch(context.Context, *mangomessage.FetchRequest) (*mangomessage.FetchReply, error) {
	return nil, &Error{Op: "Fetch", Kind: KindNotServed}
}

// Status is part of mangopeer.Handler. It always fails, since this kind of daemon keeps no records of calls.
func (br *Broadcaster) Status(context.Context, *mangomessage.StatusRequest) (*mangomessage.StatusReply, error) {
	return nil, &Error{Op: "Status", Kind: KindNotServed}
}
