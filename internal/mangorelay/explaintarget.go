package mangorelay

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"mangopath.org/mangopath/internal/mangolimit"
	"mangopath.org/mangopath/internal/mangopipeline"
	"mangopath.org/mangopath/internal/mangoreplica"
	"mangopath.org/mangopath/pkg/mangomessage"
)

// Kinds of notes on replicas in explanations, which are part of the answer to a query.
const (
	noteDraining = "draining"
	noteEmpty    = "empty"
	noteLeaving  = "leaving"
	noteAvoided  = "avoided"
	notePaused   = "paused"
	noteCutOff   = "cut_off"
	noteFull     = "full"
	noteLimited  = "limited"
	noteSlow     = "slow"
	noteFailing  = "failing"
)

// minFailureRateNoted is the failure rate from which it is noted; a lower one hardly changes the cost.
const minFailureRateNoted = 0.01

// explainTarget returns a target as it appears in explanations.
func (c *call) explainTarget(t target, now time.Time) *mangomessage.RelayExplainedTarget {
	e := &mangomessage.RelayExplainedTarget{DataCentre: t.dataCentre, Pressure: t.pressure, Kept: c.prefersKept(t.first)}
	for _, i := range t.incarnations() {
		e.Avoided = e.Avoided || c.relay.health.Avoided(i, now)
	}
	if len(t.stages) == 0 {
		e.Stages = []*mangomessage.RelayExplainedStage{{Replica: t.first.ID, Address: t.first.Address}}
		return e
	}
	e.CostMicros = t.cost.Microseconds()
	for _, s := range t.stages {
		e.Stages = append(e.Stages, &mangomessage.RelayExplainedStage{
			Replica: s.Replica.ID, Address: s.Replica.Address, FromLayer: int32(s.Layers.From), ToLayer: int32(s.Layers.To),
		})
	}
	return e
}

// explainNoTarget returns why there is no target.
func (c *call) explainNoTarget() string {
	switch {
	case c.hasTargetOverLimit():
		return "only replicas over their limits could take the request"
	case c.needsChain():
		return "in no data centre the usable replicas hold all layers"
	default:
		return "the service has no usable replica"
	}
}

// explainDataCentres returns the cheapest chain of each data centre, by the code that chooses among all of them.
func (c *call) explainDataCentres(now time.Time) []*mangomessage.RelayExplainedDataCentre {
	replicas := map[string][]*mangoreplica.Replica{}
	for _, r := range c.relay.state.View().Fleet.ByService(c.serviceName) {
		replicas[r.DataCentre] = append(replicas[r.DataCentre], r)
	}
	var list []*mangomessage.RelayExplainedDataCentre
	for _, name := range slices.Sorted(maps.Keys(replicas)) {
		e := &mangomessage.RelayExplainedDataCentre{
			Name: name, WaitMs: c.relay.delays.Estimate(c.serviceName, name, now).Milliseconds(),
		}
		view := c.pipelineView(replicas[name])
		if t, ok := c.chooseChain(view); ok {
			e.Cheapest = c.explainTarget(t, now)
			if c.relay.links.CutOff(name) {
				e.Reason = "cut off from this daemon, so used only if no other data centre has a chain"
			}
		} else {
			e.Reason = explainNoChain(mangopipeline.MissingLayers(view, c.pipelineRequest()))
		}
		list = append(list, e)
	}
	return list
}

// explainNoChain returns why a data centre has no chain.
func explainNoChain(missing []mangoreplica.LayerRange) string {
	var ranges []string
	for _, m := range missing {
		ranges = append(ranges, fmt.Sprintf("%d-%d", m.From, m.To))
	}
	return "no usable replica for layers " + strings.Join(ranges, ", ")
}

// explainReplicas returns the replicas of the service in the order of their ids, with what keeps the request from them. t is the
// chosen target; its first replica is nil if there is none.
func (c *call) explainReplicas(t target, chances []mangolimit.Chance, now time.Time) []*mangomessage.RelayExplainedReplica {
	limited := map[mangoreplica.Incarnation]mangolimit.Chance{}
	for _, l := range chances {
		limited[l.Replica] = l
	}
	var list []*mangomessage.RelayExplainedReplica
	for _, r := range c.relay.state.View().Fleet.ByService(c.serviceName) {
		e := &mangomessage.RelayExplainedReplica{Replica: r.ID, DataCentre: r.DataCentre, Kept: c.prefersKept(r), Notes: c.notes(r, now)}
		if l, ok := limited[r.Incarnation()]; ok && l.Share < 1 {
			e.Notes = append(e.Notes, &mangomessage.RelayExplainedNote{Kind: noteLimited, Value: l.Share})
		}
		usable := false
		if c.needsChain() {
			usable = mangopipeline.Usable(c.pipelineView(nil), c.pipelineRequest(), r, false) && (r.Layers.From > 0 || c.draw.Allows(r.Incarnation()))
		} else {
			e.Cost, usable = c.replicaCost(r, now)
			usable = usable && !c.relay.health.Avoided(r.Incarnation(), now)
		}
		usable = usable && !c.relay.links.CutOff(r.DataCentre)
		// Avoided replicas and those of a data centre that is cut off are used if there is nothing else.
		e.Excluded = !usable && !slices.Contains(t.replicaIDs, r.ID)
		list = append(list, e)
	}
	return list
}

// notes returns what keeps requests from a replica or makes it more expensive, except for its limit.
func (c *call) notes(r *mangoreplica.Replica, now time.Time) []*mangomessage.RelayExplainedNote {
	var notes []*mangomessage.RelayExplainedNote
	add := func(holds bool, note *mangomessage.RelayExplainedNote) {
		if holds {
			notes = append(notes, note)
		}
	}
	left := func(until time.Time) int64 { return until.Sub(now).Milliseconds() }
	condition := c.relay.health.Condition(r.Incarnation(), now)
	o := condition.Outage
	add(r.Draining, &mangomessage.RelayExplainedNote{Kind: noteDraining})
	add(c.needsChain() && r.Layers.Len() == 0, &mangomessage.RelayExplainedNote{Kind: noteEmpty})
	add(condition.Leaving, &mangomessage.RelayExplainedNote{Kind: noteLeaving})
	add(!o.Until.IsZero(), &mangomessage.RelayExplainedNote{Kind: noteAvoided, Cause: string(o.Cause), LeftMs: left(o.Until)})
	add(!condition.PausedUntil.IsZero(), &mangomessage.RelayExplainedNote{Kind: notePaused, LeftMs: left(condition.PausedUntil)})
	add(c.relay.links.CutOff(r.DataCentre), &mangomessage.RelayExplainedNote{Kind: noteCutOff})
	add(!condition.FullUntil.IsZero(), &mangomessage.RelayExplainedNote{Kind: noteFull, LeftMs: left(condition.FullUntil)})
	add(c.needsChain() && condition.Slowness >= mangoreplica.SlowThreshold, &mangomessage.RelayExplainedNote{Kind: noteSlow, Value: condition.Slowness})
	add(condition.FailureRate >= minFailureRateNoted, &mangomessage.RelayExplainedNote{Kind: noteFailing, Value: condition.FailureRate})
	return notes
}
