package mangostate

import (
	"maps"
	"time"

	"github.com/sirupsen/logrus"

	"mangopath.org/mangopath/internal/mangoreplica"
	"mangopath.org/mangopath/internal/mangoroute"
)

// state is owned by the control goroutine.
type state struct {
	logger   logrus.FieldLogger
	grace    time.Duration
	table    *mangoroute.Table
	replicas map[string]*mangoreplica.Replica
	// sighted has the layers of replicas whose entries are behind.
	sighted map[string]sighting
	// moving has the replicas that gave up layers by an order, with its time.
	moving map[string]time.Time
	// missing has the replicas whose entries went away while the store was unwell.
	missing map[string]bool
	keys    map[string]string
	// fence is the highest revision seen of the key of placement, whose holder may be gone.
	fence  uint64
	listed bool
	// reachable is false from a failed call to the next answer; returned is the time of that answer.
	reachable bool
	returned  time.Time
	at        time.Time
	revision  uint64
	fleet     *mangoreplica.Fleet
}

// sighting is what a replica said of its layers at a time.
type sighting struct {
	layers mangoreplica.LayerRange
	at     time.Time
}

// sightingAge is the time after which the entry of a replica goes before a sighting again, if the store is well. An entry
// follows within a heartbeat or two; one that does not change says that the replica went back to what it held.
const sightingAge = 3 * time.Second

// movingTime is the time after an order within which engines may still report requests that wait for the layers that were
// given up; they give such requests up after about 2.5 s.
const movingTime = 3 * time.Second

func newState(logger logrus.FieldLogger, grace time.Duration) state {
	return state{
		logger: logger, grace: grace, replicas: map[string]*mangoreplica.Replica{}, missing: map[string]bool{},
		sighted: map[string]sighting{}, moving: map[string]time.Time{},
		keys: map[string]string{}, reachable: true, fleet: mangoreplica.NewFleet(nil),
	}
}

// answered notes whether a call reached the store; it reports whether that is news.
func (s *state) answered(ok bool, now time.Time) bool {
	if ok == s.reachable {
		return false
	}
	s.reachable = ok
	if ok {
		s.returned = now
		s.logger.WithFields(logrus.Fields{"event": "store_back", "revision": s.revision, "age_ms": now.Sub(s.at).Milliseconds()}).
			Info("the store answers again")
		return true
	}
	s.logger.WithFields(logrus.Fields{"event": "store_lost", "revision": s.revision, "age_ms": now.Sub(s.at).Milliseconds()}).
		Warn("the store does not answer")
	return true
}

// doubtful reports whether the absence of an entry proves nothing, because the store was unwell a moment ago.
func (s *state) doubtful(now time.Time) bool {
	return !s.reachable || (!s.returned.IsZero() && now.Sub(s.returned) < s.grace)
}

// fold applies an answer; it reports whether anything changed.
func (s *state) fold(a answer, now time.Time) bool {
	changed := false
	if a.snapshot {
		changed = s.dropAbsent(a.changes, now)
	}
	replicas := false
	for _, c := range a.changes {
		switch {
		case c.DecodeErr != nil:
			s.logger.WithFields(logrus.Fields{"event": "item_invalid", "key": c.Key, "revision": a.revision}).
				WithError(c.DecodeErr).Warn("an item of the store cannot be read")
		case c.Table != nil:
			changed = s.takeTable(c.Table, now) || changed
		case c.Replica != nil:
			replicas = s.takeReplica(c.Replica) || replicas
		case c.RemovedReplica != "":
			replicas = s.loseReplica(c.RemovedReplica, now) || replicas
		default:
			changed = s.takeKey(c.Key, c.Value, c.Revision) || changed
		}
	}
	return s.rebuild(replicas) || changed
}

func (s *state) rebuild(changed bool) bool {
	if !changed {
		return false
	}
	list := make([]*mangoreplica.Replica, 0, len(s.replicas))
	for _, r := range s.replicas {
		g, sighted := s.sighted[r.ID]
		_, moving := s.moving[r.ID]
		if sighted || moving {
			copied := *r
			copied.ReleasingLayers = moving
			if sighted {
				copied.Layers = g.layers
			}
			r = &copied
		}
		list = append(list, r)
	}
	s.fleet = mangoreplica.NewFleet(list)
	return true
}

// dropAbsent removes what a snapshot no longer has.
func (s *state) dropAbsent(changes []Change, now time.Time) bool {
	present := map[string]bool{}
	keys := map[string]bool{}
	for _, c := range changes {
		switch {
		case c.Replica != nil:
			present[c.Replica.ID] = true
		case c.Key != "":
			keys[c.Key] = true
		}
	}
	replicas, changed := false, false
	for id := range s.replicas {
		if !present[id] {
			replicas = s.loseReplica(id, now) || replicas
		}
	}
	for k := range s.keys {
		if !keys[k] {
			changed = s.takeKey(k, "", 0) || changed
		}
	}
	return s.rebuild(replicas) || changed
}

func (s *state) takeTable(t *mangoroute.Table, now time.Time) bool {
	if s.table != nil && t.Version() <= s.table.Version() {
		return false
	}
	old := uint64(0)
	if s.table != nil {
		old = s.table.Version()
	}
	s.table = t
	s.logger.WithFields(logrus.Fields{
		"event": "configuration_taken", "version": t.Version(), "previous": old, "age_ms": now.Sub(s.at).Milliseconds(),
	}).Info("a configuration is in force")
	return true
}

func (s *state) takeReplica(r *mangoreplica.Replica) bool {
	old := s.replicas[r.ID]
	delete(s.missing, r.ID)
	// A replica that has begun to leave does not stop leaving; only a new start under the id serves again.
	if old != nil && old.Draining && old.Born == r.Born {
		r.Draining = true
	}
	s.replicas[r.ID] = r
	if old == nil || old.Layers != r.Layers || old.Born != r.Born {
		delete(s.sighted, r.ID)
	}
	if old != nil && old.Born != r.Born {
		delete(s.moving, r.ID)
	}
	if old != nil && *old == *r {
		return false
	}
	event := "replica_changed"
	switch {
	case old == nil:
		event = "replica_seen"
	case old.Born != r.Born:
		event = "replica_restarted"
	case r.Draining && !old.Draining:
		event = "replica_draining"
	}
	s.logReplica(event, r).Info("the entry of a replica changed")
	return true
}

func (s *state) logReplica(event string, r *mangoreplica.Replica) *logrus.Entry {
	return s.logger.WithFields(logrus.Fields{
		"event": event, "replica": r.ID, "service": r.Service, "address": r.Address, "data_centre": r.DataCentre,
		"layers_from": r.Layers.From, "layers_to": r.Layers.To, "draining": r.Draining, "born": r.Born, "revision": s.revision,
	})
}

func (s *state) loseReplica(id string, now time.Time) bool {
	r := s.replicas[id]
	if r == nil {
		return false
	}
	if s.doubtful(now) {
		if !s.missing[id] {
			s.missing[id] = true
			s.logReplica("replica_missing", r).Info("an entry went away while the store was unwell; it is kept for now")
		}
		return false
	}
	delete(s.replicas, id)
	delete(s.missing, id)
	delete(s.sighted, id)
	delete(s.moving, id)
	s.logReplica("replica_gone", r).Info("the entry of a replica is gone")
	return true
}

// see notes the layers of a replica whose entry is behind; it reports whether that is news.
func (s *state) see(g mangoreplica.LayerReport, now time.Time) bool {
	r := s.replicas[g.Replica.ID]
	if r == nil || r.Born != g.Replica.Born {
		return false
	}
	old, known := s.sighted[r.ID]
	if r.Layers == g.Layers {
		delete(s.sighted, r.ID)
		return s.rebuild(known)
	}
	s.sighted[r.ID] = sighting{layers: g.Layers, at: now}
	if known && old.layers == g.Layers {
		return false
	}
	s.logger.WithFields(logrus.Fields{
		"event": "replica_sighted", "replica": r.ID, "layers_from": g.Layers.From, "layers_to": g.Layers.To,
		"entry_from": r.Layers.From, "entry_to": r.Layers.To, "revision": s.revision,
	}).Info("a replica holds other layers than its entry says")
	return s.rebuild(true)
}

// narrow notes that a replica was ordered to hold layers; it reports whether it gives up some. Its entry says so up to a
// heartbeat later, and requests that are sent there meanwhile are refused.
func (s *state) narrow(o mangoreplica.LayerReport, now time.Time) bool {
	r := s.replicas[o.Replica.ID]
	if r == nil || r.Born != o.Replica.Born {
		return false
	}
	held := r.Layers
	if g, ok := s.sighted[r.ID]; ok {
		held = g.layers
	}
	kept := held.Intersect(o.Layers)
	if kept == held {
		return false
	}
	s.sighted[r.ID] = sighting{layers: kept, at: now}
	s.moving[r.ID] = now
	s.logger.WithFields(logrus.Fields{
		"event": "replica_narrowed", "replica": r.ID, "layers_from": kept.From, "layers_to": kept.To,
		"held_from": held.From, "held_to": held.To, "ordered_from": o.Layers.From, "ordered_to": o.Layers.To, "revision": s.revision,
	}).Info("a replica gives up layers by an order")
	return s.rebuild(true)
}

// forgetMoves drops the orders of a while ago.
func (s *state) forgetMoves(now time.Time) bool {
	changed := false
	for id, at := range s.moving {
		if now.Sub(at) > movingTime {
			delete(s.moving, id)
			changed = true
		}
	}
	return s.rebuild(changed)
}

// forgetSightings drops those that the entries should have confirmed by now.
func (s *state) forgetSightings(now time.Time) bool {
	changed := false
	for id, g := range s.sighted {
		if now.Sub(g.at) > sightingAge {
			delete(s.sighted, id)
			changed = true
		}
	}
	return s.rebuild(changed)
}

// sweep drops the entries that are still missing some time after the store's return.
func (s *state) sweep(now time.Time) bool {
	moved := s.forgetMoves(now)
	if s.doubtful(now) {
		return moved
	}
	changed := s.forgetSightings(now) || moved
	for id := range s.missing {
		changed = s.loseReplica(id, now) || changed
	}
	return s.rebuild(changed)
}

func (s *state) takeKey(key, value string, revision uint64) bool {
	if key == PlacementKey && value != "" {
		s.fence = max(s.fence, revision)
	}
	if s.keys[key] == value {
		return false
	}
	// Views share the map, so it is replaced.
	s.keys = maps.Clone(s.keys)
	if value == "" {
		delete(s.keys, key)
	} else {
		s.keys[key] = value
	}
	s.logger.WithFields(logrus.Fields{"event": "key_changed", "key": key, "value": value, "revision": s.revision}).
		Info("a key of the daemons changed")
	return true
}

func (s *state) view() *View {
	return &View{
		Table: s.table, Fleet: s.fleet, Members: membersOf(s.keys), Synced: s.listed, Revision: s.revision,
		LastAnswer: s.at, Reachable: s.reachable, Fence: s.fence, keys: s.keys,
	}
}
