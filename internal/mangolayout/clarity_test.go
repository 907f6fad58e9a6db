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

// Guards against orders to a data centre from beyond a cut, or just after it, when only a part of its replicas is in sight:
// they cut the streams of replicas that serve, and lay out anew what is whole.
func TestClarity(t *testing.T) {
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
		{"first sight", nil, list(12, held), 0, 0, true},
		{"nothing changed", list(12, held), list(12, held), 0, 0, true},
		{"one is out of reach", list(12, held), list(12, held), 1, 0, true},
		{"one of two is out of reach", list(2, held), list(2, held), 1, 0, true},
		{"half are out of reach", list(12, held), list(12, held), 6, 0, false},
		{"half were out of reach and are not checked", list(12, held), list(12, held), 6, 2 * time.Second, false},
		{"one came back with layers", list(3, held), list(4, held), 0, 0, false},
		{"one came back a while ago", list(3, held), list(4, held), 0, 2 * time.Second, true},
		{"a new one is empty", list(3, held), append(list(3, held), &mangoreplica.Replica{ID: "new", DataCentre: "a"}), 0, 0, true},
		{"some left", list(12, held), list(6, held), 0, 0, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			c, now := newClarity(), time.Unix(1000, 0)
			if tt.before != nil {
				c.look(tt.before, func(mangoreplica.Incarnation) bool { return false }, now, logger)
			}
			n := 0
			c.look(tt.then, func(mangoreplica.Incarnation) bool {
				n++
				return n <= tt.unreachable
			}, now, logger)
			is.Equal(c.clear("a", now.Add(tt.at)), tt.want)
		})
	}
}

// Guards against a data centre that is planned while it is still cut off, because nobody sends requests there and so
// nobody finds its replicas out of reach any more.
func TestClarityAfterCheck(t *testing.T) {
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
		{"reached after a cut, entries come back", []check{{2 * time.Second, 12}, {4 * time.Second, 0}}, 5 * time.Second, false},
		{"reached after a cut, a while ago", []check{{2 * time.Second, 12}, {4 * time.Second, 0}}, 6 * time.Second, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			logger := logrus.New()
			logger.SetOutput(io.Discard)
			c, now := newClarity(), time.Unix(1000, 0)
			var replicas []*mangoreplica.Replica
			for i := range 12 {
				replicas = append(replicas, &mangoreplica.Replica{ID: fmt.Sprint(i), DataCentre: "a", Layers: mangoreplica.LayerRange{To: 5}})
			}
			c.look(replicas, func(mangoreplica.Incarnation) bool { return true }, now, logger)
			is.Equal(c.due(now), nil)
			for _, k := range tt.checks {
				is.Equal(c.due(now.Add(k.at)), []string{"a"})
				is.Equal(c.due(now.Add(k.at)), nil)
				c.checked("a", k.missing, len(replicas), now.Add(k.at))
			}
			is.Equal(c.clear("a", now.Add(tt.at)), tt.want)
		})
	}
}
