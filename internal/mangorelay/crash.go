package mangorelay

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"mangopath.org/mangopath/internal/mangocrash"
	"mangopath.org/mangopath/internal/mangoreplica"
)

// maxLogged bounds the fingerprints, and the parts, in one log line.
const maxLogged = 64

// crashCandidates returns the requests that pass through a replica or were just lost there, one of which may have crashed it;
// none if the replica is leaving, as its end is planned.
func (r *Relay) crashCandidates(replica *mangoreplica.Replica) []mangocrash.InFlight {
	if r.isLeaving(replica) {
		return nil
	}
	return r.inFlight.candidates(replica.Incarnation(), time.Now())
}

// isLeaving reports whether a replica is draining by its entry or has said that it is leaving.
func (r *Relay) isLeaving(replica *mangoreplica.Replica) bool {
	if entry := r.state.View().Fleet.ByID(replica.ID); entry != nil && entry.Draining {
		return true
	}
	return r.health.Outages(time.Now())[replica.Incarnation()].Cause.Planned()
}

// reportCrash reports the requests that were in flight on a replica when it crashed. The replicas of one service in one data
// centre are a group: a request passes through many of them, and all of them are lost together in a power or network failure.
func (r *Relay) reportCrash(replica *mangoreplica.Replica, candidates []mangocrash.InFlight) {
	if len(candidates) == 0 {
		return
	}
	id := mangocrash.NewGroupCrashID(replica.DataCentre+"/"+replica.Service, replica.ID+"/"+strconv.FormatInt(replica.Born, 10))
	if !r.crashes.ReportInFlight(id, candidates, time.Now()) {
		return
	}
	r.peers.ReportCrash()
	r.RecheckSuspects()
	var fingerprints, parts []string
	notBegun := 0
	for _, c := range candidates {
		fingerprints = append(fingerprints, c.Fingerprint)
		if len(c.Parts) > 0 {
			notBegun++
			parts = append(parts, c.Parts...)
		}
	}
	slices.Sort(parts)
	r.logger.WithFields(logrus.Fields{
		"event": "crash_reported", "replica": replica.ID, "address": replica.Address, "data_centre": replica.DataCentre,
		"requests": len(candidates), "fingerprints": joinBounded(fingerprints), "not_begun": notBegun, "parts": joinBounded(slices.Compact(parts)),
	}).Warn("replica crashed with requests in flight")
}

// withoutParts returns the requests without the parts of their prompts: only the end of a process shows that an answer crashed
// it, while a request may be known to crash replicas in other ways.
func withoutParts(candidates []mangocrash.InFlight) []mangocrash.InFlight {
	list := make([]mangocrash.InFlight, len(candidates))
	for i, c := range candidates {
		list[i].Fingerprint = c.Fingerprint
	}
	return list
}

// joinBounded joins the first maxLogged values of a list.
func joinBounded(list []string) string { return strings.Join(list[:min(len(list), maxLogged)], ",") }
