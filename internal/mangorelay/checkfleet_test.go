package mangorelay

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"mangopath.org/mangopath/internal/mangocrash"
	"mangopath.org/mangopath/internal/mangopipeline"
	"mangopath.org/mangopath/internal/mangoreplica"
	"mangopath.org/mangopath/internal/mangoroute"
)

// randomChain returns a chain with one of the holders of each layer.
func (f *checkFleet) randomChain(random *rand.Rand) target {
	t := target{dataCentre: "a"}
	for i := range modelStages {
		t.stages = append(t.stages, mangopipeline.Stage{Replica: f.replicas[i*modelHolders+random.IntN(modelHolders)], Layers: modelLayers(i)})
	}
	t.first = t.stages[0].Replica
	return t
}

// modelStream is a stream that falls silent.
type modelStream struct {
	chain target
	// gap is the mean of the earlier gaps; 0 if there were none. silentFor is the time until the next event.
	gap, silentFor time.Duration
	// orders says that the chain is repaired if possible, else the stream always leaves it.
	orders bool
	policy func(l *silenceLimiter, silent time.Duration) time.Duration
}

// runStream waits for an event of a silent stream, and returns the time after which it left its chain; 0 if it did not.
func (d *modelDaemon) runStream(ctx context.Context, s modelStream) time.Duration {
	c := newStreamCall(d.health)
	c.relay, c.started, c.mayHaveRunOn, c.serviceName = d.relay, true, map[string]bool{}, "s"
	c.service = &mangoroute.Service{Name: "s", Engine: &mangoroute.Engine{
		Layers: modelStages, LayerMB: 1750, TokenBytes: 590000, StepMS: 1, Accelerators: map[string]mangoroute.Accelerator{"k": {MemoryMB: 80000, StepFactor: 1}},
	}}
	for i := 0; i < 20 && s.gap > 0; i++ { // gaps differ by a tenth
		gap := s.gap + s.gap/20*time.Duration(i%2*2-1)
		c.meanGap += (gap - c.meanGap) / meanGapSamples
		c.gaps.add(gap)
	}
	woken := make(chan struct{}, 1)
	wake := func() {
		select {
		case woken <- struct{}{}:
		default:
		}
	}
	l := &silenceLimiter{call: c, target: s.chain}
	remove := d.relay.inFlight.add(&inFlightRequest{identity: mangocrash.Request{Fingerprint: "q"}, first: s.chain.first.Incarnation(), wake: func() {
		l.replicaLost.Store(true)
		wake()
	}}, s.chain.incarnations())
	defer remove()
	if s.orders {
		defer l.enableRepair(ctx, wakerFunc(wake), func(target) {})()
	}
	for begin := time.Now(); ; {
		silent := time.Since(begin)
		if silent >= s.silentFor {
			return 0
		}
		wait := s.policy(l, silent)
		if wait <= 0 || (l.repair != nil && l.repair.changed > 0) {
			return silent
		}
		select {
		case <-time.After(min(wait, s.silentFor-silent)):
		case <-woken:
		}
	}
}

// checkByEachDaemon is the policy before hubs made checks: each daemon connects to all stages of a chain.
func checkByEachDaemon(l *silenceLimiter, silent time.Duration) time.Duration {
	const soft, hard = 100 * time.Millisecond, 600 * time.Millisecond
	r := l.call.relay
	switch {
	case silent >= hard, silent >= soft && l.anyPartAvoided(mangoreplica.Cause.LikelyDown):
		return 0
	case silent < soft:
		return soft - silent
	case r.chainChecks.replicas.allow(l.target.first.Incarnation(), time.Now()):
		for _, s := range l.target.stages {
			r.enqueueCheck(func(ctx context.Context) { r.connectOrAvoid(ctx, s.Replica, "q", nil, whySilent) })
		}
	}
	return min(silencePoll, hard-silent)
}

// Guards against a fleet that discovers one silent replica by hundreds of connections, against a loss that streams learn of too
// late because of it, a hub that is lost at the same time or slow messages, against sound replicas that are avoided because a hub
// is cut off from them, and against a load of checks that grows with the daemons while chains are silent but sound.
func TestFleetFindsSilentReplica(t *testing.T) {
	type policy = func(l *silenceLimiter, silent time.Duration) time.Duration
	hubs, daemons := (*silenceLimiter).remainingWait, checkByEachDaemon
	const ms = time.Millisecond
	one, none := []string{"r-16"}, []string(nil)
	tests := []struct {
		name            string
		policy          policy
		dark, down, cut []string
		// steady is the number of further streams of each daemon; those that pass no unreachable replica have an event each 25 ms.
		steady int
		// extra is added to the time of each message, and silent is the time until the next event.
		extra, silent time.Duration
		// gap is the mean gap of the streams.
		gap time.Duration
		// median and known bound the median and the longest time from the last event until a stream through an unreachable replica knows
		// of it, perLost bounds the connections to each unreachable replica, and perSound those to the others on average.
		median, known time.Duration
		perLost       int
		perSound      float64
		// orders says that chains are repaired if their first replica answers.
		orders bool
	}{
		{"before: each daemon checks", daemons, one, none, none, 0, 0, 700 * ms, 30 * ms, 0, 250 * ms, 200, 20, false},
		{"one replica", hubs, one, none, none, 0, 0, 700 * ms, 30 * ms, 90 * ms, 200 * ms, 4, 1.1, false},
		{"four replicas", hubs, []string{"r-3", "r-9", "r-16", "r-30"}, none, none, 0, 0, 700 * ms, 30 * ms, 90 * ms, 200 * ms, 4, 1.1, false},
		{"first hub lost at once", hubs, one, []string{"d-0"}, none, 0, 0, 700 * ms, 30 * ms, 0, 400 * ms, 4, 1.1, false},
		{"second hub lost at once", hubs, one, []string{"d-1"}, none, 0, 0, 700 * ms, 30 * ms, 0, 400 * ms, 4, 1.1, false},
		{"first hub cut off", hubs, one, none, []string{"d-0"}, 0, 0, 700 * ms, 30 * ms, 0, 400 * ms, 4, 4, false},
		{"second hub cut off", hubs, one, none, []string{"d-1"}, 0, 0, 700 * ms, 30 * ms, 0, 400 * ms, 4, 4, false},
		{"messages 40 ms late", hubs, one, none, none, 0, 40 * ms, 700 * ms, 30 * ms, 0, 400 * ms, 4, 4, false},
		{"an asker is cut off", hubs, one, none, []string{"d-7"}, 0, 0, 700 * ms, 30 * ms, 90 * ms, 200 * ms, 4, 4, false},
		{"sound, silent for 150 ms", hubs, none, none, none, 0, 0, 150 * ms, 30 * ms, 0, 0, 0, 1.1, false},
		{"sound, silent for 200 ms", hubs, none, none, none, 0, 0, 200 * ms, 30 * ms, 0, 0, 0, 1.6, false},
		{"sound, silent for long", hubs, none, none, none, 0, 0, 590 * ms, 30 * ms, 0, 0, 0, 15, false},
		{"one replica beside steady streams", hubs, one, none, none, 6, 0, 700 * ms, 30 * ms, 90 * ms, 200 * ms, 4, 1.1, false},
		{"a few sound chains beside steady streams", hubs, none, nil, nil, 6, 0, 200 * ms, 30 * ms, 0, 0, 0, 0.4, false},
		{"four replicas, one of them first", hubs, []string{"r-0", "r-9", "r-16", "r-30"}, none, none, 0, 0, 700 * ms, 30 * ms, 0, 130 * ms, 4, 1.1, true},
		{"the same, gaps of 45 ms", hubs, []string{"r-0", "r-9", "r-16", "r-30"}, none, none, 0, 0, 700 * ms, 45 * ms, 0, 130 * ms, 4, 1.1, true},
		{"one replica, gaps of 45 ms", hubs, one, none, none, 0, 0, 700 * ms, 45 * ms, 120 * ms, 200 * ms, 4, 1.1, false},
		{"sound, gaps of 45 ms, silent for 150 ms", hubs, none, none, none, 0, 0, 150 * ms, 45 * ms, 0, 0, 0, 1.1, false},
		{"sound, gaps of 45 ms, silent for 200 ms", hubs, none, none, none, 0, 0, 200 * ms, 45 * ms, 0, 0, 0, 1.6, false},
		{"few gaps so far", hubs, one, none, none, 0, 0, 700 * ms, 0, 0, 200 * ms, 4, 1.1, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				f := newCheckFleet(ctx, tt.extra)
				f.mark(tt.dark, tt.down, tt.cut)
				f.runSteady(ctx, tt.steady)
				askers := modelDaemons
				if tt.steady > 0 && len(tt.dark) == 0 {
					askers = modelDaemons / 20
				}
				known, avoided := f.play(modelStream{policy: tt.policy, gap: tt.gap, silentFor: tt.silent, orders: tt.orders}, askers)
				cancel()
				f.running.Wait()
				toSound := 0
				for id, n := range f.connections {
					switch {
					case !f.dark[id]:
						toSound += n
					case n > tt.perLost:
						t.Errorf("%d connections to %s", n, id)
					}
				}
				t.Logf("streams %d, known after %v median %v most, connections to sound replicas %d", len(known), known[len(known)/2], known[len(known)-1], toSound)
				if known[len(known)-1] > tt.known || (known[0] == 0) != (tt.known == 0) {
					t.Errorf("streams knew after %v to %v", known[0], known[len(known)-1])
				}
				if median := known[len(known)/2]; tt.median > 0 && median > tt.median {
					t.Errorf("half of the streams knew after more than %v", median)
				}
				if float64(toSound) > tt.perSound*float64(len(f.replicas)-len(tt.dark)) {
					t.Errorf("%d connections to sound replicas", toSound)
				}
				for id, n := range avoided {
					if !f.dark[id] {
						t.Errorf("%d daemons avoid %s, which is sound", n, id)
					}
				}
			})
		})
	}
}

func (f *checkFleet) mark(dark, down, cut []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, n := range dark {
		f.dark[n] = true
	}
	for _, n := range down {
		f.down[n] = true
	}
	for _, n := range cut {
		f.cut[n] = true
	}
}

// runSteady runs streams that have an event each 25 ms unless they pass an unreachable replica.
func (f *checkFleet) runSteady(ctx context.Context, perDaemon int) {
	random := rand.New(rand.NewPCG(3, 4))
	for _, d := range f.daemons {
		for range perDaemon {
			chain := f.randomChain(random)
			request := &inFlightRequest{wake: func() {}}
			d.relay.inFlight.add(request, chain.incarnations())
			if slices.ContainsFunc(chain.stages, func(s mangopipeline.Stage) bool { return f.dark[s.Replica.ID] }) {
				continue
			}
			offset := time.Duration(random.Int64N(int64(25 * time.Millisecond)))
			f.running.Go(func() {
				for sleep(ctx, offset); ctx.Err() == nil; {
					begun := time.Now()
					sleep(ctx, 25*time.Millisecond)
					request.recordProgress(begun)
				}
			})
		}
	}
}

// play runs the streams of the first daemons through unresponsive replicas, or all streams if there are no such replicas; their last
// events come within a gap, at least 30 ms. It returns how long they waited before they left their chains, sorted, and how many daemons avoid each
// replica afterwards.
func (f *checkFleet) play(s modelStream, askers int) ([]time.Duration, map[string]int) {
	random := rand.New(rand.NewPCG(1, 2))
	var mu sync.Mutex
	var known []time.Duration
	var streams sync.WaitGroup
	for _, d := range f.daemons[:askers] {
		for range modelStreams {
			chain, offset := f.randomChain(random), time.Duration(random.Int64N(int64(max(s.gap, 30*time.Millisecond))))
			isLost := len(f.dark) == 0 || slices.ContainsFunc(chain.stages, func(s mangopipeline.Stage) bool { return f.dark[s.Replica.ID] })
			if !isLost || f.down[d.self.Name] {
				continue
			}
			streams.Go(func() {
				time.Sleep(offset)
				s := s
				s.chain = chain
				waited := d.runStream(context.Background(), s)
				mu.Lock()
				defer mu.Unlock()
				known = append(known, waited)
			})
		}
	}
	streams.Wait()
	slices.Sort(known)
	avoided := map[string]int{}
	for _, d := range f.daemons {
		for i := range d.health.Outages(time.Now()) {
			avoided[i.ID]++
		}
	}
	return known, avoided
}
