package mangoplacement

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"mangopath.org/mangopath/pkg/mangomessage"
)

// desiredState has one profile with one stage, placed on one usable host of the kind.
func desiredState(kind string) DesiredState {
	return DesiredState{
		DataCentre: "a", MaxLoads: 9, Hosts: []Host{{Name: "x", Address: "x", Kind: kind, Usable: true}},
		Profiles: []*mangomessage.Profile{{
			Name: "p", Model: "m", Version: "1", Stages: []uint32{0, 8},
			Places: []*mangomessage.Place{{DataCentre: "a", Hosts: []string{"x"}}},
		}},
	}
}

// Guards against engines that accept orders of a holder that was paused beyond its lease after orders of the next holder.
// The pause is at different points of a round, for engines that check the fencing number and engines that ignore it.
func TestPausedHolderOrdersAfterNextHolder(t *testing.T) {
	const lifetime, order, pause = 6 * time.Second, time.Second, 20 * time.Second
	tests := []struct {
		name   string
		checks bool
		slow   fakeDaemon
	}{
		{"checks, paused between read and order", true, fakeDaemon{pauseRead: pause}},
		{"checks, paused before the send", true, fakeDaemon{pauseSend: pause}},
		{"checks, order goes out late", true, fakeDaemon{pauseSend: pause, sendsAfterDeadline: true}},
		{"ignores, paused between read and order", false, fakeDaemon{pauseRead: pause}},
		{"ignores, paused before the send", false, fakeDaemon{pauseSend: pause}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				store, engine := newFakeStore(), &fakeEngine{checksFence: tt.checks}
				kind := map[bool]string{true: "checks", false: "ignores"}[tt.checks]
				start := time.Now()
				slow, ended := tt.slow, make(chan error)
				slow.pauseFrom = start.Add(15 * time.Second)
				ctx, cancel := context.WithCancel(context.Background())
				for i, d := range []*fakeDaemon{&slow, {}} {
					d.engines, d.desired = map[string]*fakeEngine{"x": engine}, desiredState(kind)
					p := New(store, d, d, "a", string(rune('a'+i)), WithLeaseTime(lifetime), WithOrderTimeout(order),
						WithFencedKinds("checks"))
					go func() { ended <- p.Run(ctx) }()
					synctest.Wait()
				}
				time.Sleep(time.Minute)
				cancel()
				is.Equal(<-ended, context.Canceled)
				is.Equal(<-ended, context.Canceled)
				is.True(len(engine.accepted) > 5)
				is.Equal(engine.accepted[0].fence, uint64(1))
				for i, o := range engine.accepted[1:] {
					before := engine.accepted[i]
					is.True(o.fence >= before.fence)
					if o.fence != before.fence && !tt.checks {
						is.True(o.at.Sub(before.at) >= lifetime+order)
					}
				}
				is.Equal(engine.accepted[len(engine.accepted)-1].fence, uint64(2))
			})
		})
	}
}

// Guards against two holders at a time, and against a fencing number that falls after the store was restored.
func TestOneHolderAndRisingFence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, store := t.Context(), newFakeStore()
		a := newPlacementLease(store, "a", "one", 6*time.Second, time.Second)
		b := newPlacementLease(store, "a", "two", 6*time.Second, time.Second)
		is.NoErr(a.renewOrAcquire(ctx))
		is.True(b.renewOrAcquire(ctx) != nil)
		is.True(a.mayOrder(time.Now(), true))
		is.True(!a.mayOrder(time.Now(), false))
		time.Sleep(4 * time.Second)
		is.True(!a.mayOrder(time.Now(), true))
		is.NoErr(a.renewOrAcquire(ctx))
		time.Sleep(5 * time.Second)
		is.NoErr(a.renewOrAcquire(ctx))
		is.True(a.mayOrder(time.Now(), false))
		a.release(ctx)
		is.NoErr(b.renewOrAcquire(ctx))
		is.Equal(b.fence, a.fence+1)
		b.release(ctx)
		clear(store.items)
		a.highestReportedFence = 7
		is.NoErr(a.renewOrAcquire(ctx))
		is.Equal(a.fence, uint64(8))
	})
}

// Guards against a data centre that never gets orders again because a restored store has a lower fencing number than its
// hosts have seen.
func TestOrdersResumeAfterStoreRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := &fakeDaemon{engines: map[string]*fakeEngine{"x": {checksFence: true, highestFence: 7}}, desired: desiredState("checks")}
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		err := New(newFakeStore(), d, d, "a", "a", WithFencedKinds("checks")).Run(ctx)
		is.Equal(err, context.DeadlineExceeded)
		is.True(len(d.engines["x"].accepted) > 0)
		is.Equal(d.engines["x"].accepted[0].fence, uint64(8))
	})
}

// Guards against more loads than allowed, against orders to hosts that are leaving, drained, loading, without a fresh
// report or already at their target, and against plans that differ for the same input.
func TestPlanOrdersOnlyWhereNeeded(t *testing.T) {
	now := time.Unix(1000, 0)
	onTarget := &mangomessage.EngineState{Model: "m", Version: "1", FromLayer: 0, ToLayer: 8}
	empty := &mangomessage.EngineState{}
	tests := []struct {
		name   string
		state  HostState
		usable bool
		loads  int
		orders int
	}{
		{"target not held", HostState{Report: empty, ReadAt: now}, true, 1, 1},
		{"target held", HostState{Report: onTarget, ReadAt: now}, true, 1, 0},
		{"report too old", HostState{Report: empty, ReadAt: now.Add(-time.Minute)}, true, 1, 0},
		{"ordered recently", HostState{Report: empty, ReadAt: now, OrderedAt: now.Add(-time.Second)}, true, 1, 0},
		{"loading", HostState{Report: &mangomessage.EngineState{Loading: "1"}, ReadAt: now}, true, 1, 0},
		{"leaving", HostState{Report: &mangomessage.EngineState{Leaving: true}, ReadAt: now}, true, 1, 0},
		{"drained", HostState{Report: empty, ReadAt: now}, false, 1, 0},
		{"no load allowed", HostState{Report: empty, ReadAt: now}, true, 0, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			d := desiredState("k")
			d.Hosts[0].Usable, d.MaxLoads = tt.usable, tt.loads
			states := map[string]HostState{"x": tt.state}
			orders := Plan(d, states, now)
			is.Equal(len(orders), tt.orders)
			is.Equal(Plan(d, states, now), orders)
			is.Equal(ProfileReady(d.Profiles[0], "a", states), tt.name == "target held")
		})
	}
}

// Guards against a stage without a host while another gets two, and against more loads than allowed.
func TestPlanSpreadsStages(t *testing.T) {
	is, now := is.New(t), time.Unix(1000, 0)
	d, states := desiredState("k"), map[string]HostState{}
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
