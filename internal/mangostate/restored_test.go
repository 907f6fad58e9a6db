package mangostate

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"mangopath.org/mangopath/internal/mangoreplica"
	"mangopath.org/mangopath/internal/mangorevision"
)

// Guards against requests that go to the former address of a replica after a restore: the copy has the entry of the start before the
// present one, which this daemon knows.
func TestEarlierStartInCopyDoesNotReplaceLaterOne(t *testing.T) {
	is := is.New(t)
	s := newState(discardLogger(), recoveryGrace)
	now := time.Unix(1000, 0)
	earlier := &mangoreplica.Replica{ID: "r", Service: "s", Address: "10.0.0.1:1", DataCentre: "d", Born: 1000}
	later := &mangoreplica.Replica{ID: "r", Service: "s", Address: "10.0.0.1:2", DataCentre: "d", Born: 9000}
	s.applyAnswer(answer{snapshot: true, changes: []Change{{Key: "replicas/r", Replica: later}}, revision: mangorevision.Join(1, 93)}, now)
	s.synced, s.revision = true, mangorevision.Join(1, 93)
	restored := mangorevision.Join(2, 60)
	s.recordRevision(restored, now)
	s.applyAnswer(answer{snapshot: true, changes: []Change{{Key: "replicas/r", Replica: earlier}}, revision: restored}, now)
	is.Equal(s.fleet.ByID("r").Address, later.Address)
	// After the grace period, an entry with an earlier start is one of a host whose clock was set back.
	s.applyAnswer(answer{changes: []Change{{Key: "replicas/r", Replica: earlier}}, revision: restored + 1}, now.Add(recoveryGrace))
	is.Equal(s.fleet.ByID("r").Address, earlier.Address)
}

// Guards against a replica that stays in the fleet for ever although its present start has no entry after a restore.
func TestReplicaOfLaterStartIsMissing(t *testing.T) {
	is := is.New(t)
	s := newState(discardLogger(), recoveryGrace)
	now := time.Unix(1000, 0)
	entry := func(born int64) []Change {
		return []Change{{Key: "replicas/r", Replica: &mangoreplica.Replica{ID: "r", Service: "s", Address: "10.0.0.1:1", DataCentre: "d", Born: born}}}
	}
	s.applyAnswer(answer{snapshot: true, changes: entry(9000), revision: mangorevision.Join(1, 93)}, now)
	s.synced, s.revision = true, mangorevision.Join(1, 93)
	restored := mangorevision.Join(2, 60)
	s.recordRevision(restored, now)
	s.applyAnswer(answer{snapshot: true, changes: entry(1000), revision: restored}, now)
	s.expire(now.Add(recoveryGrace - time.Millisecond))
	is.Equal(s.fleet.Len(), 1)
	s.expire(now.Add(recoveryGrace))
	is.Equal(s.fleet.Len(), 0)
}

// Guards against layers of the copy that are taken for the present ones of a replica, which has carried out an order since.
func TestLayersOfCopyDoNotReplaceKnownOnes(t *testing.T) {
	is := is.New(t)
	s := newState(discardLogger(), recoveryGrace)
	now := time.Unix(1000, 0)
	entry := func(from, to int) []Change {
		r := &mangoreplica.Replica{ID: "r", Service: "s", Address: "10.0.0.1:1", DataCentre: "d", Born: 1, Layers: mangoreplica.LayerRange{From: from, To: to}}
		return []Change{{Key: "replicas/r", Replica: r}}
	}
	s.applyAnswer(answer{snapshot: true, changes: entry(0, 4), revision: mangorevision.Join(1, 93)}, now)
	s.synced, s.revision = true, mangorevision.Join(1, 93)
	restored := mangorevision.Join(2, 60)
	s.recordRevision(restored, now)
	s.applyAnswer(answer{snapshot: true, changes: entry(4, 8), revision: restored}, now)
	is.Equal(s.fleet.ByID("r").Layers, mangoreplica.LayerRange{From: 0, To: 4})
	// A later entry is one that the replica has written since.
	s.applyAnswer(answer{changes: entry(2, 6), revision: restored + 1}, now.Add(time.Millisecond))
	is.Equal(s.fleet.ByID("r").Layers, mangoreplica.LayerRange{From: 2, To: 6})
}
