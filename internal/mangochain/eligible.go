package mangochain

import (
	"math"
	"time"

	"mangopath.org/mangopath/pkg/mangomessage"
)

const (
	// DefaultLink is the one-way delay between data centres that no measurement covers.
	DefaultLinkDelay = 5 * time.Millisecond
	// defaultStep stands in for a step time that was not measured or reported yet.
	defaultStep = 20 * time.Millisecond
	// minShare bounds the slow-start factor at 20, so that a new replica is used when the others are overloaded.
	minShare = 0.05
	// reportHalfLife discounts load reports; engines report about once a second.
	reportHalfLife = time.Second
)

// serves reports whether a replica holds layers of exactly what the profile names.
func serves(r *Replica, p *mangomessage.Profile) bool {
	return r.Model == p.GetModel() && r.Version == p.GetVersion() && !r.Leaving &&
		r.FromLayer < r.ToLayer && r.ToLayer <= p.GetLayers() &&
		includes(r.Adapters, p.GetAdapters()) && includes(p.GetAdapters(), r.Adapters) && placed(r, p.GetPlaces())
}

func includes(have, want []string) bool {
	for _, w := range want {
		found := false
		for _, h := range have {
			found = found || h == w
		}
		if !found {
			return false
		}
	}
	return true
}

// placed reports whether places name the replica; no places name all, and a place without hosts names its data centre.
func placed(r *Replica, places []*mangomessage.Place) bool {
	if len(places) == 0 {
		return true
	}
	for _, p := range places {
		if p.GetDataCentre() != r.DataCentre {
			continue
		}
		if len(p.GetHosts()) == 0 || includes(p.GetHosts(), []string{r.Host}) {
			return true
		}
	}
	return false
}

// load estimates the calls on a replica: the daemon's own, and those of others by the larger of the peers' shares and
// the report without the own calls. As the report ages, the assumption takes its place that other daemons do as this
// one does.
func load(r *Replica, own, daemons int) float64 {
	trust := math.Exp2(-float64(r.ReportAge) / float64(reportHalfLife))
	reported := max(float64(r.ReportedCalls-own), 0)
	alike := float64(own * max(daemons-1, 0))
	return float64(own) + max(float64(r.PeerInFlight), reported*trust+alike*(1-trust))
}

// cost estimates the time of a step on a replica with that load, including the link both ways. Each running call adds
// its part of the batch to the step, and calls beyond the batch wait for their turn.
func cost(view *View, r *Replica, load float64) time.Duration {
	step := r.StepTime
	if step <= 0 {
		step = defaultStep
	}
	batch := float64(max(r.MaxBatch, 1))
	wait := load/batch + max(load+1-batch, 0)/batch
	busy := float64(step) * (1 + wait) / max(min(r.SlowStartFactor, 1), minShare)
	return time.Duration(busy) + link(view, view.LocalDataCentre, r.DataCentre) + link(view, r.DataCentre, view.LocalDataCentre)
}

func link(view *View, from, to string) time.Duration {
	if d, ok := view.LinkDelays[Link{From: from, To: to}]; ok {
		return d
	}
	if from == to {
		return 0
	}
	return DefaultLinkDelay
}
