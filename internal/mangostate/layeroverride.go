package mangostate

import (
	"time"

	"github.com/sirupsen/logrus"

	"mangopath.org/mangopath/internal/mangoreplica"
	"mangopath.org/mangopath/internal/mangorevision"
)

// layerOverride has the layers that a replica reported, or that it keeps by an order, and when that became known.
type layerOverride struct {
	layers mangoreplica.LayerRange
	at     time.Time
}

// layerOverrideTTL is the time after which the entry of a replica counts again, if the store is reachable. An entry follows
// within a heartbeat or two; one that has not changed by then shows that the replica went back to the layers it held.
const layerOverrideTTL = 3 * time.Second

// movingTTL is the time after an order for which a replica counts as moving. Until then engines may still report requests
// that wait for the layers it gave up; they abandon such requests after about 2.5 s.
const movingTTL = 3 * time.Second

// applyLayerReport takes the layers that a replica reported, which override those of its entry if they differ. It reports
// whether the fleet changed.
func (s *state) applyLayerReport(l mangoreplica.LayerReport, now time.Time) bool {
	r := s.replicas[l.Replica.ID]
	if r == nil || r.Born != l.Replica.Born {
		return false
	}
	old, known := s.layerOverrides[r.ID]
	if r.Layers == l.Layers {
		delete(s.layerOverrides, r.ID)
		return s.rebuildFleet(known)
	}
	s.layerOverrides[r.ID] = layerOverride{layers: l.Layers, at: now}
	if known && old.layers == l.Layers {
		return false
	}
	s.logger.WithFields(logrus.Fields{
		"event": "replica_sighted", "replica": r.ID, "layers_from": l.Layers.From, "layers_to": l.Layers.To,
		"entry_from": r.Layers.From, "entry_to": r.Layers.To, "revision": mangorevision.Text(s.revision),
	}).Info("a replica reports other layers than its entry")
	return s.rebuildFleet(true)
}

// applyOrder takes the layers that a replica was ordered to hold; it reports whether the replica gives up some by that. Its
// entry shows this up to a heartbeat later, and the replica refuses requests for these layers meanwhile.
func (s *state) applyOrder(o mangoreplica.LayerReport, now time.Time) bool {
	r := s.replicas[o.Replica.ID]
	if r == nil || r.Born != o.Replica.Born {
		return false
	}
	held := r.Layers
	if v, ok := s.layerOverrides[r.ID]; ok {
		held = v.layers
	}
	kept := held.Intersect(o.Layers)
	if kept == held {
		return false
	}
	s.layerOverrides[r.ID] = layerOverride{layers: kept, at: now}
	s.moving[r.ID] = now
	s.logger.WithFields(logrus.Fields{
		"event": "replica_narrowed", "replica": r.ID, "layers_from": kept.From, "layers_to": kept.To,
		"held_from": held.From, "held_to": held.To, "ordered_from": o.Layers.From, "ordered_to": o.Layers.To, "revision": mangorevision.Text(s.revision),
	}).Info("a replica gives up layers because of an order")
	return s.rebuildFleet(true)
}

// expireMoving ends the moving mark of replicas whose order is older than movingTTL.
func (s *state) expireMoving(now time.Time) bool {
	changed := false
	for id, at := range s.moving {
		if now.Sub(at) > movingTTL {
			delete(s.moving, id)
			changed = true
		}
	}
	return s.rebuildFleet(changed)
}

// expireLayerOverrides drops the overrides that the entries should have confirmed by now.
func (s *state) expireLayerOverrides(now time.Time) bool {
	changed := false
	for id, o := range s.layerOverrides {
		if now.Sub(o.at) > layerOverrideTTL {
			delete(s.layerOverrides, id)
			changed = true
		}
	}
	return s.rebuildFleet(changed)
}
