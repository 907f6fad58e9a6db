package mangorelay

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"mangopath.org/mangopath/internal/mangoconn"
	"mangopath.org/mangopath/internal/mangocrash"
	"mangopath.org/mangopath/internal/mangopipeline"
	"mangopath.org/mangopath/internal/mangorecovery"
	"mangopath.org/mangopath/internal/mangoreplica"
	"mangopath.org/mangopath/internal/mangoroute"
	"mangopath.org/mangopath/internal/mangostate"
)

// pathChangerFunc is a PathChanger.
type pathChangerFunc func(ctx context.Context, stages []mangopipeline.Stage) (RepathAnswer, error)

func (f pathChangerFunc) Repath(ctx context.Context, _ *mangoreplica.Replica, _ string, stages []mangopipeline.Stage) (RepathAnswer, error) {
	return f(ctx, stages)
}

// repairTest is a started stream along the replicas first and old, with new as the only other holder of old's layers.
type repairTest struct {
	call    *call
	limiter *silenceLimiter
	old     *mangoreplica.Replica
	// end ends the repairs of the send.
	end func()
	// moves has the paths that the request was counted on after the first one.
	moves [][]string
}

// newRepairTest returns a stream whose orders to change its path are answered by a function.
func newRepairTest(t *testing.T, paths pathChangerFunc) *repairTest {
	t.Helper()
	replicas := []*mangoreplica.Replica{
		{ID: "first", Service: "s", Address: "127.0.0.1:1", DataCentre: "a", Accelerator: "k", Layers: mangoreplica.LayerRange{To: 4}},
		{ID: "old", Service: "s", Address: "127.0.0.1:2", DataCentre: "a", Accelerator: "k", Layers: mangoreplica.LayerRange{From: 4, To: 8}},
		{ID: "new", Service: "s", Address: "127.0.0.1:3", DataCentre: "a", Accelerator: "k", Layers: mangoreplica.LayerRange{From: 4, To: 8}},
	}
	c := newStreamCall(mangoreplica.NewHealthTracker())
	c.started, c.mayHaveRunOn, c.serviceName = true, map[string]bool{"first": true}, "s"
	c.service = &mangoroute.Service{Name: "s", Engine: &mangoroute.Engine{
		Layers: 8, LayerMB: 1750, TokenBytes: 590000, StepMS: 1, Accelerators: map[string]mangoroute.Accelerator{"k": {MemoryMB: 80000, StepFactor: 1}},
	}}
	c.relay.state = fixedState{&mangostate.View{Fleet: mangoreplica.NewFleet(replicas)}}
	c.relay.repairs.paths = paths
	f := &repairTest{call: c, old: replicas[1], limiter: &silenceLimiter{call: c, target: target{
		first: replicas[0], dataCentre: "a", replicaIDs: []string{"first", "old"},
		stages: []mangopipeline.Stage{{Replica: replicas[0], Layers: replicas[0].Layers}, {Replica: replicas[1], Layers: replicas[1].Layers}},
	}}}
	f.end = f.limiter.enableRepair(t.Context(), mangoconn.NewReadWaiter(f.limiter.remainingWait), func(t target) { f.moves = append(f.moves, t.replicaIDs) })
	t.Cleanup(f.end)
	return f
}

// lose makes the second replica avoided for a cause and wakes the stream.
func (f *repairTest) lose(cause mangoreplica.Cause) {
	f.call.relay.health.Avoid(f.old.Incarnation(), cause, time.Minute, time.Now())
	f.limiter.replicaLost.Store(true)
}

// repair begins a repair and returns how much longer the stream waits after its result.
func (f *repairTest) repair(t *testing.T) time.Duration {
	t.Helper()
	f.limiter.remainingWait(0)
	for until := time.Now().Add(time.Second); time.Now().Before(until); time.Sleep(time.Millisecond) {
		if len(f.limiter.repair.results) > 0 {
			return f.limiter.remainingWait(0)
		}
	}
	t.Fatal("the repair has no result")
	return 0
}

// Guards against a stream that is counted on a path whose order was refused: its real replicas do not wake it when they are lost.
func TestRefusedPathIsNotFollowed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var f *repairTest
		f = newRepairTest(t, func(context.Context, []mangopipeline.Stage) (RepathAnswer, error) {
			f.call.relay.health.ClearOutage(f.old.Incarnation(), time.Now())
			return RepathAnswer{Answer: mangorecovery.AnswerPartMissing, PartAddress: "127.0.0.1:3"}, nil
		})
		f.lose(mangoreplica.CauseUnreachable)
		is.True(f.repair(t) > 0)
		is.Equal(f.limiter.target.replicaIDs, []string{"first", "old"})
		is.Equal(len(f.moves), 0)
	})
}

// Guards against a stream that is closed although its events still come, because no replacement has capacity for a replica that
// others cannot reach.
func TestStreamWithoutReplacementWaitsForSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newRepairTest(t, func(context.Context, []mangopipeline.Stage) (RepathAnswer, error) {
			return RepathAnswer{Answer: mangorecovery.AnswerPartMissing, PartAddress: "127.0.0.1:3"}, nil
		})
		f.lose(mangoreplica.CauseUnreachable)
		is.Equal(f.repair(t), gapSoft)
		is.Equal(f.limiter.remainingWait(gapSoft), time.Duration(0))
	})
}

// Guards against a restart at a replica where an order may still be carried out: the connection of the stream broke while the
// order was on its way, so that its answer was never looked at.
func TestOrderOfBrokenStreamCountsAsUnanswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		sent := make(chan struct{})
		f := newRepairTest(t, func(ctx context.Context, _ []mangopipeline.Stage) (RepathAnswer, error) {
			close(sent)
			<-ctx.Done()
			return RepathAnswer{Answer: mangorecovery.AnswerUnknown}, ctx.Err()
		})
		f.lose(mangoreplica.CauseUnreachable)
		f.limiter.remainingWait(0)
		<-sent
		f.end()
		is.Equal(f.call.unansweredFirst, "first")
	})
}

// Guards against a request that crashes replica after replica because repairs pass it on, although it may not be sent again.
func TestCrashingRequestIsNotRepaired(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newRepairTest(t, func(context.Context, []mangopipeline.Stage) (RepathAnswer, error) {
			t.Error("an order was sent")
			return RepathAnswer{Answer: mangorecovery.AnswerBegun}, nil
		})
		f.call.identity = mangocrash.Request{Fingerprint: "f"}
		for _, id := range []string{"x", "y"} {
			at := time.Now().Add(-time.Minute)
			if id == "y" {
				at = at.Add(20 * time.Second)
			}
			f.call.relay.crashes.ReportInFlight(mangocrash.NewGroupCrashID("a/s", id), []mangocrash.InFlight{{Request: f.call.identity}}, at)
		}
		is.True(f.call.isRefusedAsCrashing())
		f.lose(mangoreplica.CauseEnded)
		is.Equal(f.limiter.remainingWait(0), time.Duration(0))
		f.end()
	})
}

// Guards against a stream that is not repaired because two of its replicas were lost a short time apart, for which reports of
// other crashes are awaited: it has begun, so it did not crash them.
func TestHeldStreamIsRepaired(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newRepairTest(t, func(context.Context, []mangopipeline.Stage) (RepathAnswer, error) {
			return RepathAnswer{Answer: mangorecovery.AnswerBegun}, nil
		})
		f.call.identity, f.call.started = mangocrash.Request{Fingerprint: "f"}, true
		for i, id := range []string{"x", "y"} {
			at := time.Now().Add(time.Duration(i-1) * 20 * time.Second)
			f.call.relay.crashes.ReportInFlight(mangocrash.NewGroupCrashID("a/s", id), []mangocrash.InFlight{{Request: f.call.identity}}, at)
		}
		is.True(f.call.isRefusedAsCrashing())
		is.True(f.call.refusal.Held)
		is.True(!f.call.refusesRepair())
		f.end()
	})
}

// Guards against a stream that waits 150 ms for the answer to an order whose first replica is found lost meanwhile, or shows no sign of
// life, and against one that leaves a first replica that is alive.
func TestUnansweredOrderIsAbandoned(t *testing.T) {
	const ms = time.Millisecond
	tests := []struct {
		name string
		// lostAfter is the time from the order until the first replica is found lost, and aliveAfter that until another stream has an
		// event from it; 0 for never. silent is the silence at the time of the order.
		lostAfter, aliveAfter, silent time.Duration
		// after is when the send is given up, counted from the order.
		after   time.Duration
		outcome string
	}{
		{"found lost", 20 * ms, 0, 50 * ms, 20 * ms, "FirstLost"},
		{"no sign of life", 0, 0, 80 * ms, mangorecovery.SilentOrderWait, "FirstSilent"},
		{"only an event that was on its way", 0, 25 * ms, 80 * ms, mangorecovery.SilentOrderWait, "FirstSilent"},
		{"alive", 0, 60 * ms, 80 * ms, repairTimeout, "Unknown"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newRepairTest(t, func(ctx context.Context, _ []mangopipeline.Stage) (RepathAnswer, error) {
					<-ctx.Done()
					return RepathAnswer{Answer: mangorecovery.AnswerUnknown}, ctx.Err()
				})
				outcomes := &pathOutcomes{Observer: f.call.relay.observer}
				f.call.relay.observer = outcomes
				woken := make(chan struct{}, 1)
				f.end()
				f.end = f.limiter.enableRepair(t.Context(), wakerFunc(func() { woken <- struct{}{} }), func(target) {})
				first, other := f.limiter.target.first, &inFlightRequest{wake: func() {}}
				f.call.relay.inFlight.add(other, []mangoreplica.Incarnation{first.Incarnation()})
				f.lose(mangoreplica.CauseUnreachable)
				begun := time.Now()
				if tt.lostAfter > 0 {
					time.AfterFunc(tt.lostAfter, func() {
						f.call.relay.health.Avoid(first.Incarnation(), mangoreplica.CauseUnreachable, time.Minute, time.Now())
						woken <- struct{}{}
					})
				}
				if tt.aliveAfter > 0 {
					time.AfterFunc(tt.aliveAfter, func() { other.recordProgress(time.Now().Add(-time.Second)) })
				}
				for more := f.limiter.remainingWait(tt.silent); more > 0; more = f.limiter.remainingWait(tt.silent + time.Since(begun)) {
					synctest.Wait() // the order has been sent
					select {
					case <-time.After(min(more, 5*ms)):
					case <-woken:
					}
				}
				is.Equal(time.Since(begun), tt.after)
				f.end()
				is.Equal(outcomes.outcomes, []string{tt.outcome})
				is.Equal(f.call.unansweredFirst, "first")
			})
		})
	}
}

// Guards against a stream that is closed after it was repaired, because the answer to the order was lost, and against one that stays
// although its events had only been on their way.
func TestUnansweredOrderIsConfirmedByEvents(t *testing.T) {
	const ms = time.Millisecond
	for _, tt := range []struct {
		name    string
		eventAt time.Duration
		stays   bool
	}{
		{"an event that was on its way", 25 * ms, false},
		{"the same on a slow link", 65 * ms, false},
		{"an event along the new path", 100 * ms, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newRepairTest(t, func(ctx context.Context, _ []mangopipeline.Stage) (RepathAnswer, error) {
					<-ctx.Done()
					return RepathAnswer{Answer: mangorecovery.AnswerUnknown}, ctx.Err()
				})
				f.call.inFlight = &inFlightRequest{wake: func() {}}
				f.lose(mangoreplica.CauseUnreachable)
				f.limiter.remainingWait(0)
				time.Sleep(tt.eventAt)
				f.call.inFlight.recordProgress(time.Now().Add(-ms))
				time.Sleep(repairTimeout - tt.eventAt)
				synctest.Wait()
				is.Equal(f.limiter.remainingWait(repairTimeout-tt.eventAt) > 0, tt.stays)
				is.Equal(f.limiter.target.replicaIDs[1] == "new", tt.stays)
				f.end()
			})
		})
	}
}

// Guards against streams that leave a first replica which has answered, because this process was paused for longer than an order is
// awaited and the answer had not been read.
func TestPausedDaemonAwaitsOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newRepairTest(t, func(ctx context.Context, _ []mangopipeline.Stage) (RepathAnswer, error) {
			select {
			case <-ctx.Done():
				return RepathAnswer{Answer: mangorecovery.AnswerUnknown}, ctx.Err()
			case <-time.After(105 * time.Millisecond):
				return RepathAnswer{Answer: mangorecovery.AnswerBegun}, nil
			}
		})
		f.lose(mangoreplica.CauseUnreachable)
		f.limiter.remainingWait(gapSoft)
		time.Sleep(100 * time.Millisecond)
		more := f.limiter.remainingWait(gapSoft + 100*time.Millisecond)
		is.True(more > 0)
		time.Sleep(more)
		is.True(f.limiter.remainingWait(gapSoft+100*time.Millisecond+more) > 0)
		is.Equal(f.limiter.target.replicaIDs, []string{"first", "new"})
		f.end()
	})
}

// wakerFunc is an answerWait.
type wakerFunc func()

func (wakerFunc) Progress() {}
func (f wakerFunc) Wake()   { f() }

// pathOutcomes is an Observer that records the outcomes of changes of paths.
type pathOutcomes struct {
	Observer
	outcomes []string
}

func (o *pathOutcomes) PathChange(_, outcome string) { o.outcomes = append(o.outcomes, outcome) }
