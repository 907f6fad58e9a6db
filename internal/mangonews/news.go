package mangonews

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"mangopath.org/mangopath/internal/mangolayout"
	"mangopath.org/mangopath/internal/mangopeer"
	"mangopath.org/mangopath/internal/mangoreplica"
	"mangopath.org/mangopath/internal/mangostate"
	"mangopath.org/mangopath/internal/mangosuspect"
	"mangopath.org/mangopath/pkg/mangomessage"
)

const (
	// batchDelay is the pause in which news gathers; the parts of a chain are often found lost together.
	batchDelay = 5 * time.Millisecond
	// sendTimeout bounds one message to one daemon.
	sendTimeout = 500 * time.Millisecond
	// maxPeerHold bounds how long a replica is avoided on another daemon's word, which may see less than this one.
	maxPeerHold = 1500 * time.Millisecond
	// senderLifetime is the time for which a daemon that sent news is told news even if it is not announced in the store, which may
	// turn it away for as long as that.
	senderLifetime = 15 * time.Second
	// retryInterval is the pause before daemons that did not answer are told again.
	retryInterval = time.Second
)

// Exchanger sends a message to a daemon.
type Exchanger interface {
	Exchange(ctx context.Context, address string, request *mangomessage.ExchangeRequest) (*mangomessage.ExchangeReply, error)
}

// State returns what is known from the store.
type State interface {
	View() *mangostate.View
}

// Claim says that a daemon places layers although nobody reaches the store.
type Claim struct {
	// Fence is the fencing number of its orders.
	Fence uint64
	// Holder says that the daemon holds the lease, or held it when the store was last reached.
	Holder bool
}

// Broadcaster sends and receives news. Its methods are safe for concurrent use.
type Broadcaster struct {
	self       mangostate.Member
	client     Exchanger
	state      State
	board      *mangoreplica.HealthTracker
	suspects   *mangosuspect.CrashTracker
	logger     logrus.FieldLogger
	wake       chan struct{}
	onRevision func(revision uint64)
	onLayers   func(s mangoreplica.LayerReport)
	onOutage   func(r *mangoreplica.Replica)
	onClaim    func(from string, c Claim)
	onOrder    func(g mangolayout.Given)
	onPace     func(p mangoreplica.Pace, from string)

	mu     sync.Mutex
	queued batch
	// peerQueues has what is to be told to each daemon.
	peerQueues map[string]*peerQueue
	// recentSenders has the daemons that sent news, with the time of the last one.
	recentSenders map[string]recentSender
	sendLoops     sync.WaitGroup
}

// recentSender is a daemon that sent news.
type recentSender struct {
	member mangostate.Member
	at     time.Time
}

var _ mangopeer.Handler = (*Broadcaster)(nil)

// Option sets a property of News.
type Option func(*Broadcaster)

// WithLogger sets the logger.
func WithLogger(l logrus.FieldLogger) Option { return func(n *Broadcaster) { n.logger = l } }

// OnStateUpdate sets the receivers of what other daemons have seen: revisions of the store and layers of replicas. It must be
// called before Run, and the receivers must not block.
func (n *Broadcaster) OnStateUpdate(heard func(revision uint64), see func(s mangoreplica.LayerReport)) {
	n.onRevision, n.onLayers = heard, see
}

// OnOutage sets the function that checks replicas that other daemons found lost. It must be called before Run, and the
// function must not block.
func (n *Broadcaster) OnOutage(suspect func(r *mangoreplica.Replica)) { n.onOutage = suspect }

// OnClaim sets the receiver of claims of other daemons. It must be called before Run, and the receiver must not block.
func (n *Broadcaster) OnClaim(claimed func(from string, c Claim)) { n.onClaim = claimed }

// OnOrder sets the receiver of orders that other daemons gave. It must be called before Run, and the receiver must not block.
func (n *Broadcaster) OnOrder(ordered func(g mangolayout.Given)) { n.onOrder = ordered }

// OnPace sets the receiver of paces of replicas that other daemons asked. It must be called before Run, and the receiver must
// not block.
func (n *Broadcaster) OnPace(paced func(p mangoreplica.Pace, from string)) { n.onPace = paced }

// New returns News of a daemon.
func New(
	self mangostate.Member, client Exchanger, state State, board *mangoreplica.HealthTracker, suspects *mangosuspect.CrashTracker, opts ...Option,
) *Broadcaster {
	n := &Broadcaster{
		self: self, client: client, state: state, board: board, suspects: suspects, logger: logrus.StandardLogger(),
		wake: make(chan struct{}, 1), peerQueues: map[string]*peerQueue{}, recentSenders: map[string]recentSender{}, onRevision: func(uint64) {},
		onLayers: func(mangoreplica.LayerReport) {}, onOutage: func(*mangoreplica.Replica) {}, onClaim: func(string, Claim) {}, onOrder: func(mangolayout.Given) {},
		onPace: func(mangoreplica.Pace, string) {},
	}
	for _, o := range opts {
		o(n)
	}
	return n
}

// Announce queues an outage for the other daemons. It never blocks.
func (n *Broadcaster) Announce(o mangoreplica.Outage) {
	n.enqueue(batch{outages: []mangoreplica.Outage{o}})
}

// AnnounceRevision queues a revision of the store for the other daemons. It never blocks.
func (n *Broadcaster) AnnounceRevision(revision uint64) { n.enqueue(batch{revision: revision}) }

// AnnounceLayers queues what a replica said of its layers for the other daemons. It never blocks.
func (n *Broadcaster) AnnounceLayers(s mangoreplica.LayerReport) {
	n.enqueue(batch{layerReports: []mangoreplica.LayerReport{s}})
}

// AnnounceOrder queues an order of this daemon for the other daemons. It never blocks.
func (n *Broadcaster) AnnounceOrder(g mangolayout.Given) {
	n.enqueue(batch{orders: []mangolayout.Given{g}})
}

// AnnouncePace queues the pace of a replica for the other daemons. It never blocks.
func (n *Broadcaster) AnnouncePace(p mangoreplica.Pace) {
	n.enqueue(batch{paces: []mangoreplica.Pace{p}})
}

// AnnounceClaim queues a claim of this daemon for the other daemons. It never blocks.
func (n *Broadcaster) AnnounceClaim(c Claim) { n.enqueue(batch{claim: &c}) }

func (n *Broadcaster) enqueue(b batch) {
	n.mu.Lock()
	n.queued = n.queued.mergedWith(b)
	n.mu.Unlock()
	n.Crashed()
}

// Crashed says that there is something new about requests that crash replicas. It never blocks.
func (n *Broadcaster) Crashed() {
	select {
	case n.wake <- struct{}{}:
	default:
	}
}

// Run sends news until the context ends.
func (n *Broadcaster) Run(ctx context.Context) error {
	defer n.sendLoops.Wait()
	again := time.NewTicker(retryInterval)
	defer again.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-again.C:
			if !n.anyUnreachable() {
				continue
			}
		case <-n.wake:
		}
		timer := time.NewTimer(batchDelay)
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
		timer.Stop()
		n.distribute(ctx)
	}
}

// distribute gives what is new to the lines of all other daemons.
func (n *Broadcaster) distribute(ctx context.Context) {
	peers := n.peers(time.Now())
	n.mu.Lock()
	defer n.mu.Unlock()
	b := n.queued
	n.queued = batch{}
	n.removeQueues(peers)
	for _, m := range peers {
		l := n.peerQueues[m.Name]
		if l == nil {
			l = &peerQueue{}
			n.peerQueues[m.Name] = l
		}
		l.queued = l.queued.mergedWith(b)
		if !l.sending {
			l.sending = true
			n.sendLoops.Go(func() { n.sendQueued(ctx, m, l) })
		}
	}
}

// peers returns the other daemons: those that are announced in the store, and those that sent news a short while ago.
func (n *Broadcaster) peers(now time.Time) []mangostate.Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	known := map[string]bool{n.self.Name: true}
	var peers []mangostate.Member
	for _, m := range n.state.View().Members {
		if !known[m.Name] {
			known[m.Name] = true
			peers = append(peers, m)
		}
	}
	for name, s := range n.recentSenders {
		switch {
		case now.Sub(s.at) > senderLifetime:
			delete(n.recentSenders, name)
		case !known[name]:
			peers = append(peers, s.member)
		}
	}
	return peers
}

// recordSender remembers a daemon that sent news.
func (n *Broadcaster) recordSender(from *mangomessage.Member, now time.Time) {
	if from.GetName() == "" || from.GetAddress() == "" {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.recentSenders[from.GetName()] = recentSender{member: mangostate.Member{Name: from.GetName(), Address: from.GetAddress()}, at: now}
}

// Exchange implements mangopeer.Handler.
func (n *Broadcaster) Exchange(_ context.Context, request *mangomessage.ExchangeRequest) (*mangomessage.ExchangeReply, error) {
	now := time.Now()
	n.recordSender(request.GetFrom(), now)
	if request.GetRevision() > 0 {
		n.onRevision(request.GetRevision())
	}
	for _, s := range request.GetSightings() {
		n.onLayers(mangoreplica.LayerReport{
			Replica: mangoreplica.Incarnation{ID: s.GetReplica(), Born: s.GetBorn()},
			Layers:  mangoreplica.LayerRange{From: int(s.GetFromLayer()), To: int(s.GetToLayer())},
		})
	}
	for _, g := range request.GetGivenOrders() {
		n.onOrder(mangolayout.Given{
			Replica: mangoreplica.Incarnation{ID: g.GetReplica(), Born: g.GetBorn()},
			Layers:  mangoreplica.LayerRange{From: int(g.GetFromLayer()), To: int(g.GetToLayer())},
			Until:   now.Add(time.Duration(g.GetLeftMs()) * time.Millisecond),
		})
	}
	for _, p := range request.GetPaces() {
		n.onPace(mangoreplica.Pace{
			Replica: mangoreplica.Incarnation{ID: p.GetReplica(), Born: p.GetBorn()}, Slowness: float64(p.GetSlowness()),
			At: now.Add(-time.Duration(p.GetAgeMs()) * time.Millisecond),
		}, request.GetFrom().GetName())
	}
	if c := request.GetClaim(); c != nil {
		n.onClaim(request.GetFrom().GetName(), Claim{Fence: c.GetFence(), Holder: c.GetHolder()})
	}
	n.suspects.Merge(request.GetSuspicions(), now)
	fleet := n.state.View().Fleet
	for _, o := range request.GetOutages() {
		r := fleet.ByID(o.GetReplica())
		left := time.Duration(int64(o.GetHoldMs())-int64(o.GetAgeMs())) * time.Millisecond
		if r == nil || left <= 0 {
			continue
		}
		if n.board.Avoid(r.Incarnation(), mangoreplica.Cause(o.GetCause()), min(left, maxPeerHold), now) {
			n.logger.WithFields(logrus.Fields{
				"event": "replica_avoided", "replica": r.ID, "address": r.Address, "cause": o.GetCause(),
				"peer": request.GetFrom().GetName(), "age_ms": o.GetAgeMs(), "hold_ms": min(left, maxPeerHold).Milliseconds(),
			}).Warn("another daemon found a replica lost")
			n.onOutage(r)
		}
	}
	return &mangomessage.ExchangeReply{From: &mangomessage.Member{Name: n.self.Name, Address: n.self.Address}}, nil
}

// Fetch implements mangopeer.Handler; books of profiles are not kept here.
func (n *Broadcaster) Fetch(context.Context, *mangomessage.FetchRequest) (*mangomessage.FetchReply, error) {
	return nil, &Error{Op: "Fetch", Kind: KindNotServed}
}

// Status implements mangopeer.Handler; records of calls are not kept here.
func (n *Broadcaster) Status(context.Context, *mangomessage.StatusRequest) (*mangomessage.StatusReply, error) {
	return nil, &Error{Op: "Status", Kind: KindNotServed}
}
