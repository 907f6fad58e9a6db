package mangorelay

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

	"mangopath.org/mangopath/internal/mangopipeline"
	"mangopath.org/mangopath/internal/mangoreplica"
)

const (
	// localCheckAfter is the time from the first request to hubs until this daemon checks a silent chain itself.
	localCheckAfter = 150 * time.Millisecond
	// localChecksPerSecond is the rate of the token bucket for the connections, reports included, by which a daemon checks silent
	// chains itself, and localCheckBurst its size: chains with two first replicas often fall silent together.
	localChecksPerSecond = 4
	localCheckBurst      = 2
	// stallCheckInterval is the least time between two reports of one replica. It leaves connections to others between them.
	stallCheckInterval = 250 * time.Millisecond
	// localCheckInterval is the least time between two own checks of one replica of a silent chain.
	localCheckInterval = time.Second
)

// Reasons for which a daemon connects to a replica, as they appear in metrics.
const (
	// whySilent: its chain is silent and no hub has announced a loss.
	whySilent = "Silent"
	// whyBroken: a connection to it broke, or it refused a request for want of capacity.
	whyBroken = "Broken"
	// whyRefused: it did not answer a request for its health.
	whyRefused = "Refused"
	// whyReported: this daemon's monitor or another daemon reported that it is lost.
	whyReported = "Reported"
)

// CheckRequester asks the hubs that monitor replicas to check them.
type CheckRequester interface {
	// RequestChecks asks for checks and reports whether each replica has a hub that monitors it. It never blocks.
	RequestChecks(replicas []*mangoreplica.Replica) bool
}

// WithCheckRequester sets what asks hubs to check the replicas of silent chains. Without it the relay checks them itself.
func WithCheckRequester(c CheckRequester) Option {
	return func(r *Relay) { r.chainChecks.requester = c }
}

// WithCheckObserver sets the function that counts this daemon's own checks, by why they were made and by their result.
func WithCheckObserver(f func(why, result string)) Option {
	return func(r *Relay) { r.chainChecks.count = f }
}

// chainChecks has the limits of the checks of silent chains and of the requests for them.
type chainChecks struct {
	requester CheckRequester
	count     func(why, result string)
	// replicas limits the requests to hubs for each replica.
	replicas *checkLimiter
	// localMu makes the choice of an own check and the use of its token atomic.
	localMu sync.Mutex
	// local limits own checks for each replica, and connections the sum of them.
	local       *checkLimiter
	connections *rate.Limiter
	// reportedLast says that the last own check was a report; localMu guards it.
	reportedLast bool
}

func newChainChecks() *chainChecks {
	return &chainChecks{
		requester: noCheckRequester{}, count: func(string, string) {}, replicas: newCheckLimiter(requestInterval),
		local: newCheckLimiter(localCheckInterval), connections: rate.NewLimiter(localChecksPerSecond, localCheckBurst),
	}
}

// observe counts an own check by the error of its connection.
func (c *chainChecks) observe(why string, err error) {
	result := "Reachable"
	if err != nil {
		result = string(connectErrorCause(err))
		if why == whySilent {
			// A check that fails has made two connections.
			c.connections.Reserve()
		}
	}
	c.count(why, result)
}

// countReport counts a report that was read to find the lost replica of a silent chain.
func (c *chainChecks) countReport(err error, stalls int) {
	switch {
	case err != nil:
		c.count("Report", "Failed")
	case stalls > 0:
		c.count("Report", "Stalled")
	default:
		c.count("Report", "Empty")
	}
}

// checkSilentChain has the replicas of a chain checked that has been silent for longer than the limit soft: by the hubs that
// monitor them, and by this daemon if there are none or if they have announced no loss in time.
func (r *Relay) checkSilentChain(t target, requestID string, silent, soft time.Duration) {
	now := time.Now()
	if r.endReplaced(t.stages) {
		return
	}
	hasHubs := r.requestChecks(t, requestID, silent, soft, now)
	// Behind hubs the report of the first replica comes first: a process that is suspended still accepts the connections of the
	// hubs, and only the report shows that others wait for it.
	if !hasHubs || silent >= max(soft+localCheckAfter, stallCheckAfter) {
		r.checkLocally(t, requestID, silent, now)
	}
}

// endReplaced records the end of the replicas of a chain that have started anew since, and reports whether there are any.
func (r *Relay) endReplaced(stages []mangopipeline.Stage) bool {
	fleet := r.state.View().Fleet
	found := false
	for _, s := range stages {
		if entry := fleet.ByID(s.Replica.ID); entry != nil && entry.Born > s.Replica.Born {
			found = true
			r.health.Avoid(s.Replica.Incarnation(), mangoreplica.CauseEnded, holdLost, time.Now())
			r.inFlight.wakeAll(s.Replica.Incarnation())
		}
	}
	return found
}

// requestChecks asks hubs to check the replicas of a chain that this daemon has not asked for within requestInterval, that are not
// known to be lost, and that no event of another stream has passed lately. The limit is not one of the first replica, as the
// other stages of its chains differ. It reports whether there are hubs to ask, as far as it had to look.
func (r *Relay) requestChecks(t target, requestID string, silent, soft time.Duration, now time.Time) bool {
	outages := r.health.Outages(now)
	var replicas []*mangoreplica.Replica
	for _, s := range t.stages {
		i := s.Replica.Incarnation()
		if outages[i].Cause.LikelyDown() || r.inFlight.hasPassed(i, silent/provenDivisor, now) || !r.chainChecks.replicas.allow(i, now) {
			continue
		}
		replicas = append(replicas, s.Replica)
	}
	if len(replicas) == 0 {
		return true
	}
	if !r.chainChecks.requester.RequestChecks(replicas) {
		return false
	}
	r.logger.WithFields(logrus.Fields{
		"event": "checks_requested", "request": requestID, "first": t.first.ID, "replicas": len(replicas), "silent_ms": silent.Milliseconds(), "soft_ms": soft.Milliseconds(),
	}).Info("the hubs are asked to check the replicas of a silent chain")
	return true
}

// checkLocally lets this daemon look for the lost replica of a silent chain, few times in a second: in turns by the report of the
// first replica, once that can show stalled requests, and by a connection to the first replica or the next one.
func (r *Relay) checkLocally(t target, requestID string, silent time.Duration, now time.Time) {
	r.chainChecks.localMu.Lock()
	defer r.chainChecks.localMu.Unlock()
	if r.chainChecks.connections.TokensAt(now) < 1 {
		return
	}
	canReport := silent >= stallCheckAfter
	switch {
	case canReport && !r.chainChecks.reportedLast && r.readStalls(t, requestID, now):
	case r.connectNext(t, requestID, silent, now):
	case canReport:
		r.readStalls(t, requestID, now)
	}
}

// readStalls asks the first replica of a chain for its stalled requests, unless it was asked within stallCheckInterval.
func (r *Relay) readStalls(t target, requestID string, now time.Time) bool {
	if !r.stallChecks.allow(t.first.Incarnation(), now) {
		return false
	}
	r.chainChecks.connections.AllowN(now, 1)
	r.chainChecks.reportedLast = true
	r.checkStalls(t.first, requestID)
	return true
}

// connectNext connects to the first replica of a chain that this daemon has not checked within localCheckInterval and that no event
// of another stream has passed since half of the silence.
func (r *Relay) connectNext(t target, requestID string, silent time.Duration, now time.Time) bool {
	for _, s := range t.stages {
		if r.inFlight.hasPassed(s.Replica.Incarnation(), silent/provenDivisor, now) || !r.chainChecks.local.allow(s.Replica.Incarnation(), now) {
			continue
		}
		r.chainChecks.connections.AllowN(now, 1)
		r.chainChecks.reportedLast = false
		candidates := r.crashCandidates(s.Replica)
		r.enqueueCheck(func(ctx context.Context) { r.connectOrAvoid(ctx, s.Replica, requestID, candidates, whySilent) })
		return true
	}
	return false
}

// ReportLost records that a check that this daemon made as a hub has found a replica lost, and tells the other daemons. It never
// blocks.
func (r *Relay) ReportLost(replica *mangoreplica.Replica, cause mangoreplica.Cause) {
	now := time.Now()
	if !r.health.Avoid(replica.Incarnation(), cause, holdLost, now) {
		return
	}
	r.logger.WithFields(logrus.Fields{
		"event": "replica_avoided", "replica": replica.ID, "address": replica.Address, "cause": string(cause), "hold_ms": holdLost.Milliseconds(),
	}).Warn("replica is avoided for a while")
	r.peers.AnnounceOutage(mangoreplica.Outage{Replica: replica.Incarnation(), Cause: cause, At: now, Until: now.Add(holdLost), Checked: true})
	r.reportFoundLost(replica, cause)
	r.inFlight.wakeAll(replica.Incarnation())
}

// ReportReachable ends the outage of a replica that a check of this daemon has reached. It never blocks.
func (r *Relay) ReportReachable(replica *mangoreplica.Replica) { r.markReachable(replica, "") }

// reportFoundLost reports the requests in flight on a replica that a hub found lost as those that may have crashed it. If the
// replica only does not answer, they count as whole requests, and only if no other replica of the data centre is out of reach.
func (r *Relay) reportFoundLost(replica *mangoreplica.Replica, cause mangoreplica.Cause) {
	candidates := r.crashCandidates(replica)
	switch {
	case len(candidates) == 0:
	case cause == mangoreplica.CauseEnded:
		r.reportCrash(replica, candidates)
	case cause == mangoreplica.CauseUnreachable:
		r.enqueueCheck(func(ctx context.Context) {
			if !r.dataCentreUnreachable(ctx, replica) {
				r.reportCrash(replica, withoutParts(candidates))
			}
		})
	}
}

type noCheckRequester struct{}

func (noCheckRequester) RequestChecks([]*mangoreplica.Replica) bool { return false }
