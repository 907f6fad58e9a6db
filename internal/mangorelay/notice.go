package mangorelay

import (
	"time"

	"github.com/sirupsen/logrus"

	"mangopath.org/mangopath/internal/mangolimit"
	"mangopath.org/mangopath/internal/mangopipeline"
	"mangopath.org/mangopath/internal/mangoreplica"
)

// maxReturnJitter is the largest random part of a Retry-After value, as a share of it, that keeps refused callers from
// returning all at once.
const maxReturnJitter = 0.25

// NoticeHandler takes what a replica said about itself in an answer. request is the caller's id of the attempt; empty if the
// answer was to a request of the daemon itself.
type NoticeHandler func(replica *mangoreplica.Replica, n mangoreplica.Notice, request string)

// NewNoticeHandler returns a handler that records notices in the health tracker and tells the other daemons of replicas that
// are leaving and of changed limits. A pause concerns this daemon only.
func NewNoticeHandler(
	health *mangoreplica.HealthTracker, limiter *mangolimit.Limiter, peers PeerNotifier, logger logrus.FieldLogger,
) NoticeHandler {
	return func(replica *mangoreplica.Replica, n mangoreplica.Notice, request string) {
		now := time.Now()
		i := replica.Incarnation()
		entry := logger.WithFields(logrus.Fields{"replica": replica.ID, "address": replica.Address, "request": request})
		if n.Leaving && health.MarkLeaving(i, now) {
			entry.WithField("event", "replica_leaving").Info("replica says that it is leaving and gets nothing new")
			peers.AnnounceOutage(mangoreplica.Outage{Replica: i, Cause: mangoreplica.CauseStopping, At: now, Until: now.Add(holdLeaving)})
		}
		if n.RateLimit.Unreadable {
			entry.WithField("event", "limit_unreadable").Warn("the limit that a replica names can't be read; the last one goes on")
		} else {
			recordLimit(replica, n.RateLimit, now, limiter, peers, entry)
		}
		if unknown, many := health.RecordLoad(replica.ID, n.Load, now); many {
			entry.WithFields(logrus.Fields{
				"event": "load_reported", "running": n.Load.Running, "waiting": n.Load.Waiting, "slots": n.Load.Slots, "unknown": unknown,
			}).Info("replica reports many requests that no daemon is known to have sent")
		}
		if health.Pause(i, n.RetryAfter, now) {
			entry.WithFields(logrus.Fields{"event": "replica_paused", "pause_ms": min(n.RetryAfter, mangoreplica.MaxRetryAfter).Milliseconds()}).
				Info("replica wants no requests for a time")
		}
	}
}

// recordLimit records what an answer says about the limit of a replica, and tells the other daemons if it changed.
func recordLimit(
	replica *mangoreplica.Replica, r mangoreplica.RateLimit, now time.Time, limiter *mangolimit.Limiter, peers PeerNotifier, entry *logrus.Entry,
) {
	l := mangolimit.Limit{Replica: replica.Incarnation(), Service: replica.Service, Named: r.Named, PerSecond: r.PerSecond, At: now}
	if !limiter.Record(l) {
		return
	}
	peers.AnnounceRateLimit(l)
	entry.WithFields(logrus.Fields{"event": "replica_limited", "limited": l.Named, "per_second": l.PerSecond}).
		Info("the limit on requests that a replica names changed")
}

// pauseLeft returns the time until a new request could be sent because pauses that replicas asked for have ended; 0 if no
// replica has asked for one, or if other causes remain when all have ended.
func (c *call) pauseLeft(now time.Time) time.Duration {
	if c.hasTargetAt(now) {
		return 0
	}
	for _, end := range c.relay.health.PauseEnds(now) {
		if c.hasTargetAt(end) {
			return end.Sub(now)
		}
	}
	return 0
}

// hasTargetAt reports whether the replicas of the service could take a request at a time, by what is known now.
func (c *call) hasTargetAt(at time.Time) bool {
	replicas := c.relay.state.View().Fleet.ByService(c.serviceName)
	if c.route.Pipelined && c.service.Split() {
		view := mangopipeline.View{Replicas: replicas, Engine: c.service.Engine, Status: c.relay.health, Now: at}
		return len(mangopipeline.CoveredDataCentres(view)) > 0
	}
	for _, r := range replicas {
		if !r.Draining && !c.relay.health.CertainToFail(r.Incarnation(), at) {
			return true
		}
	}
	return false
}

// retryAfterNoTarget returns when a caller is to come back that was refused because no replica could take its request.
func (c *call) retryAfterNoTarget() time.Duration {
	left := c.pauseLeft(time.Now())
	if left <= 0 {
		return retryAfterNoUpstream
	}
	return left + time.Duration(c.relay.random()*maxReturnJitter*float64(left))
}
