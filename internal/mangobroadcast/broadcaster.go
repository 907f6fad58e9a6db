package mangobroadcast

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"mangopath.org/mangopath/internal/mangocrash"
	"mangopath.org/mangopath/internal/mangolayout"
	"mangopath.org/mangopath/internal/mangopeer"
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
	// senderLifetime is the time for which a daemon that sent a message remains a peer although it has no entry in the store.
	// The store may refuse its calls for as long as that.
	senderLifetime = 15 * time.Second
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

// Claim is a daemon's statement that it places layers while no daemon reaches the store.
type Claim struct {
	// Fence is the fencing number of the daemon's orders.
	Fence uint64
	// Holder says that the daemon holds the lease, or held it when the store was last reached.
	Holder bool
}

// Broadcaster sends announcements to all other daemons and receives theirs. Its methods are safe for concurrent use, apart
// from the On methods.
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

	mu     sync.Mutex
	queued batch
	// peerQueues holds what is to be sent to each peer, by its name.
	peerQueues map[string]*peerQueue
	// recentSenders holds the daemons that sent messages, by name.
	recentSenders map[string]recentSender
	sendLoops     sync.WaitGroup
}

// recentSender is a daemon that sent a message, with the time of the last one.
type recentSender struct {
	member mangostate.Member
	at     time.Time
}

var _ mangopeer.Handler = (*Broadcaster)(nil)

// Option configures a Broadcaster.
type Option func(*Broadcaster)

// WithLogger sets the logger.
func WithLogger(l logrus.FieldLogger) Option { return func(br *Broadcaster) { br.logger = l } }

// OnStateUpdate sets the functions that receive the revisions of the store and the layers of replicas that other daemons
// announce. It must be called before Run, and the functions must not block.
func (br *Broadcaster) OnStateUpdate(onRevision func(revision uint64), onLayers func(r mangoreplica.LayerReport)) {
	br.onRevision, br.onLayers = onRevision, onLayers
}

// OnOutage sets the function that checks a replica after another daemon announced its outage. It must be called before Run,
// and the function must not block.
func (br *Broadcaster) OnOutage(onOutage func(r *mangoreplica.Replica)) { br.onOutage = onOutage }

// OnClaim sets the function that receives the claims of other daemons. It must be called before Run, and the function must
// not block.
func (br *Broadcaster) OnClaim(onClaim func(from string, c Claim)) { br.onClaim = onClaim }

// OnOrder sets the function that receives the orders that other daemons gave to replicas. It must be called before Run, and
// the function must not block.
func (br *Broadcaster) OnOrder(onOrder func(o mangolayout.GivenOrder)) { br.onOrder = onOrder }

// OnPace sets the function that receives the paces of replicas that other daemons asked. It must be called before Run, and
// the function must not block.
func (br *Broadcaster) OnPace(onPace func(p mangoreplica.Pace, from string)) { br.onPace = onPace }

// New returns a Broadcaster for the daemon self.
func New(
	self mangostate.Member, client Exchanger, state State, health *mangoreplica.HealthTracker, crashes *mangocrash.CrashTracker, opts ...Option,
) *Broadcaster {
	br := &Broadcaster{
		self: self, client: client, state: state, health: health, crashes: crashes, logger: logrus.StandardLogger(),
		wake: make(chan struct{}, 1), peerQueues: map[string]*peerQueue{}, recentSenders: map[string]recentSender{}, onRevision: func(uint64) {},
		onLayers: func(mangoreplica.LayerReport) {}, onOutage: func(*mangoreplica.Replica) {}, onClaim: func(string, Claim) {}, onOrder: func(mangolayout.GivenOrder) {},
		onPace: func(mangoreplica.Pace, string) {},
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

// AnnounceClaim queues a claim of this daemon for the other daemons. It never blocks.
func (br *Broadcaster) AnnounceClaim(c Claim) { br.enqueue(batch{claim: &c}) }

// enqueue adds to what the next round of messages sends, and starts that round.
func (br *Broadcaster) enqueue(b batch) {
	br.mu.Lock()
	br.queued = br.queued.mergedWith(b)
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
	}
}

// distribute moves what was announced to the queues of all peers and starts a goroutine for each queue that has none.
func (br *Broadcaster) distribute(ctx context.Context) {
	peers := br.peers(time.Now())
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

// peers returns the other daemons: those that have an entry in the store, and those that sent a message recently.
func (br *Broadcaster) peers(now time.Time) []mangostate.Member {
	br.mu.Lock()
	defer br.mu.Unlock()
	known := map[string]bool{br.self.Name: true}
	var peers []mangostate.Member
	for _, m := range br.state.View().Members {
		if !known[m.Name] {
			known[m.Name] = true
			peers = append(peers, m)
		}
	}
	for name, s := range br.recentSenders {
		switch {
		case now.Sub(s.at) > senderLifetime:
			delete(br.recentSenders, name)
		case !known[name]:
			peers = append(peers, s.member)
		}
	}
	return peers
}

// recordSender remembers the sender of a message as a peer.
func (br *Broadcaster) recordSender(from *mangomessage.Member, now time.Time) {
	if from.GetName() == "" || from.GetAddress() == "" {
		return
	}
	br.mu.Lock()
	defer br.mu.Unlock()
	br.recentSenders[from.GetName()] = recentSender{member: mangostate.Member{Name: from.GetName(), Address: from.GetAddress()}, at: now}
}

// Exchange implements mangopeer.Handler. It receives the announcements of another daemon.
func (br *Broadcaster) Exchange(_ context.Context, request *mangomessage.ExchangeRequest) (*mangomessage.ExchangeReply, error) {
	now := time.Now()
	br.recordSender(request.GetFrom(), now)
	if request.GetRevision() > 0 {
		br.onRevision(request.GetRevision())
	}
	for _, r := range request.GetSightings() {
		layers := mangoreplica.LayerRange{From: int(r.GetFromLayer()), To: int(r.GetToLayer())}
		if layers.Valid() {
			br.onLayers(mangoreplica.LayerReport{Replica: mangoreplica.Incarnation{ID: r.GetReplica(), Born: r.GetBorn()}, Layers: layers})
		}
	}
	for _, o := range request.GetGivenOrders() {
		layers := mangoreplica.LayerRange{From: int(o.GetFromLayer()), To: int(o.GetToLayer())}
		if layers.Valid() {
			br.onOrder(mangolayout.GivenOrder{
				Replica: mangoreplica.Incarnation{ID: o.GetReplica(), Born: o.GetBorn()}, Layers: layers,
				Until: now.Add(time.Duration(o.GetLeftMs()) * time.Millisecond),
			})
		}
	}
	for _, p := range request.GetPaces() {
		br.onPace(mangoreplica.Pace{
			Replica: mangoreplica.Incarnation{ID: p.GetReplica(), Born: p.GetBorn()}, Slowness: float64(p.GetSlowness()),
			At: now.Add(-time.Duration(p.GetAgeMs()) * time.Millisecond),
		}, request.GetFrom().GetName())
	}
	if c := request.GetClaim(); c != nil {
		br.onClaim(request.GetFrom().GetName(), Claim{Fence: c.GetFence(), Holder: c.GetHolder()})
	}
	br.crashes.Merge(request.GetSuspicions(), now)
	fleet := br.state.View().Fleet
	for _, o := range request.GetOutages() {
		r := fleet.ByID(o.GetReplica())
		left := time.Duration(int64(o.GetHoldMs())-int64(o.GetAgeMs())) * time.Millisecond
		// A daemon of an earlier version does not send the start of the replica.
		if r == nil || left <= 0 || (o.GetBorn() != 0 && o.GetBorn() != r.Born) {
			continue
		}
		if mangoreplica.Cause(o.GetCause()) == mangoreplica.CauseStopping {
			br.markLeaving(r, o.GetBorn(), request.GetFrom().GetName(), now)
			continue
		}
		if br.health.Avoid(r.Incarnation(), mangoreplica.Cause(o.GetCause()), min(left, maxPeerHold), now) {
			br.logger.WithFields(logrus.Fields{
				"event": "replica_avoided", "replica": r.ID, "address": r.Address, "cause": o.GetCause(),
				"peer": request.GetFrom().GetName(), "age_ms": o.GetAgeMs(), "hold_ms": min(left, maxPeerHold).Milliseconds(),
			}).Warn("another daemon found a replica lost")
			br.onOutage(r)
		}
	}
	return &mangomessage.ExchangeReply{From: &mangomessage.Member{Name: br.self.Name, Address: br.self.Address}}, nil
}

// markLeaving records that a replica told another daemon that it is leaving, if it is the same start of the replica.
func (br *Broadcaster) markLeaving(r *mangoreplica.Replica, born int64, peer string, now time.Time) {
	if r.Born != born || !br.health.MarkLeaving(r.Incarnation(), now) {
		return
	}
	br.logger.WithFields(logrus.Fields{"event": "replica_leaving", "replica": r.ID, "address": r.Address, "peer": peer}).
		Info("another daemon was told by a replica that it is leaving")
}

// Fetch implements mangopeer.Handler. It always fails, since this kind of daemon keeps no history of profiles.
func (br *Broadcaster) Fetch(context.Context, *mangomessage.FetchRequest) (*mangomessage.FetchReply, error) {
	return nil, &Error{Op: "Fetch", Kind: KindNotServed}
}

// Status implements mangopeer.Handler. It always fails, since this kind of daemon keeps no records of calls.
func (br *Broadcaster) Status(context.Context, *mangomessage.StatusRequest) (*mangomessage.StatusReply, error) {
	return nil, &Error{Op: "Status", Kind: KindNotServed}
}
