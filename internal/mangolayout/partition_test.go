package mangolayout

import (
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"mangopath.org/mangopath/internal/mangoreplica"
)

// Guards against orders to a data centre during a network partition or just after it, when only some of its replicas are
// visible. Such orders break the streams of replicas that serve requests, and lay out anew a data centre that is whole.
func TestPartitionedDataCentreIsNotPlanned(t *testing.T) {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	list := func(n int, layers mangoreplica.LayerRange) []*mangoreplica.Replica {
		var replicas []*mangoreplica.Replica
		for i := range n {
			replicas = append(replicas, &mangoreplica.Replica{ID: fmt.Sprint(i), DataCentre: "a", Layers: layers})
		}
		return replicas
	}
	held := mangoreplica.LayerRange{To: 5}
	tests := []struct {
		name         string
		before, then []*mangoreplica.Replica
		unreachable  int
		at           time.Duration
		want         bool
	}{
		{"seen for the first time", nil, list(12, held), 0, 0, true},
		{"nothing changed", list(12, held), list(12, held), 0, 0, true},
		{"one is unreachable", list(12, held), list(12, held), 1, 0, true},
		{"one of two is unreachable", list(2, held), list(2, held), 1, 0, true},
		{"half are unreachable", list(12, held), list(12, held), 6, 0, false},
		{"half were unreachable and are not checked", list(12, held), list(12, held), 6, 2 * time.Second, false},
		{"one came back with layers", list(3, held), list(4, held), 0, 0, false},
		{"one came back a while ago", list(3, held), list(4, held), 0, 2 * time.Second, true},
		{"a new one is empty", list(3, held), append(list(3, held), &mangoreplica.Replica{ID: "new", DataCentre: "a"}), 0, 0, true},
		{"some left", list(12, held), list(6, held), 0, 0, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			d, now := newPartitionDetector(), time.Unix(1000, 0)
			if tt.before != nil {
				d.observe(tt.before, func(mangoreplica.Incarnation) bool { return false }, now, logger)
			}
			n := 0
			d.observe(tt.then, func(mangoreplica.Incarnation) bool {
				n++
				return n <= tt.unreachable
			}, now, logger)
			is.Equal(d.canPlan("a", now.Add(tt.at)), tt.want)
		})
	}
}

// Guards against planning a data centre while it is still partitioned: nobody sends requests there any more, so nobody
// finds its replicas unreachable.
func TestPartitionEndsOnlyAfterCheck(t *testing.T) {
	type check struct {
		at      time.Duration
		missing int
	}
	tests := []struct {
		name   string
		checks []check
		at     time.Duration
		want   bool
	}{
		{"not checked", nil, time.Minute, false},
		{"reached", []check{{2 * time.Second, 0}}, 2 * time.Second, true},
		{"reached but for one", []check{{2 * time.Second, 1}}, 2 * time.Second, true},
		{"not reached", []check{{2 * time.Second, 12}}, time.Minute, false},
		{"reached after a partition, entries come back", []check{{2 * time.Second, 12}, {4 * time.Second, 0}}, 5 * time.Second, false},
		{"reached after a partition, a while ago", []check{{2 * time.Second, 12}, {4 * time.Second, 0}}, 6 * time.Second, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			logger := logrus.New()
			logger.SetOutput(io.Discard)
			d, now := newPartitionDetector(), time.Unix(1000, 0)
			var replicas []*mangoreplica.Replica
			for i := range 12 {
				replicas = append(replicas, &mangoreplica.Replica{ID: fmt.Sprint(i), DataCentre: "a", Layers: mangoreplica.LayerRange{To: 5}})
			}
			d.observe(replicas, func(mangoreplica.Incarnation) bool { return true }, now, logger)
			is.Equal(d.startDueChecks(now), nil)
			for _, k := range tt.checks {
				is.Equal(d.startDueChecks(now.Add(k.at)), []string{"a"})
				is.Equal(d.startDueChecks(now.Add(k.at)), nil)
				d.recordCheck("a", k.missing, len(replicas), now.Add(k.at))
			}
			is.Equal(d.canPlan("a", now.Add(tt.at)), tt.want)
		})
	}
}
