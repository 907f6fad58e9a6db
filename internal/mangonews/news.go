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
	// gather is the pause in which news gathers; the parts of a chain are often found lost together.
	gather = 5 * time.Millisecond
	// sendTimeout bounds one message to one daemon.
	sendTimeout = 500 * time.Millisecond
	// maxHeard bounds how long a replica is avoided on another daemon's word, which may see less than this one.
	maxHeard = 1500 * time.Millisecond
	// heardAge is the time for which a daemon that sent news is told news even if it is not announced in the store, which may
	// turn it away for as long as that.
	heardAge = 15 * time.Second
	// repeatUnreached is the pause before daemons that did not answer are told again.
	repeatUnreached = time.Second
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
	self     mangostate.Member
	client   Exchanger
	state    State
	board    *mangoreplica.HealthTracker
	suspects *mangosuspect.CrashTracker
	logger   logrus.FieldLogger
	wake     chan struct{}
	heard    func(revision uint64)
	see      func(s mangoreplica.LayerReport)
	suspect  func(r *mangoreplica.Replica)
	claimed  func(from string, c Claim)
	ordered  func(g mangolayout.GivenOrder)
	paced    func(p mangoreplica.Pace, from string)

	mu      sync.Mutex
	waiting batch
	// lines has what is to be told to each daemon.
	lines map[string]*line
	// senders has the daemons that sent news, with the time of the last one.
	senders map[string]sender
	running sync.WaitGroup
}

// sender is a daemon that sent news.
type sender struct {
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
	n.heard, n.see = heard, see
}

// OnOutage sets the function that checks replicas that other daemons found lost. It must be called before Run, and the
// function must not block.
func (n *Broadcaster) OnOutage(suspect func(r *mangoreplica.Replica)) { n.suspect = suspect }

// OnClaim sets the receiver of claims of other daemons. It must be called before Run, and the receiver must not block.
func (n *Broadcaster) OnClaim(claimed func(from string, c Claim)) { n.claimed = claimed }

// OnOrder sets the receiver of orders that other daemons gave. It must be called before Run, and the receiver must not block.
func (n *Broadcaster) OnOrder(ordered func(g mangolayout.GivenOrder)) { n.ordered = ordered }

// OnPace sets the receiver of paces of replicas that other daemons asked. It must be called before Run, and the receiver must
// not block.
func (n *Broadcaster) OnPace(paced func(p mangoreplica.Pace, from string)) { n.paced = paced }

// New returns News of a daemon.
func New(
	self mangostate.Member, client Exchanger, state State, board *mangoreplica.HealthTracker, suspects *mangosuspect.CrashTracker, opts ...Option,
) *Broadcaster {
	n := &Broadcaster{
		self: self, client: client, state: state, board: board, suspects: suspects, logger: logrus.StandardLogger(),
		wake: make(chan struct{}, 1), lines: map[string]*line{}, senders: map[string]sender{}, heard: func(uint64) {},
		see: func(mangoreplica.LayerReport) {}, suspect: func(*mangoreplica.Replica) {}, claimed: func(string, Claim) {}, ordered: func(mangolayout.GivenOrder) {},
		paced: func(mangoreplica.Pace, string) {},
	}
	for _, o := range opts {
		o(n)
	}
	return n
}

// Announce queues an outage for the other daemons. It never blocks.
func (n *Broadcaster) Announce(o mangoreplica.Outage) { n.queue(batch{outages: []mangoreplica.Outage{o}}) }

// AnnounceRevision queues a revision of the store for the other daemons. It never blocks.
func (n *Broadcaster) AnnounceRevision(revision uint64) { n.queue(batch{revision: revision}) }

// AnnounceLayers queues what a replica said of its layers for the other daemons. It never blocks.
func (n *Broadcaster) AnnounceLayers(s mangoreplica.LayerReport) {
	n.queue(batch{sightings: []mangoreplica.LayerReport{s}})
}

// AnnounceOrder queues an order of this daemon for the other daemons. It never blocks.
func (n *Broadcaster) AnnounceOrder(g mangolayout.GivenOrder) { n.queue(batch{given: []mangolayout.GivenOrder{g}}) }

// AnnouncePace queues the pace of a replica for the other daemons. It never blocks.
func (n *Broadcaster) AnnouncePace(p mangoreplica.Pace) { n.queue(batch{paces: []mangoreplica.Pace{p}}) }

// AnnounceClaim queues a claim of this daemon for the other daemons. It never blocks.
func (n *Broadcaster) AnnounceClaim(c Claim) { n.queue(batch{claim: &c}) }

func (n *Broadcaster) queue(b batch) {
	n.mu.Lock()
	n.waiting = n.waiting.with(b)
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
	defer n.running.Wait()
	again := time.NewTicker(repeatUnreached)
	defer again.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-again.C:
			if !n.anyUnreached() {
				continue
			}
		case <-n.wake:
		}
		timer := time.NewTimer(gather)
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
		timer.Stop()
		n.send(ctx)
	}
}

// send gives what is new to the lines of all other daemons.
func (n *Broadcaster) send(ctx context.Context) {
	peers := n.peers(time.Now())
	n.mu.Lock()
	defer n.mu.Unlock()
	b := n.waiting
	n.waiting = batch{}
	n.forget(peers)
	for _, m := range peers {
		l := n.lines[m.Name]
		if l == nil {
			l = &line{}
			n.lines[m.Name] = l
		}
		l.waiting = l.waiting.with(b)
		if !l.busy {
			l.busy = true
			n.running.Go(func() { n.serve(ctx, m, l) })
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
	for name, s := range n.senders {
		switch {
		case now.Sub(s.at) > heardAge:
			delete(n.senders, name)
		case !known[name]:
			peers = append(peers, s.member)
		}
	}
	return peers
}

// note remembers a daemon that sent news.
func (n *Broadcaster) note(from *mangomessage.Member, now time.Time) {
	if from.GetName() == "" || from.GetAddress() == "" {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.senders[from.GetName()] = sender{member: mangostate.Member{Name: from.GetName(), Address: from.GetAddress()}, at: now}
}

// Exchange implements mangopeer.Handler.
func (n *Broadcaster) Exchange(_ context.Context, request *mangomessage.ExchangeRequest) (*mangomessage.ExchangeReply, error) {
	now := time.Now()
	n.note(request.GetFrom(), now)
	if request.GetRevision() > 0 {
		n.heard(request.GetRevision())
	}
	for _, s := range request.GetSightings() {
		n.see(mangoreplica.LayerReport{
			Replica: mangoreplica.Incarnation{ID: s.GetReplica(), Born: s.GetBorn()},
			Layers:  mangoreplica.LayerRange{From: int(s.GetFromLayer()), To: int(s.GetToLayer())},
		})
	}
	for _, g := range request.GetGivenOrders() {
		n.ordered(mangolayout.GivenOrder{
			Replica: mangoreplica.Incarnation{ID: g.GetReplica(), Born: g.GetBorn()},
			Layers:  mangoreplica.LayerRange{From: int(g.GetFromLayer()), To: int(g.GetToLayer())},
			Until:   now.Add(time.Duration(g.GetLeftMs()) * time.Millisecond),
		})
	}
	for _, p := range request.GetPaces() {
		n.paced(mangoreplica.Pace{
			Replica: mangoreplica.Incarnation{ID: p.GetReplica(), Born: p.GetBorn()}, Slowness: float64(p.GetSlowness()),
			At: now.Add(-time.Duration(p.GetAgeMs()) * time.Millisecond),
		}, request.GetFrom().GetName())
	}
	if c := request.GetClaim(); c != nil {
		n.claimed(request.GetFrom().GetName(), Claim{Fence: c.GetFence(), Holder: c.GetHolder()})
	}
	n.suspects.Merge(request.GetSuspicions(), now)
	fleet := n.state.View().Fleet
	for _, o := range request.GetOutages() {
		r := fleet.ByID(o.GetReplica())
		left := time.Duration(int64(o.GetHoldMs())-int64(o.GetAgeMs())) * time.Millisecond
		if r == nil || left <= 0 {
			continue
		}
		if n.board.Avoid(r.Incarnation(), mangoreplica.Cause(o.GetCause()), min(left, maxHeard), now) {
			n.logger.WithFields(logrus.Fields{
				"event": "replica_avoided", "replica": r.ID, "address": r.Address, "cause": o.GetCause(),
				"peer": request.GetFrom().GetName(), "age_ms": o.GetAgeMs(), "hold_ms": min(left, maxHeard).Milliseconds(),
			}).Warn("another daemon found a replica lost")
			n.suspect(r)
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
