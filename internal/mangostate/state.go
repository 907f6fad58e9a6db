package mangostate

import (
	"maps"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"mangopath.org/mangopath/internal/mangoreplica"
	"mangopath.org/mangopath/internal/mangorevision"
	"mangopath.org/mangopath/internal/mangoroute"
)

// state is what is known from the store. It is owned by the goroutine of Controller.Run.
type state struct {
	logger        logrus.FieldLogger
	recoveryGrace time.Duration
	// lapseGrace is the time after the store was last known to be away for which the absence of an entry shows nothing, and outage
	// returns that time. dataCentre is that of this daemon.
	lapseGrace time.Duration
	outage     func() Outage
	dataCentre string
	table      *mangoroute.Table
	replicas   map[string]*mangoreplica.Replica
	// layerOverrides has the layers of replicas whose entries are out of date, by replica id.
	layerOverrides map[string]layerOverride
	// moving has the time of the last order by which a replica gave up layers, by replica id.
	moving map[string]time.Time
	// missing has the replicas that are kept although their entries were removed, since the store was unreachable then or
	// shortly before.
	missing map[string]bool
	// invalid has the keys of items that cannot be read, each of which is logged once.
	invalid map[string]bool
	keys    map[string]string
	// keyHandlers take the changes of the keys below their prefixes.
	keyHandlers []keyHandler
	// fence is the highest revision seen of PlacementKey, whose holder may be gone.
	fence  uint64
	synced bool
	// reachable is false from a failed call to the next answer.
	reachable bool
	// restoredAt is when the first answer of the latest era came, or could have come, and zero if there was one era only. It is apart
	// from the outage, of which a change of hubs may show that there was none.
	restoredAt time.Time
	// fromCopy says that the answer that is being applied may be that of a copy.
	fromCopy   bool
	lastAnswer time.Time
	revision   uint64
	fleet      *mangoreplica.Fleet
}

func newState(logger logrus.FieldLogger, recoveryGrace time.Duration) state {
	return state{
		logger: logger, recoveryGrace: recoveryGrace, lapseGrace: recoveryGrace, outage: func() Outage { return Outage{} }, replicas: map[string]*mangoreplica.Replica{}, missing: map[string]bool{}, invalid: map[string]bool{},
		layerOverrides: map[string]layerOverride{}, moving: map[string]time.Time{},
		keys: map[string]string{}, reachable: true, fleet: mangoreplica.NewFleet(nil),
	}
}

// setReachable records whether a call reached the store. It reports whether that changed.
func (s *state) setReachable(ok bool, now time.Time) bool {
	if ok == s.reachable {
		return false
	}
	s.reachable = ok
	if ok {
		outage := s.outage()
		entry := s.logger.WithFields(logrus.Fields{
			"event": "store_back", "revision": mangorevision.Text(s.revision), "age_ms": now.Sub(s.lastAnswer).Milliseconds(), "was_away": !outage.At.IsZero(),
			"only_local": outage.OnlyLocal,
		})
		if !outage.At.IsZero() {
			entry = entry.WithField("away_ms", now.Sub(outage.At).Milliseconds())
		}
		entry.Info("the store is reachable again")
		return true
	}
	s.logger.WithFields(logrus.Fields{"event": "store_lost", "revision": mangorevision.Text(s.revision), "age_ms": now.Sub(s.lastAnswer).Milliseconds()}).
		Warn("the store is not reachable")
	return true
}

// recordRevision notices from the revision of an answer that the store has returned from a copy, also if no call has failed. It
// reports whether it has.
func (s *state) recordRevision(revision uint64, now time.Time) bool {
	if !s.synced || mangorevision.Era(revision) <= mangorevision.Era(s.revision) {
		return false
	}
	s.restoredAt = now
	if at := s.outage().At; at.After(s.lastAnswer) && now.Sub(at) > s.lapseGrace-s.recoveryGrace {
		// This daemon was without the store for longer than it takes to notice a return, which may have been that long ago.
		s.restoredAt = at.Add(s.lapseGrace - s.recoveryGrace)
	}
	s.logger.WithFields(logrus.Fields{
		"event": "store_restored", "revision": mangorevision.Text(revision), "previous": mangorevision.Text(s.revision),
	}).Warn("the store has returned from a copy of an earlier state")
	return true
}

// absenceInconclusive reports whether the absence of an entry does not show that its replica, of a data centre, is gone: the store is
// unreachable, was away less than lapseGrace ago, or returned from a copy less than recoveryGrace ago. The time counts from the outage and
// not from the return of this daemon's contact, which may be later, and come more than once.
func (s *state) absenceInconclusive(dataCentre string, now time.Time) bool {
	if !s.reachable || s.restoredLately(now) {
		return true
	}
	outage := s.outage()
	hadStore := outage.OnlyLocal && dataCentre != s.dataCentre
	return !hadStore && !outage.At.IsZero() && now.Sub(outage.At) < s.lapseGrace
}

// restoredLately reports whether the store returned from a copy less than recoveryGrace ago.
func (s *state) restoredLately(now time.Time) bool {
	return !s.restoredAt.IsZero() && now.Sub(s.restoredAt) < s.recoveryGrace
}

// applyAnswer applies an answer of the feed; it reports whether anything changed.
func (s *state) applyAnswer(a answer, now time.Time) bool {
	changed := false
	s.fromCopy = s.restoredLately(now)
	if a.snapshot {
		changed = s.removeAbsent(a.changes, now)
	}
	replicas := false
	for _, c := range a.changes {
		switch {
		case c.DecodeErr != nil:
			s.logInvalid(c, a.revision)
		case c.Table != nil:
			changed = s.updateTable(c.Table, now) || changed
		case c.Replica != nil:
			delete(s.invalid, c.Key)
			replicas = s.updateReplica(c.Replica, a.snapshot && s.restoredLately(now), now) || replicas
		case c.RemovedReplica != "":
			replicas = s.removeReplica(c.RemovedReplica, now) || replicas
		default:
			changed = s.updateKey(c.Key, c.Value, c.Revision) || changed
		}
	}
	return s.rebuildFleet(replicas) || changed
}

// logInvalid logs that an item cannot be read, unless that is known.
func (s *state) logInvalid(c Change, revision uint64) {
	if s.invalid[c.Key] {
		return
	}
	s.invalid[c.Key] = true
	s.logger.WithFields(logrus.Fields{"event": "item_invalid", "key": c.Key, "revision": mangorevision.Text(revision)}).
		WithError(c.DecodeErr).Warn("an item of the store cannot be read")
}

// rebuildFleet makes the fleet from the entries and the layer overrides if changed is set; it returns changed.
func (s *state) rebuildFleet(changed bool) bool {
	if !changed {
		return false
	}
	list := make([]*mangoreplica.Replica, 0, len(s.replicas))
	for _, r := range s.replicas {
		o, overridden := s.layerOverrides[r.ID]
		_, moving := s.moving[r.ID]
		if overridden || moving {
			copied := *r
			copied.ReleasingLayers = moving
			if overridden {
				copied.Layers = o.layers
			}
			r = &copied
		}
		list = append(list, r)
	}
	s.fleet = mangoreplica.NewFleet(list)
	return true
}

// removeAbsent removes the replicas and keys that a snapshot does not contain; it reports whether anything changed.
func (s *state) removeAbsent(changes []Change, now time.Time) bool {
	present := map[string]bool{}
	keys := map[string]bool{}
	for _, c := range changes {
		switch {
		case c.Replica != nil:
			present[c.Replica.ID] = true
		case c.RemovedReplica == "" && c.Key != "":
			keys[c.Key] = true
		}
	}
	replicas, changed := false, false
	for id := range s.replicas {
		if !present[id] {
			replicas = s.removeReplica(id, now) || replicas
		}
	}
	for k := range s.keys {
		if !keys[k] {
			changed = s.updateKey(k, "", 0) || changed
		}
	}
	return s.rebuildFleet(replicas) || changed
}

// updateTable takes a configuration unless a later or equal version is in force; it reports whether it did.
func (s *state) updateTable(t *mangoroute.Table, now time.Time) bool {
	if s.table != nil && t.Version() <= s.table.Version() {
		return false
	}
	old := uint64(0)
	if s.table != nil {
		old = s.table.Version()
	}
	s.table = t
	s.logger.WithFields(logrus.Fields{
		"event": "configuration_taken", "version": t.Version(), "previous": old, "age_ms": now.Sub(s.lastAnswer).Milliseconds(),
	}).Info("a new configuration is in force")
	return true
}

// updateReplica takes the entry of a replica, which may be out of date if it is fromCopy; it reports whether the entry changed.
func (s *state) updateReplica(r *mangoreplica.Replica, fromCopy bool, now time.Time) bool {
	old := s.replicas[r.ID]
	if old != nil && r.Born < old.Born && s.restoredLately(now) {
		// The copy has the entry of an earlier start, whose address may be out of date, and lacks that of the present one. At other
		// times a lower Born is a start after the clock of the host was set back.
		return s.removeReplica(r.ID, now)
	}
	delete(s.missing, r.ID)
	// Draining is final for one start of a replica; only a later start under the same id takes requests again.
	if old != nil && old.Draining && old.Born == r.Born {
		r.Draining = true
	}
	var kept *layerOverride
	if fromCopy && old != nil && old.Born == r.Born && old.Layers != r.Layers {
		// The replica may have carried out orders since the copy. The layers known before count until it writes or reports others.
		kept = &layerOverride{layers: old.Layers, at: now}
		if o, ok := s.layerOverrides[r.ID]; ok {
			kept.layers = o.layers
		}
	}
	s.replicas[r.ID] = r
	if old == nil || old.Layers != r.Layers || old.Born != r.Born {
		delete(s.layerOverrides, r.ID)
	}
	if kept != nil {
		s.layerOverrides[r.ID] = *kept
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

// logReplica returns a log entry with the event and the fields of a replica.
func (s *state) logReplica(event string, r *mangoreplica.Replica) *logrus.Entry {
	return s.logger.WithFields(logrus.Fields{
		"event": event, "replica": r.ID, "service": r.Service, "address": r.Address, "data_centre": r.DataCentre,
		"layers_from": r.Layers.From, "layers_to": r.Layers.To, "draining": r.Draining, "born": r.Born, "revision": mangorevision.Text(s.revision),
	})
}

// removeReplica drops a replica whose entry was removed; it reports whether it did. While the absence is inconclusive it
// keeps the replica and marks it as missing.
func (s *state) removeReplica(id string, now time.Time) bool {
	r := s.replicas[id]
	if r == nil {
		return false
	}
	if s.absenceInconclusive(r.DataCentre, now) {
		if !s.missing[id] {
			s.missing[id] = true
			s.logReplica("replica_missing", r).Info("a replica is kept although its entry is missing, since the store was unreachable")
		}
		return false
	}
	delete(s.replicas, id)
	delete(s.missing, id)
	delete(s.layerOverrides, id)
	delete(s.moving, id)
	s.logReplica("replica_gone", r).Info("the entry of a replica was removed")
	return true
}

// expire drops moving marks that are past their time, the replicas whose entries are still missing once that shows that they are gone, and,
// while the store is reliably reachable, layer overrides. It reports whether anything changed.
func (s *state) expire(now time.Time) bool {
	changed := s.expireMoving(now)
	if !s.absenceInconclusive(s.dataCentre, now) {
		changed = s.expireLayerOverrides(now) || changed
	}
	for id := range s.missing {
		changed = s.removeReplica(id, now) || changed
	}
	return s.rebuildFleet(changed)
}

// expireInterval returns the time until the next call of expire.
func (s *state) expireInterval() time.Duration {
	if len(s.missing) > 0 {
		return missingExpireInterval
	}
	return expireInterval
}

// keyHandler takes the changes of the keys below a prefix.
type keyHandler struct {
	prefix string
	handle func(key, value string, fromCopy bool)
}

// updateKey takes the value of a key that daemons write; it reports whether it changed. An empty value deletes the key.
func (s *state) updateKey(key, value string, revision uint64) bool {
	if key == PlacementKey && value != "" {
		s.fence = max(s.fence, revision)
	}
	if s.keys[key] == value {
		return false
	}
	// Published views share the map, so it is copied before the change.
	s.keys = maps.Clone(s.keys)
	if value == "" {
		delete(s.keys, key)
	} else {
		s.keys[key] = value
	}
	for _, h := range s.keyHandlers {
		if strings.HasPrefix(key, h.prefix) {
			h.handle(key, value, s.fromCopy)
		}
	}
	s.logger.WithFields(logrus.Fields{"event": "key_changed", "key": key, "value": value, "revision": mangorevision.Text(s.revision)}).
		Info("a key that daemons write changed")
	return true
}

// view returns a view of the current state.
func (s *state) view() *View {
	var restoredUntil time.Time
	if !s.restoredAt.IsZero() {
		restoredUntil = s.restoredAt.Add(s.recoveryGrace)
	}
	return &View{
		Table: s.table, Fleet: s.fleet, Members: membersFromKeys(s.keys), Synced: s.synced, Revision: s.revision,
		LastAnswer: s.lastAnswer, Reachable: s.reachable, Fence: s.fence, RestoredUntil: restoredUntil, keys: s.keys,
	}
}
