package mangocheck

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"mangopath.org/mangopath/internal/mangobroadcast"
	"mangopath.org/mangopath/internal/mangoliveness"
	"mangopath.org/mangopath/internal/mangoreplica"
	"mangopath.org/mangopath/internal/mangostate"
)

const (
	// checkTimeout bounds the two attempts of a check, the second of which starts after half of it. The round trip within a
	// data centre is below a millisecond; the second attempt covers a lost packet. With 30 ms, a pause of
	// maxPause would leave only 10 ms to notice a connection.
	checkTimeout = 40 * time.Millisecond
	// maxLate and maxPause are the longest delay of the timer of a check, and the longest scheduling pause of this process during
	// it, with which a time-out counts. With longer ones the connection may have been made in time, but its timer handled first.
	// A pause of 20 ms leaves 20 ms of checkTimeout to notice a connection; 15 ms gave Unknown for lost replicas on busy machines.
	maxLate  = 15 * time.Millisecond
	maxPause = 20 * time.Millisecond
	// maxRepeats bounds the retries of a check that timed out with a longer delay or pause than these.
	maxRepeats = 1
	// settleDelay is the time between a failed check and its verdict, so that checks which began together are judged together.
	settleDelay = 5 * time.Millisecond
	// maxWitnesses bounds the other replicas to which a hub connects after a single failed check, to see whether it is cut off
	// itself.
	maxWitnesses = 2
	// holdLost is the time for which daemons that requested a check avoid a replica that was found lost.
	holdLost = 1500 * time.Millisecond
)

// State gives access to the state from the store.
type State interface {
	// View returns the latest state.
	View() *mangostate.View
}

// Dialer connects to replicas.
type Dialer interface {
	// Reach returns an error if no connection can be made within a time.
	Reach(ctx context.Context, address string, timeout time.Duration) error
}

// Sender sends messages to single daemons. Its methods never block.
type Sender interface {
	// SendCheckRequests asks a hub to check replicas; without any, it only asks for an answer.
	SendCheckRequests(to mangostate.Member, replicas []mangoreplica.Incarnation)
	// SendCheckResult reports the result of a check to the other monitor of a replica.
	SendCheckResult(to mangostate.Member, r mangobroadcast.CheckResult)
	// SendOutage reports an outage to a daemon that requested a check.
	SendOutage(to mangostate.Member, o mangoreplica.Outage)
}

// Checker requests checks from the monitors of replicas, and makes them where this daemon is a monitor. Its methods are safe for
// concurrent use, apart from OnVerdict.
type Checker struct {
	self        mangostate.Member
	state       State
	dialer      Dialer
	sender      Sender
	logger      logrus.FieldLogger
	observe     func(why, result string)
	follows     func(daemon string) bool
	onLost      func(r *mangoreplica.Replica, cause mangoreplica.Cause)
	onReachable func(r *mangoreplica.Replica)
	wake        chan struct{}

	mu    sync.Mutex
	table *Table

	// cuts has a lock of its own.
	cuts *cutWatch
}

// New returns the checker of the daemon self.
func New(self mangostate.Member, state State, dialer Dialer, sender Sender, opts ...Option) *Checker {
	c := &Checker{
		self: self, state: state, dialer: dialer, sender: sender, logger: logrus.StandardLogger(), observe: func(string, string) {},
		follows: func(string) bool { return false }, onLost: func(*mangoreplica.Replica, mangoreplica.Cause) {}, onReachable: func(*mangoreplica.Replica) {},
		wake: make(chan struct{}, 1), table: NewTable(), cuts: newCutWatch(self.DataCentre),
	}
	for _, o := range opts {
		o(c)
	}
	return c
}

// OnVerdict sets the functions that receive the replicas that were found lost and those that were reached. It must be called
// before Run, and the functions must not block.
func (c *Checker) OnVerdict(onLost func(r *mangoreplica.Replica, cause mangoreplica.Cause), onReachable func(r *mangoreplica.Replica)) {
	c.onLost, c.onReachable = onLost, onReachable
}

// RequestChecks asks the hubs that monitor replicas to check them. It reports whether each replica has such a hub. It never
// blocks.
func (c *Checker) RequestChecks(replicas []*mangoreplica.Replica) bool {
	hubs := c.state.View().Members
	wanted := map[mangostate.Member][]mangoreplica.Incarnation{}
	complete := true
	for _, r := range replicas {
		monitors := mangoliveness.Monitors(r, hubs)
		complete = complete && len(monitors) > 0
		for _, m := range monitors {
			wanted[m] = append(wanted[m], r.Incarnation())
		}
	}
	for m, list := range wanted {
		if m.Name == c.self.Name {
			c.HandleRequests(c.self, list)
			continue
		}
		c.sender.SendCheckRequests(m, list)
	}
	c.recordAsked(replicas)
	return complete
}

// HandleRequests takes the request of a daemon to check replicas. It never blocks.
func (c *Checker) HandleRequests(from mangostate.Member, wanted []mangoreplica.Incarnation) {
	now := time.Now()
	view := c.state.View()
	for _, i := range wanted {
		r := view.Fleet.ByID(i.ID)
		switch {
		case r == nil || r.Born < i.Born:
			// The view of this daemon is older than that of the requester, which then checks the replica itself.
		case r.Born > i.Born:
			c.reportReplaced(r, i, from, now)
		default:
			c.request(r, from, view.Members, now)
		}
	}
	c.signal()
}

// reportReplaced reports the end of an incarnation of a replica that has started anew since.
func (c *Checker) reportReplaced(current *mangoreplica.Replica, i mangoreplica.Incarnation, requester mangostate.Member, now time.Time) {
	old := *current
	old.Born = i.Born
	c.onLost(&old, mangoreplica.CauseEnded)
	c.notifyRequesters(&old, mangoreplica.CauseEnded, []mangostate.Member{requester}, now)
}

func (c *Checker) request(r *mangoreplica.Replica, from mangostate.Member, hubs []mangostate.Member, now time.Time) {
	rank := slices.IndexFunc(mangoliveness.Monitors(r, hubs), func(m mangostate.Member) bool { return m.Name == c.self.Name })
	if rank < 0 {
		return
	}
	c.mu.Lock()
	found := c.table.Request(r, from, rank, now)
	c.mu.Unlock()
	if found != 0 {
		c.notifyRequesters(r, found.cause(), []mangostate.Member{from}, now)
	}
}

// HandleResult takes the result of a check by the other monitor of a replica. It never blocks.
func (c *Checker) HandleResult(result mangobroadcast.CheckResult, _ string) {
	r := c.state.View().Fleet.ByID(result.Replica.ID)
	if r == nil || r.Born != result.Replica.Born {
		return
	}
	c.mu.Lock()
	change := c.table.RecordOther(r, result.Reachable, result.At)
	c.mu.Unlock()
	switch change {
	case Lost:
		c.conclude(r, Unreachable, 0)
	case Disputed:
		c.logger.WithFields(logrus.Fields{"event": "verdict_withdrawn", "replica": r.ID, "address": r.Address}).
			Warn("the other monitor of a replica that was found lost reached it meanwhile")
		c.onReachable(r)
	case Sound, Withheld:
	}
	c.signal()
}

func (c *Checker) signal() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// Run makes the checks that are due until the context ends.
func (c *Checker) Run(ctx context.Context) error {
	var running sync.WaitGroup
	defer running.Wait()
	running.Go(func() { c.watchCuts(ctx) })
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		c.mu.Lock()
		due := c.table.Start(time.Now())
		next, ok := c.table.Next()
		c.mu.Unlock()
		for _, r := range due {
			running.Go(func() { c.check(ctx, r) })
		}
		timer.Stop()
		if ok {
			timer.Reset(time.Until(next))
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-timer.C:
		case <-c.wake:
		}
	}
}

// check connects to a replica, sends the result to the other monitor and acts on the verdict.
func (c *Checker) check(ctx context.Context, r *mangoreplica.Replica) {
	startedAt := time.Now()
	result := c.reach(ctx, r.Address, checkTimeout)
	took := time.Since(startedAt)
	c.mu.Lock()
	if result == Unknown && c.table.ReachedSince(startedAt) {
		// This hub has noticed other connections since the start, so it would have noticed one to this replica.
		result = Unreachable
	}
	c.table.Finish(r.Incarnation(), result, time.Now())
	c.mu.Unlock()
	c.signal()
	if ctx.Err() != nil {
		return
	}
	isFirst := c.sendToOtherMonitor(r, result)
	if result == Unreachable {
		sleep(ctx, settleDelay)
		c.findWitness(ctx, r)
	}
	verdict := c.conclude(r, result, took)
	c.count(isFirst, result, verdict)
}

// cause returns the cause for which a replica with a result other than Reachable is avoided.
func (r Result) cause() mangoreplica.Cause {
	if r == Ended {
		return mangoreplica.CauseEnded
	}
	return mangoreplica.CauseUnreachable
}

// sendToOtherMonitor sends the result of a check to the other monitor of the replica, unless it is Unknown. It reports whether
// this daemon is the first monitor.
func (c *Checker) sendToOtherMonitor(r *mangoreplica.Replica, result Result) (isFirst bool) {
	for i, m := range mangoliveness.Monitors(r, c.state.View().Members) {
		if m.Name == c.self.Name {
			isFirst = i == 0
			continue
		}
		if result == Unknown {
			continue
		}
		c.sender.SendCheckResult(m, mangobroadcast.CheckResult{Replica: r.Incarnation(), Reachable: result == Reachable, At: time.Now()})
	}
	return isFirst
}

// count counts a check by its result, or by its verdict if that is Disputed or Withheld.
func (c *Checker) count(isFirst bool, result Result, v Verdict) {
	why, name := "Requested", result.String()
	if !isFirst {
		why = "Confirmed"
	}
	if v == Disputed || v == Withheld {
		name = v.String()
	}
	c.observe(why, name)
}

// conclude acts on the verdict on a check and returns it.
func (c *Checker) conclude(r *mangoreplica.Replica, result Result, took time.Duration) Verdict {
	now := time.Now()
	alone := len(mangoliveness.Monitors(r, c.state.View().Members)) < 2
	c.mu.Lock()
	if alone {
		c.table.MarkOnlyMonitor(r.Incarnation())
	}
	verdict, requesters := c.table.Judge(r.Incarnation(), now)
	mistrusted := c.table.Mistrusted(now)
	c.mu.Unlock()
	c.log(r, result, verdict, len(requesters), took, mistrusted)
	if verdict == Sound {
		c.onReachable(r)
	}
	if verdict == Lost {
		c.onLost(r, result.cause())
		c.notifyRequesters(r, result.cause(), requesters, now)
	}
	return verdict
}

func (c *Checker) log(r *mangoreplica.Replica, result Result, verdict Verdict, requesters int, took time.Duration, mistrusted bool) {
	entry := c.logger.WithFields(logrus.Fields{
		"event": "replica_checked", "replica": r.ID, "address": r.Address, "asked_by": requesters, "reachable": result == Reachable,
		"result": result.String(), "verdict": verdict.String(), "took_ms": took.Milliseconds(), "mistrusted": mistrusted,
	})
	if verdict == Sound {
		entry.Debug("a replica was checked for other daemons")
		return
	}
	entry.Warn("a replica that was checked for other daemons did not answer")
}

// notifyRequesters sends the loss of a replica to the daemons that requested its check, unless they follow this hub and get its
// announcement. So they learn of it even if the hub that they follow is lost or has no connection to this one.
func (c *Checker) notifyRequesters(r *mangoreplica.Replica, cause mangoreplica.Cause, requesters []mangostate.Member, now time.Time) {
	o := mangoreplica.Outage{Replica: r.Incarnation(), Cause: cause, At: now, Until: now.Add(holdLost), Checked: true}
	for _, m := range requesters {
		if m.Name != c.self.Name && !c.follows(m.Name) {
			c.sender.SendOutage(m, o)
		}
	}
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
