package mangochain

import (
	"math"
	"time"

	"mangopath.org/mangopath/pkg/mangomessage"
)

const (
	// DefaultLinkDelay is the one-way delay that is assumed between two data centres without an entry in View.LinkDelays.
	DefaultLinkDelay = 5 * time.Millisecond
	// defaultStepTime is assumed for a replica whose step time was not measured or reported yet.
	defaultStepTime = 20 * time.Millisecond
	// minSlowStartFactor limits the estimated slowdown by slow start to 20 times, so that a new replica is used when the
	// others are overloaded.
	minSlowStartFactor = 0.05
	// reportHalfLife is the age at which a load report counts for half; engines report about once a second.
	reportHalfLife = time.Second
)

// isUsable reports whether a replica may serve a profile: it has layers of the profile's model and version, the same set
// of adapters and an allowed place, and is not leaving.
func isUsable(r *Replica, p *mangomessage.Profile) bool {
	return r.Model == p.GetModel() && r.Version == p.GetVersion() && !r.Leaving &&
		r.FromLayer < r.ToLayer && r.ToLayer <= p.GetLayers() &&
		containsAll(r.Adapters, p.GetAdapters()) && containsAll(p.GetAdapters(), r.Adapters) && matchesPlaces(r, p.GetPlaces())
}

// containsAll reports whether every string of subset is in set.
func containsAll(set, subset []string) bool {
	for _, want := range subset {
		found := false
		for _, s := range set {
			found = found || s == want
		}
		if !found {
			return false
		}
	}
	return true
}

// matchesPlaces reports whether a replica is in one of the places. An empty list allows every replica, and a place without
// hosts allows its whole data centre.
func matchesPlaces(r *Replica, places []*mangomessage.Place) bool {
	if len(places) == 0 {
		return true
	}
	for _, p := range places {
		if p.GetDataCentre() != r.DataCentre {
			continue
		}
		if len(p.GetHosts()) == 0 || containsAll(p.GetHosts(), []string{r.Host}) {
			return true
		}
	}
	return false
}

// estimateLoad returns the estimated number of calls on a replica: ownCalls of this daemon plus those of the other daemons.
// The latter are the larger of two figures: what the peers reported, and what the replica reported beyond ownCalls. As
// the replica's report ages, its figure moves towards (daemons - 1) x ownCalls, which assumes that the other daemons
// distribute their calls as this one does.
func estimateLoad(r *Replica, ownCalls, daemons int) float64 {
	trust := math.Exp2(-float64(r.ReportAge) / float64(reportHalfLife))
	reported := max(float64(r.ReportedCalls-ownCalls), 0)
	extrapolated := float64(ownCalls * max(daemons-1, 0))
	return float64(ownCalls) + max(float64(r.PeerInFlight), reported*trust+extrapolated*(1-trust))
}

// estimateStepTime returns the estimated time of a decode step on a replica with the given load, including the network
// delay there and back. Each running call lengthens the step by its part of the batch, and calls beyond the batch size
// wait for a later step.
func estimateStepTime(view *View, r *Replica, load float64) time.Duration {
	step := r.StepTime
	if step <= 0 {
		step = defaultStepTime
	}
	batch := float64(max(r.MaxBatch, 1))
	slowdown := load/batch + max(load+1-batch, 0)/batch
	loaded := float64(step) * (1 + slowdown) / max(min(r.SlowStartFactor, 1), minSlowStartFactor)
	return time.Duration(loaded) +
		linkDelay(view, view.LocalDataCentre, r.DataCentre) + linkDelay(view, r.DataCentre, view.LocalDataCentre)
}

// linkDelay returns the one-way delay between two data centres, 0 within one unless the view has an entry for it.
func linkDelay(view *View, from, to string) time.Duration {
	if d, ok := view.LinkDelays[Link{From: from, To: to}]; ok {
		return d
	}
	if from == to {
		return 0
	}
	return DefaultLinkDelay
}
