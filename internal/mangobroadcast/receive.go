package mangobroadcast

import (
	"time"

	"github.com/sirupsen/logrus"

	"mangopath.org/mangopath/internal/mangolayout"
	"mangopath.org/mangopath/internal/mangolimit"
	"mangopath.org/mangopath/internal/mangoreplica"
	"mangopath.org/mangopath/pkg/mangomessage"
)

// HandleAnnouncements takes the announcements that this daemon's hub has sent.
func (br *Broadcaster) HandleAnnouncements(announcements []*mangomessage.ExchangeRequest) {
	now := time.Now()
	for _, request := range announcements {
		br.receive(request, false, now)
	}
}

// receive applies the announcements of another daemon and returns those that a hub sends on. A hub sends on an outage only
// when it or a hub that monitors the replica has checked it, so that a daemon that is cut off does not make others avoid sound
// replicas.
func (br *Broadcaster) receive(request *mangomessage.ExchangeRequest, isHub bool, now time.Time) batch {
	var announcements batch
	for _, r := range request.GetSightings() {
		layers := mangoreplica.LayerRange{From: int(r.GetFromLayer()), To: int(r.GetToLayer())}
		if layers.Valid() {
			report := mangoreplica.LayerReport{Replica: mangoreplica.Incarnation{ID: r.GetReplica(), Born: r.GetBorn()}, Layers: layers}
			br.onLayers(report)
			announcements.layerReports = append(announcements.layerReports, report)
		}
	}
	for _, o := range request.GetGivenOrders() {
		layers := mangoreplica.LayerRange{From: int(o.GetFromLayer()), To: int(o.GetToLayer())}
		if layers.Valid() {
			order := mangolayout.GivenOrder{
				Replica: mangoreplica.Incarnation{ID: o.GetReplica(), Born: o.GetBorn()}, Layers: layers,
				Until: now.Add(time.Duration(o.GetLeftMs()) * time.Millisecond),
			}
			br.onOrder(order)
			announcements.orders = append(announcements.orders, order)
		}
	}
	for _, p := range request.GetPaces() {
		pace := mangoreplica.Pace{
			Replica: mangoreplica.Incarnation{ID: p.GetReplica(), Born: p.GetBorn()}, Slowness: float64(p.GetSlowness()),
			At: now.Add(-time.Duration(p.GetAgeMs()) * time.Millisecond),
		}
		br.onPace(pace, request.GetFrom().GetName())
		announcements.paces = append(announcements.paces, pace)
	}
	if len(request.GetSuspicions()) > 0 {
		if request.GetRelayed() {
			br.crashes.MergeRelayed(request.GetSuspicions(), now)
		} else {
			br.crashes.Merge(request.GetSuspicions(), now)
		}
		br.onSuspects()
	}
	fleet := br.state.View().Fleet
	for _, m := range request.GetRateLimits() {
		if r := fleet.ByID(m.GetReplica()); r != nil && r.Born == m.GetBorn() {
			l := mangolimit.Limit{
				Replica: r.Incarnation(), Service: r.Service, Named: m.GetNamed(), PerSecond: m.GetPerSecond(),
				At: now.Add(-time.Duration(m.GetAgeMs()) * time.Millisecond),
			}
			br.onLimit(l, request.GetFrom().GetName())
			announcements.limits = append(announcements.limits, l)
		}
	}
	for _, o := range request.GetOutages() {
		if r := fleet.ByID(o.GetReplica()); r != nil && br.receiveOutage(r, o, request.GetFrom().GetName(), isHub, now) {
			announcements.outages = append(announcements.outages, mangoreplica.Outage{
				Replica: r.Incarnation(), Cause: mangoreplica.Cause(o.GetCause()), At: now, Until: now.Add(time.Duration(o.GetHoldMs()) * time.Millisecond), Checked: o.GetChecked(),
			})
		}
	}
	return announcements
}

// receiveOutage applies an outage that another daemon announced, and reports whether a hub sends it on at once.
func (br *Broadcaster) receiveOutage(r *mangoreplica.Replica, o *mangomessage.Outage, peer string, isHub bool, now time.Time) bool {
	left := time.Duration(int64(o.GetHoldMs())-int64(o.GetAgeMs())) * time.Millisecond
	// A daemon of an earlier version does not send the start of the replica.
	if left <= 0 || (o.GetBorn() != 0 && o.GetBorn() != r.Born) {
		return false
	}
	cause := mangoreplica.Cause(o.GetCause())
	switch {
	case cause == mangoreplica.CauseStopping:
		return br.markLeaving(r, o.GetBorn(), peer, now)
	case cause == mangoreplica.CauseReachable:
		return br.health.MarkReachable(r.Incarnation(), now)
	case isHub && cause.LikelyDown() && !br.checkedByMonitor(r, o, peer):
		if !br.health.Avoided(r.Incarnation(), now) {
			br.onOutage(r)
		}
		return false
	}
	isNew := br.health.Avoid(r.Incarnation(), cause, min(left, maxPeerHold), now)
	if isNew {
		br.logger.WithFields(logrus.Fields{
			"event": "replica_avoided", "replica": r.ID, "address": r.Address, "cause": o.GetCause(),
			"peer": peer, "age_ms": o.GetAgeMs(), "hold_ms": min(left, maxPeerHold).Milliseconds(),
		}).Warn("another daemon found a replica lost")
		if br.checkedByMonitor(r, o, peer) {
			br.checks.onCheckedOutage(r)
		} else {
			br.onOutage(r)
		}
	}
	return isNew
}

// markLeaving records that a replica told another daemon that it is leaving, if it is the same start of the replica, and
// reports whether that is new.
func (br *Broadcaster) markLeaving(r *mangoreplica.Replica, born int64, peer string, now time.Time) bool {
	if r.Born != born || !br.health.MarkLeaving(r.Incarnation(), now) {
		return false
	}
	br.logger.WithFields(logrus.Fields{"event": "replica_leaving", "replica": r.ID, "address": r.Address, "peer": peer}).
		Info("another daemon was told by a replica that it is leaving")
	return true
}
