package mangonews

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"mangopath.org/mangopath/internal/mangopeer"
	"mangopath.org/mangopath/internal/mangoreplica"
	"mangopath.org/mangopath/internal/mangostate"
	"mangopath.org/mangopath/internal/mangosuspect"
	"mangopath.org/mangopath/pkg/mangomessage"
)

const (
	// batch is the pause in which news gathers; the parts of a chain are often found lost together.
	batch = 5 * time.Millisecond
	// sendTimeout bounds one message to one daemon.
	sendTimeout = 500 * time.Millisecond
	// maxHeard bounds how long a replica is avoided on another daemon's word, which may see less than this one.
	maxHeard = 1500 * time.Millisecond
	// maxWaiting bounds the outages that wait to be told.
	maxWaiting = 1024
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

// News sends and receives news. Its methods are safe for concurrent use.
type News struct {
	self     mangostate.Member
	client   Exchanger
	state    State
	board    *mangoreplica.Board
	suspects *mangosuspect.Suspects
	logger   logrus.FieldLogger
	wake     chan struct{}
	heard    func(revision uint64)
	see      func(s mangoreplica.Sighting)
	suspect  func(r *mangoreplica.Replica)

	mu        sync.Mutex
	waiting   []mangoreplica.Outage
	sightings []mangoreplica.Sighting
	// revision is one of the store's that the others are to be told; 0 if there is none.
	revision uint64
	// told is the position in the log of suspects up to which each daemon was told.
	told map[string]uint64
	// unreached has the daemons that did not answer last time.
	unreached map[string]bool
	// senders has the daemons that sent news, with the time of the last one.
	senders map[string]sender
}

// sender is a daemon that sent news.
type sender struct {
	member mangostate.Member
	at     time.Time
}

var _ mangopeer.Handler = (*News)(nil)

// Option sets a property of News.
type Option func(*News)

// WithLogger sets the logger.
func WithLogger(l logrus.FieldLogger) Option { return func(n *News) { n.logger = l } }

// Receive sets the receivers of what other daemons have seen: revisions of the store and layers of replicas. It must be
// called before Run, and the receivers must not block.
func (n *News) Receive(heard func(revision uint64), see func(s mangoreplica.Sighting)) {
	n.heard, n.see = heard, see
}

// Verify sets the function that checks replicas that other daemons found lost. It must be called before Run, and the
// function must not block.
func (n *News) Verify(suspect func(r *mangoreplica.Replica)) { n.suspect = suspect }

// New returns News of a daemon.
func New(
	self mangostate.Member, client Exchanger, state State, board *mangoreplica.Board, suspects *mangosuspect.Suspects, opts ...Option,
) *News {
	n := &News{
		self: self, client: client, state: state, board: board, suspects: suspects, logger: logrus.StandardLogger(),
		wake: make(chan struct{}, 1), told: map[string]uint64{}, unreached: map[string]bool{}, senders: map[string]sender{}, heard: func(uint64) {},
		see: func(mangoreplica.Sighting) {}, suspect: func(*mangoreplica.Replica) {},
	}
	for _, o := range opts {
		o(n)
	}
	return n
}

// Announce queues an outage for the other daemons. It never blocks.
func (n *News) Announce(o mangoreplica.Outage) {
	n.mu.Lock()
	if len(n.waiting) < maxWaiting {
		n.waiting = append(n.waiting, o)
	}
	n.mu.Unlock()
	n.Crashed()
}

// Revision queues a revision of the store for the other daemons. It never blocks.
func (n *News) Revision(revision uint64) {
	n.mu.Lock()
	n.revision = max(n.revision, revision)
	n.mu.Unlock()
	n.Crashed()
}

// Sighted queues what a replica said of its layers for the other daemons. It never blocks.
func (n *News) Sighted(s mangoreplica.Sighting) {
	n.mu.Lock()
	if len(n.sightings) < maxWaiting {
		n.sightings = append(n.sightings, s)
	}
	n.mu.Unlock()
	n.Crashed()
}

// Crashed says that there is something new about requests that crash replicas. It never blocks.
func (n *News) Crashed() {
	select {
	case n.wake <- struct{}{}:
	default:
	}
}

// Run sends news until the context ends.
func (n *News) Run(ctx context.Context) error {
	again := time.NewTicker(repeatUnreached)
	defer again.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-again.C:
			n.mu.Lock()
			idle := len(n.unreached) == 0
			n.mu.Unlock()
			if idle {
				continue
			}
		case <-n.wake:
		}
		timer := time.NewTimer(batch)
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
		timer.Stop()
		n.send(ctx)
	}
}

// send tells all other daemons what is new.
func (n *News) send(ctx context.Context) {
	now := time.Now()
	news := n.take(now)
	var group sync.WaitGroup
	for _, m := range n.peers(now) {
		group.Go(func() { n.tell(ctx, m, news, now) })
	}
	group.Wait()
}

// peers returns the other daemons: those that are announced in the store, and those that sent news a short while ago.
func (n *News) peers(now time.Time) []mangostate.Member {
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
func (n *News) note(from *mangomessage.Member, now time.Time) {
	if from.GetName() == "" || from.GetAddress() == "" {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.senders[from.GetName()] = sender{member: mangostate.Member{Name: from.GetName(), Address: from.GetAddress()}, at: now}
}

// take returns what waits to be told.
func (n *News) take(now time.Time) *mangomessage.ExchangeRequest {
	n.mu.Lock()
	defer n.mu.Unlock()
	news := &mangomessage.ExchangeRequest{
		From: &mangomessage.Member{Name: n.self.Name, Address: n.self.Address}, Revision: n.revision,
	}
	for _, o := range n.waiting {
		news.Outages = append(news.Outages, &mangomessage.Outage{
			Replica: o.Replica.ID, Cause: string(o.Cause), AgeMs: milliseconds(now.Sub(o.At)), HoldMs: milliseconds(o.Until.Sub(o.At)),
		})
	}
	for _, s := range n.sightings {
		news.Sightings = append(news.Sightings, &mangomessage.Sighting{
			Replica: s.Replica.ID, Born: s.Replica.Born, FromLayer: uint32(s.Layers.From), ToLayer: uint32(s.Layers.To),
		})
	}
	n.waiting, n.sightings, n.revision = nil, nil, 0
	return news
}

func milliseconds(d time.Duration) uint32 { return uint32(max(d, 0) / time.Millisecond) }

func (n *News) tell(ctx context.Context, m mangostate.Member, news *mangomessage.ExchangeRequest, now time.Time) {
	n.mu.Lock()
	after := n.told[m.Name]
	n.mu.Unlock()
	suspicions, next := n.suspects.News(after, now)
	if len(news.GetOutages()) == 0 && len(news.GetSightings()) == 0 && len(suspicions) == 0 && news.GetRevision() == 0 {
		n.reached(m.Name, next, true)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	_, err := n.client.Exchange(ctx, m.Address, &mangomessage.ExchangeRequest{
		From: news.GetFrom(), Outages: news.GetOutages(), Sightings: news.GetSightings(), Revision: news.GetRevision(),
		Suspicions: suspicions,
	})
	if err != nil {
		n.logger.WithFields(logrus.Fields{"event": "peer_unreached", "peer": m.Name, "address": m.Address}).WithError(err).
			Warn("a daemon could not be told the news")
		n.reached(m.Name, after, false)
		return
	}
	n.reached(m.Name, next, true)
}

// reached notes whether a daemon was told. Outages are not told again, since they are old by then; suspicions are.
func (n *News) reached(name string, next uint64, ok bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.told[name] = next
	if ok {
		delete(n.unreached, name)
		return
	}
	n.unreached[name] = true
}

// Exchange implements mangopeer.Handler.
func (n *News) Exchange(_ context.Context, request *mangomessage.ExchangeRequest) (*mangomessage.ExchangeReply, error) {
	now := time.Now()
	n.note(request.GetFrom(), now)
	if request.GetRevision() > 0 {
		n.heard(request.GetRevision())
	}
	for _, s := range request.GetSightings() {
		n.see(mangoreplica.Sighting{
			Replica: mangoreplica.Incarnation{ID: s.GetReplica(), Born: s.GetBorn()},
			Layers:  mangoreplica.Range{From: int(s.GetFromLayer()), To: int(s.GetToLayer())},
		})
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
func (n *News) Fetch(context.Context, *mangomessage.FetchRequest) (*mangomessage.FetchReply, error) {
	return nil, &Error{Op: "Fetch", Kind: KindNotServed}
}

// Status implements mangopeer.Handler; records of calls are not kept here.
func (n *News) Status(context.Context, *mangomessage.StatusRequest) (*mangomessage.StatusReply, error) {
	return nil, &Error{Op: "Status", Kind: KindNotServed}
}
