package mangorelay

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"mangopath.org/mangopath/internal/mangobudget"
	"mangopath.org/mangopath/internal/mangocheck"
	"mangopath.org/mangopath/internal/mangocrash"
	"mangopath.org/mangopath/internal/mangopipeline"
	"mangopath.org/mangopath/internal/mangoreplica"
	"mangopath.org/mangopath/internal/mangoroute"
	"mangopath.org/mangopath/internal/mangostate"
)

// remoteDaemons is the number of daemons of data centre b whose streams pass through data centre a.
const remoteDaemons = 20

// remoteDaemon is a daemon of data centre b. Its requests for checks are answered.
type remoteDaemon struct {
	*modelDaemon
	connections *atomic.Int32
}

// Reach implements Exchanger. The extra time of messages holds for connections too.
func (d remoteDaemon) Reach(ctx context.Context, address string, timeout time.Duration) error {
	d.connections.Add(1)
	if late := 2 * d.fleet.extra; late >= timeout {
		d.connections.Add(1)
		sleep(ctx, timeout)
		return context.DeadlineExceeded
	}
	err := d.modelDaemon.Reach(ctx, address, timeout)
	if err != nil {
		d.connections.Add(1)
	}
	return err
}

// SendCheckRequests implements mangocheck.Sender.
func (d remoteDaemon) SendCheckRequests(to mangostate.Member, replicas []mangoreplica.Incarnation) {
	d.send(to.Name, func(o *modelDaemon) {
		o.checker.HandleRequests(d.self, replicas)
		o.send(d.self.Name, func(*modelDaemon) { d.checker.HandleAlive(o.self) })
	})
}

// addRemote adds the daemons of data centre b, which has a whole chain on one replica.
func (f *checkFleet) addRemote(ctx context.Context) []remoteDaemon {
	for i, r := range f.replicas {
		r.Layers, r.Accelerator = mangoreplica.LayerRange{From: i / modelHolders, To: i/modelHolders + 1}, "medium"
	}
	local := &mangoreplica.Replica{ID: "local", Service: "s", Address: "local", DataCentre: "b", Accelerator: "medium", Layers: mangoreplica.LayerRange{To: modelStages}}
	f.view.Fleet = mangoreplica.NewFleet(append(slices.Clone(f.replicas), local))
	var list []remoteDaemon
	for i := range remoteDaemons {
		d := remoteDaemon{&modelDaemon{fleet: f, self: mangostate.Member{Name: fmt.Sprintf("x-%d", i), DataCentre: "b"}, health: mangoreplica.NewHealthTracker()}, &atomic.Int32{}}
		d.checker = mangocheck.New(d.self, fixedState{f.view}, d, d, mangocheck.WithLogger(quietLogger()))
		d.health.SetFleetLoad(nil, nil, 1, time.Now())
		budget := mangobudget.New(mangobudget.Limit{Slack: 100, Window: 10 * time.Second})
		budget.Available("s", 1, 0, time.Now())
		d.relay = New("b", fixedState{f.view}, nil, d, d.health, budget, mangocrash.New(d.self.Name),
			WithLogger(quietLogger()), WithPeerNotifier(d), WithCheckRequester(d.checker), WithLinkWatcher(d.checker))
		d.checker.OnVerdict(d.relay.ReportLost, d.relay.ReportReachable)
		d.checker.OnCutOff(d.relay.LeaveCutOff)
		d.checker.Connected("a", time.Millisecond) // the streams began with a connection
		f.running.Go(func() { _ = d.relay.Run(ctx) })
		f.running.Go(func() { _ = d.checker.Run(ctx) })
		f.daemons = append(f.daemons, d.modelDaemon)
		list = append(list, d)
	}
	return list
}

// policy gives the call of a stream what it needs to go on at another chain.
func (d remoteDaemon) policy(l *silenceLimiter, silent time.Duration) time.Duration {
	c := l.call
	if c.service == nil {
		c.serviceName, c.service = "s", &mangoroute.Service{Name: "s", Engine: &mangoroute.Engine{
			Layers: modelStages, LayerMB: 1, TokenBytes: 1, StepMS: 1, Accelerators: map[string]mangoroute.Accelerator{"medium": {MemoryMB: 1000, StepFactor: 1}},
		}}
		c.route.Pipelined, c.meanGap, c.lastEventAt = true, 30*time.Millisecond, time.Now()
	}
	return l.remainingWait(silent)
}

// Guards against streams through a data centre that is cut off which are late, as their daemons ask hubs that they cannot reach or as they
// sleep until their next poll, against more than four connections of a daemon, and against streams that leave a data centre whose hubs are
// lost or whose chains pause.
func TestFleetLeavesCutOff(t *testing.T) {
	const ms = time.Millisecond
	tests := []struct {
		name string
		// cut says that the link between the data centres drops everything, and hubsDown that the hubs of a are lost.
		cut, hubsDown bool
		extra, silent time.Duration
		leaves        bool
		// perDaemon bounds the connections to replicas of each daemon, without those of hubs.
		perDaemon int32
	}{
		{"cut", true, false, 0, 700 * ms, true, 4},
		{"hubs lost, chains pause", false, true, 0, 250 * ms, false, 2},
		{"chains pause", false, false, 0, 250 * ms, false, 0},
		{"chains pause, messages 40 ms late", false, false, 40 * ms, 250 * ms, false, 4},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				f := newCheckFleet(ctx, tt.extra)
				daemons := f.addRemote(ctx)
				var down, cut []string
				for _, d := range daemons {
					if tt.cut {
						down, cut = append(down, d.self.Name), append(cut, d.self.Name)
					}
				}
				if tt.hubsDown {
					down = []string{"d-0", "d-1"}
				}
				f.mark(nil, down, cut)
				known := f.playRemote(t.Context(), daemons, tt.silent)
				cancel()
				f.running.Wait()
				most := int32(0)
				for _, d := range daemons {
					most = max(most, d.connections.Load())
				}
				t.Logf("streams %d, left after %v to %v, connections of a daemon %d", len(known), known[0], known[len(known)-1], most)
				if (known[0] > 0) != tt.leaves || (known[len(known)-1] > 0) != tt.leaves || known[len(known)-1] > 200*ms {
					t.Errorf("streams left after %v to %v", known[0], known[len(known)-1])
				}
				if most > tt.perDaemon {
					t.Errorf("%d connections of a daemon", most)
				}
			})
		})
	}
}

// playRemote runs two streams of each daemon, whose last events come within 30 ms, and returns the times after which they left, sorted.
func (f *checkFleet) playRemote(ctx context.Context, daemons []remoteDaemon, silentFor time.Duration) []time.Duration {
	random := rand.New(rand.NewPCG(1, 2))
	var mu sync.Mutex
	var known []time.Duration
	var streams sync.WaitGroup
	for _, d := range daemons {
		for range modelStreams {
			chain, offset := f.randomChain(random), time.Duration(random.Int64N(int64(30*time.Millisecond)))
			for i := range chain.stages {
				chain.stages[i] = mangopipeline.Stage{Replica: chain.stages[i].Replica, Layers: chain.stages[i].Replica.Layers}
			}
			chain.replicaIDs = mangopipeline.Chain{Stages: chain.stages}.IDs()
			streams.Go(func() {
				time.Sleep(offset)
				waited := d.runStream(ctx, modelStream{chain: chain, silentFor: silentFor, policy: d.policy})
				mu.Lock()
				defer mu.Unlock()
				known = append(known, waited)
			})
		}
	}
	streams.Wait()
	slices.Sort(known)
	return known
}
