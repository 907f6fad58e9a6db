package mangorelay

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"mangopath.org/mangopath/internal/mangoreplica"
	"mangopath.org/mangopath/internal/mangoroute"
)

// cutLinks is a LinkWatcher of fixed cuts.
type cutLinks struct {
	noLinkWatcher
	cut map[string]bool
}

func (c cutLinks) CutOff(dataCentre string) bool { return c.cut[dataCentre] }

// Guards against streams that stay in a data centre that is cut off although they can go on elsewhere, and against streams that leave one
// without need: before their soft limit, to another one that is cut off too, or without budget.
func TestStreamLeavesCutOff(t *testing.T) {
	const soft = gapSoft + 5*time.Millisecond
	stream := slowCase{kind: mangoroute.Stream, split: true, started: true, others: 1, slack: 100}
	unbegun, alone, poor, avoided := stream, stream, stream, stream
	unbegun.started, alone.others, poor.slack, avoided.avoided = false, 0, 0, true
	tests := []struct {
		name   string
		slow   slowCase
		cut    string
		silent time.Duration
		leaves bool
	}{
		{"cut", stream, "a", soft, true},
		{"not silent for long", stream, "a", gapSoft - 5*time.Millisecond, false},
		{"without an event", unbegun, "a", firstEventSoft, true},
		{"another data centre is cut off", stream, "b", soft, false},
		{"all are cut off", stream, "ab", soft, false},
		{"no other chain", alone, "a", soft, false},
		{"no budget", poor, "a", soft, false},
		{"replicas of the other chain are avoided", avoided, "a", soft, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			l := tt.slow.limiter()
			cut := map[string]bool{}
			for _, name := range tt.cut {
				cut[string(name)] = true
			}
			l.call.relay.links = cutLinks{cut: cut}
			is.Equal(l.remainingWait(tt.silent) <= 0, tt.leaves)
		})
	}
}

// Guards against a stream that waits for the answer to an order that cannot arrive, while its data centre is known to be cut off.
func TestRepairEndsWithCutOff(t *testing.T) {
	for _, isCut := range []bool{true, false} {
		l := slowCase{kind: mangoroute.Stream, split: true, started: true, others: 1, slack: 100}.limiter()
		l.call.relay.links = cutLinks{cut: map[string]bool{"a": isCut}}
		l.repair = &pathRepair{running: true, results: make(chan repairResult, 1)}
		is.New(t).Equal(l.remainingWait(gapSoft) <= 0, isCut)
	}
}

// Guards against new requests that go to a data centre that is cut off, and against requests that are refused as the only chain is in one.
func TestNewRequestsAvoidCutOff(t *testing.T) {
	for _, kind := range []mangoroute.Kind{mangoroute.Stream, mangoroute.Idempotent} {
		for _, tt := range []struct {
			cut, chosen string
			others      int
		}{{"b", "a", 1}, {"a", "b", 1}, {"a", "a", 0}} {
			is := is.New(t)
			l := slowCase{kind: kind, split: kind == mangoroute.Stream, others: tt.others, slack: 100}.limiter()
			l.call.relay.links = cutLinks{cut: map[string]bool{tt.cut: true}}
			chosen, ok := l.call.chooseTarget()
			is.True(ok)
			is.Equal(chosen.dataCentre, tt.chosen)
		}
	}
}

// Guards against requests that are sent to a data centre that is cut off, where they get no answer, while the chain of another one has no
// capacity for a moment or has an avoided replica.
func TestCutOffIsNoSubstituteForCapacity(t *testing.T) {
	for _, started := range []bool{false, true} {
		is := is.New(t)
		l := slowCase{kind: mangoroute.Stream, split: true, started: started, others: 1, slack: 100}.limiter()
		c := l.call
		c.relay.links = cutLinks{cut: map[string]bool{"a": true}}
		other, ok := c.chooseTarget()
		is.True(ok)
		c.relay.health.Avoid(other.first.Incarnation(), mangoreplica.CauseReset, time.Minute, time.Now())
		chosen, ok := c.chooseTarget()
		is.True(ok)
		is.Equal(chosen.dataCentre, "b")
		c.relay.health.ClearOutage(other.first.Incarnation(), time.Now())
		c.refusingReplicas[other.first.ID] = true
		_, ok = c.chooseTarget()
		is.True(!ok)
	}
}

// Guards against streams that are admitted for room in a data centre that they cannot reach, and against no room at all if all data centres
// seem to be cut off.
func TestCapacityLeavesOutCutOff(t *testing.T) {
	tests := []struct {
		name string
		cut  map[string]bool
		want string
	}{
		{"none", nil, "ab"},
		{"another one", map[string]bool{"b": true}, "a"},
		{"all", map[string]bool{"a": true, "b": true}, "ab"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newExplainFixture()
			f.relay.links = cutLinks{cut: tt.cut}
			c := f.relay.newCall(&Request{Host: "h", Path: "/v1/x", APIKey: "secret-2"})
			_, _, _ = c.findRoute()
			c.setService("s")
			got := ""
			for _, s := range c.capacitySites(time.Now()) {
				got += s.DataCentre
			}
			is.New(t).Equal(got, tt.want)
		})
	}
}

// Guards against a stream that goes to a data centre that is cut off because a replica reports more requests than it can have.
func TestCutOffCostsMoreThanFullSlots(t *testing.T) {
	is := is.New(t)
	f := newExplainFixture()
	f.relay.links = cutLinks{cut: map[string]bool{"b": true}}
	f.health.RecordLoad("a1", mangoreplica.ReportedLoad{Waiting: mangoreplica.MaxSlots, Slots: 10}, time.Now())
	c := f.relay.newCall(&Request{Host: "h", Path: "/v1/x", APIKey: "secret-2"})
	_, _, _ = c.findRoute()
	c.setService("s")
	chosen, found := c.chooseTarget()
	is.True(found)
	is.Equal(chosen.dataCentre, "a")
}
