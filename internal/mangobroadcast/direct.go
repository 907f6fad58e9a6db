package mangobroadcast

import (
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"mangopath.org/mangopath/internal/mangoliveness"
	"mangopath.org/mangopath/internal/mangoreplica"
	"mangopath.org/mangopath/internal/mangostate"
	"mangopath.org/mangopath/pkg/mangomessage"
)

// CheckResult is the result of a check of a replica that a hub made.
type CheckResult struct {
	Replica mangoreplica.Incarnation
	// Reachable says that a connection was made.
	Reachable bool
	// At is the end of the check.
	At time.Time
}

// checkHandlers are the functions that receive messages about checks of replicas.
type checkHandlers struct {
	onRequests      func(from mangostate.Member, replicas []mangoreplica.Incarnation)
	onResult        func(r CheckResult, from string)
	onCheckedOutage func(r *mangoreplica.Replica)
	onAlive         func(m mangostate.Member)
	onSeatRequest   func(from mangostate.Member)
}

func newCheckHandlers() checkHandlers {
	return checkHandlers{
		onRequests: func(mangostate.Member, []mangoreplica.Incarnation) {}, onResult: func(CheckResult, string) {},
		onCheckedOutage: func(*mangoreplica.Replica) {}, onAlive: func(mangostate.Member) {},
		onSeatRequest: func(mangostate.Member) {},
	}
}

// OnCheckRequests sets the function that receives the requests of other daemons to check replicas. It must be called before Run,
// and the function must not block.
func (br *Broadcaster) OnCheckRequests(f func(from mangostate.Member, replicas []mangoreplica.Incarnation)) {
	br.checks.onRequests = f
}

// OnCheckResult sets the function that receives the results of checks that another hub made. It must be called before Run, and
// the function must not block.
func (br *Broadcaster) OnCheckResult(f func(r CheckResult, from string)) { br.checks.onResult = f }

// OnCheckedOutage sets the function that is called after a hub that monitors a replica announced that it is lost. It must be
// called before Run, and the function must not block.
func (br *Broadcaster) OnCheckedOutage(f func(r *mangoreplica.Replica)) {
	br.checks.onCheckedOutage = f
}

// OnAlive sets the function that is called when a daemon has answered a message that was sent to it alone, or has sent one. It must be
// called before Run, and the function must not block.
func (br *Broadcaster) OnAlive(f func(m mangostate.Member)) { br.checks.onAlive = f }

// OnSeatRequest sets the function that is called when a larger host asks this daemon for its seat. It must be called before Run, and
// the function must not block.
func (br *Broadcaster) OnSeatRequest(f func(from mangostate.Member)) { br.checks.onSeatRequest = f }

// directBatch has the messages to a single daemon that are sent together.
type directBatch struct {
	requests []mangoreplica.Incarnation
	results  []CheckResult
	outages  []mangoreplica.Outage
	// needsAnswer says that the message is sent although it may have no content: its answer shows that the daemon is alive.
	needsAnswer bool
	// seatWanted says that the receiver is asked for its seat.
	seatWanted bool
}

func (b directBatch) empty() bool {
	return len(b.requests) == 0 && len(b.results) == 0 && len(b.outages) == 0 && !b.needsAnswer && !b.seatWanted
}

// mergedWith returns the batch with a later one added.
func (b directBatch) mergedWith(o directBatch) directBatch {
	b.requests = appendBounded(b.requests, o.requests)
	b.results = appendBounded(b.results, o.results)
	b.outages = appendBounded(b.outages, o.outages)
	b.needsAnswer = b.needsAnswer || o.needsAnswer
	b.seatWanted = b.seatWanted || o.seatWanted
	return b
}

// message encodes the batch.
func (b directBatch) message(self mangostate.Member, now time.Time) *mangomessage.ExchangeRequest {
	m := batch{outages: b.outages}.message(self, now)
	m.SeatWanted = b.seatWanted
	for _, r := range b.requests {
		m.CheckRequests = append(m.CheckRequests, &mangomessage.CheckRequest{Replica: r.ID, Born: r.Born})
	}
	for _, r := range b.results {
		m.CheckResults = append(m.CheckResults, &mangomessage.CheckResult{
			Replica: r.Replica.ID, Born: r.Replica.Born, Reachable: r.Reachable, AgeMs: milliseconds(now.Sub(r.At)),
		})
	}
	return m
}

// directQueue holds what is to be sent to one daemon only.
type directQueue struct {
	member mangostate.Member
	queued directBatch
	// sending says that a goroutine is sending what is queued.
	sending bool
}

// SendCheckRequests asks a hub to check replicas. Without replicas it only asks for an answer, as a sign of life. The function of OnAlive
// is called when the answer arrives. It never blocks.
func (br *Broadcaster) SendCheckRequests(to mangostate.Member, replicas []mangoreplica.Incarnation) {
	br.enqueueDirect(to, directBatch{requests: replicas, needsAnswer: true})
}

// SendCheckResult sends a hub the result of a check. It never blocks.
func (br *Broadcaster) SendCheckResult(to mangostate.Member, r CheckResult) {
	br.enqueueDirect(to, directBatch{results: []CheckResult{r}})
}

// SendOutage sends an outage to a single daemon. It never blocks.
func (br *Broadcaster) SendOutage(to mangostate.Member, o mangoreplica.Outage) {
	br.enqueueDirect(to, directBatch{outages: []mangoreplica.Outage{o}})
}

// SendSeatRequest asks a hub for its seat. It never blocks.
func (br *Broadcaster) SendSeatRequest(to mangostate.Member) {
	br.enqueueDirect(to, directBatch{seatWanted: true})
}

// enqueueDirect adds to what the next round of messages sends to one daemon, and starts that round.
func (br *Broadcaster) enqueueDirect(to mangostate.Member, b directBatch) {
	br.mu.Lock()
	q := br.directQueues[to.Name]
	if q == nil {
		q = &directQueue{}
		br.directQueues[to.Name] = q
	}
	q.member = to
	q.queued = q.queued.mergedWith(b)
	br.mu.Unlock()
	br.ReportCrash()
}

// distributeDirect starts a goroutine for each direct queue that has something to send and no goroutine, and removes the empty
// queues.
func (br *Broadcaster) distributeDirect(ctx context.Context) {
	br.mu.Lock()
	defer br.mu.Unlock()
	for name, q := range br.directQueues {
		switch {
		case q.sending:
		case q.queued.empty():
			delete(br.directQueues, name)
		default:
			q.sending = true
			br.sendLoops.Go(func() { br.sendDirect(ctx, q) })
		}
	}
}

// sendDirect sends the queued messages to one daemon until none is left. Messages that could not be sent are dropped, since they
// would be out of date by the next attempt.
func (br *Broadcaster) sendDirect(ctx context.Context, q *directQueue) {
	for {
		br.mu.Lock()
		b, to := q.queued, q.member
		q.queued = directBatch{}
		if b.empty() {
			q.sending = false
			br.mu.Unlock()
			return
		}
		br.mu.Unlock()
		sendCtx, cancel := context.WithTimeout(ctx, sendTimeout)
		_, err := br.client.Exchange(sendCtx, to.Address, b.message(br.self, time.Now()))
		cancel()
		if err != nil {
			br.logger.WithFields(logrus.Fields{"event": "peer_unreached", "peer": to.Name, "address": to.Address}).WithError(err).
				Warn("a message to a daemon about checks failed")
			continue
		}
		br.checks.onAlive(to)
	}
}

// receiveChecks passes on the requests and the results of checks in a message.
func (br *Broadcaster) receiveChecks(request *mangomessage.ExchangeRequest, now time.Time) {
	from := mangostate.Member{
		Name: request.GetFrom().GetName(), DataCentre: request.GetFrom().GetDataCentre(), Address: request.GetFrom().GetAddress(),
	}
	br.checks.onAlive(from)
	if request.GetSeatWanted() {
		br.checks.onSeatRequest(from)
	}
	if len(request.GetCheckRequests()) > 0 {
		var replicas []mangoreplica.Incarnation
		for _, r := range request.GetCheckRequests() {
			replicas = append(replicas, mangoreplica.Incarnation{ID: r.GetReplica(), Born: r.GetBorn()})
		}
		br.checks.onRequests(from, replicas)
	}
	for _, r := range request.GetCheckResults() {
		br.checks.onResult(CheckResult{
			Replica: mangoreplica.Incarnation{ID: r.GetReplica(), Born: r.GetBorn()}, Reachable: r.GetReachable(),
			At: now.Add(-time.Duration(r.GetAgeMs()) * time.Millisecond),
		}, from.Name)
	}
}

// checkedByMonitor reports whether an outage was found by a check of the hub that announced it, which monitors the replica.
func (br *Broadcaster) checkedByMonitor(r *mangoreplica.Replica, o *mangomessage.Outage, peer string) bool {
	return o.GetChecked() && slices.ContainsFunc(
		mangoliveness.Monitors(r, br.state.View().Members), func(m mangostate.Member) bool { return m.Name == peer },
	)
}
