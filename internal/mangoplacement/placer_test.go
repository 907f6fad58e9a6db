package mangoplacement

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"mangopath.org/mangopath/pkg/mangomessage"
)

func desired(kind string) DesiredState {
	return DesiredState{
		DataCentre: "a", MaxLoads: 9, Hosts: []Host{{Name: "x", Address: "x", Kind: kind, Usable: true}},
		Profiles: []*mangomessage.Profile{{
			Name: "p", Model: "m", Version: "1", Stages: []uint32{0, 8},
			Places: []*mangomessage.Place{{DataCentre: "a", Hosts: []string{"x"}}},
		}},
	}
}

// Guards against orders of a holder that was paused past its lease reaching engines after those of the next holder:
// at any point of the round, for engines that check the number and for those that do not.
func TestPausedHolder(t *testing.T) {
	const lifetime, order, pause = 6 * time.Second, time.Second, 20 * time.Second
	tests := []struct {
		name   string
		checks bool
		slow   daemon
	}{
		{"checks, paused between read and order", true, daemon{pauseRead: pause}},
		{"checks, paused before the send", true, daemon{pauseSend: pause}},
		{"checks, order goes out late", true, daemon{pauseSend: pause, late: true}},
		{"ignores, paused between read and order", false, daemon{pauseRead: pause}},
		{"ignores, paused before the send", false, daemon{pauseSend: pause}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				store, engine := newFake(), &fakeEngine{checks: tt.checks}
				kind := map[bool]string{true: "checks", false: "ignores"}[tt.checks]
				start := time.Now()
				slow, ended := tt.slow, make(chan error)
				slow.after = start.Add(15 * time.Second)
				ctx, cancel := context.WithCancel(context.Background())
				for i, d := range []*daemon{&slow, {}} {
					d.engines, d.desired = map[string]*fakeEngine{"x": engine}, desired(kind)
					p := New(store, d, d, "a", string(rune('a'+i)), WithLeaseTime(lifetime), WithOrderTimeout(order),
						WithFencedKinds("checks"))
					go func() { ended <- p.Run(ctx) }()
					synctest.Wait()
				}
				time.Sleep(time.Minute)
				cancel()
				is.Equal(<-ended, context.Canceled)
				is.Equal(<-ended, context.Canceled)
				is.True(len(engine.orders) > 5)
				is.Equal(engine.orders[0].number, uint64(1))
				for i, o := range engine.orders[1:] {
					before := engine.orders[i]
					is.True(o.number >= before.number)
					if o.number != before.number && !tt.checks {
						is.True(o.at.Sub(before.at) >= lifetime+order)
					}
				}
				is.Equal(engine.orders[len(engine.orders)-1].number, uint64(2))
			})
		})
	}
}

// Guards against two holders at a time, and against a number that falls back after a restore of the store.
func TestTenure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, store := t.Context(), newFake()
		a := newTenure(store, "a", "one", 6*time.Second, time.Second)
		b := newTenure(store, "a", "two", 6*time.Second, time.Second)
		is.NoErr(a.keep(ctx))
		is.True(b.keep(ctx) != nil)
		is.True(a.allows(time.Now(), true))
		is.True(!a.allows(time.Now(), false))
		time.Sleep(4 * time.Second)
		is.True(!a.allows(time.Now(), true))
		is.NoErr(a.keep(ctx))
		time.Sleep(5 * time.Second)
		is.NoErr(a.keep(ctx))
		is.True(a.allows(time.Now(), false))
		a.release(ctx)
		is.NoErr(b.keep(ctx))
		is.Equal(b.fence, a.fence+1)
		b.release(ctx)
		clear(store.items)
		a.floor = 7
		is.NoErr(a.keep(ctx))
		is.Equal(a.fence, uint64(8))
	})
}

// Guards against a data centre without orders for good when a restored store has a number below those that hosts saw.
func TestRestoredNumber(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := &daemon{engines: map[string]*fakeEngine{"x": {checks: true, seen: 7}}, desired: desired("checks")}
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		err := New(newFake(), d, d, "a", "a", WithFencedKinds("checks")).Run(ctx)
		is.Equal(err, context.DeadlineExceeded)
		is.True(len(d.engines["x"].orders) > 0)
		is.Equal(d.engines["x"].orders[0].number, uint64(8))
	})
}

// Guards against more loads than the weights store takes, orders to hosts that leave, load, are right or silent, and
// plans that differ between daemons.
func TestPlan(t *testing.T) {
	now := time.Unix(1000, 0)
	right := &mangomessage.EngineState{Model: "m", Version: "1", FromLayer: 0, ToLayer: 8}
	empty := &mangomessage.EngineState{}
	tests := []struct {
		name   string
		state  HostState
		usable bool
		loads  int
		orders int
	}{
		{"wrong", HostState{Report: empty, ReadAt: now}, true, 1, 1},
		{"right", HostState{Report: right, ReadAt: now}, true, 1, 0},
		{"old report", HostState{Report: empty, ReadAt: now.Add(-time.Minute)}, true, 1, 0},
		{"ordered lately", HostState{Report: empty, ReadAt: now, OrderedAt: now.Add(-time.Second)}, true, 1, 0},
		{"loading", HostState{Report: &mangomessage.EngineState{Loading: "1"}, ReadAt: now}, true, 1, 0},
		{"leaving", HostState{Report: &mangomessage.EngineState{Leaving: true}, ReadAt: now}, true, 1, 0},
		{"drained", HostState{Report: empty, ReadAt: now}, false, 1, 0},
		{"no load allowed", HostState{Report: empty, ReadAt: now}, true, 0, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			d := desired("k")
			d.Hosts[0].Usable, d.MaxLoads = tt.usable, tt.loads
			states := map[string]HostState{"x": tt.state}
			orders := Plan(d, states, now)
			is.Equal(len(orders), tt.orders)
			is.Equal(Plan(d, states, now), orders)
			is.Equal(ProfileReady(d.Profiles[0], "a", states), tt.name == "right")
		})
	}
}

// Guards against stages without a host while another has two, and loads beyond the limit.
func TestPlanSpreadsStages(t *testing.T) {
	is, now := is.New(t), time.Unix(1000, 0)
	d, states := desired("k"), map[string]HostState{}
	d.Hosts, d.MaxLoads = nil, 3
	d.Profiles[0].Stages = []uint32{0, 8, 16}
	d.Profiles[0].Places[0].Hosts = []string{"4", "3", "2", "1"}
	for _, h := range []string{"1", "2", "3", "4", "other"} {
		d.Hosts = append(d.Hosts, Host{Name: h, Usable: true})
		states[h] = HostState{Report: &mangomessage.EngineState{}, ReadAt: now}
	}
	var from []uint32
	for _, o := range Plan(d, states, now) {
		from = append(from, o.Order.GetFromLayer())
	}
	is.Equal(from, []uint32{0, 8, 0})
}
