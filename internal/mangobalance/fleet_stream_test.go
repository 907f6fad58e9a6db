package mangobalance

import (
	"slices"
	"time"

	"mangopath.org/mangopath/internal/mangodelay"
	"mangopath.org/mangopath/internal/mangopipeline"
	"mangopath.org/mangopath/internal/mangoreplica"
)

// stream is a request of the model.
type stream struct {
	daemon         int
	home           string
	arrived        time.Duration
	prompt, answer float64
	chain          mangopipeline.Chain
	tries          int
	counted        bool
	refusedBy      map[string]bool
	penalty        map[string]time.Duration
	epoch          int
	grown, done    bool
	wait           *mangodelay.PendingRequest
}

func (f *fleet) begin(s *stream) {
	s.arrived, s.epoch, s.refusedBy, s.penalty, s.tries = f.now, f.daemons[s.daemon].epoch, map[string]bool{}, map[string]time.Duration{}, 0
	if s.counted = f.now >= modelWarmUp; s.counted {
		f.result.streams[s.home]++
	}
	f.send(s)
}

// send chooses a chain and sends the request there; a rejected one is sent once more.
func (f *fleet) send(s *stream) {
	d, now := f.daemons[s.daemon], time.Unix(0, 0).Add(f.now)
	request := mangopipeline.Request{
		Tokens: s.prompt + s.answer/2, Random: f.random.Float64, Exclude: func(id string) bool { return s.refusedBy[id] },
		Penalty: func(dc string) time.Duration { return s.penalty[dc] + d.delays.Estimate("m", dc, now) },
	}
	view := mangopipeline.View{Replicas: f.replicas, Engine: f.engine, Status: status{f, d}, LocalDataCentre: d.home, Now: now}
	f.rule(f, s.daemon, view, &request)
	chain, err := mangopipeline.Choose(view, request)
	if err != nil {
		f.refuse(s)
		return
	}
	s.tries++
	if s.counted {
		f.result.sends++
	}
	for _, p := range chain.Stages {
		if i := f.index[p.Replica.ID]; f.held[i]+s.prompt*p.Share() > f.capacity[i] {
			if s.counted {
				f.result.rejected++
			}
			s.refusedBy[p.Replica.ID] = true
			s.penalty[chain.DataCentre] += modelRetry
			if s.tries < 2 {
				f.send(s)
			} else {
				f.refuse(s)
			}
			return
		}
	}
	f.run(s, chain)
}

func (f *fleet) refuse(s *stream) {
	if s.counted {
		f.result.refused++
	}
}

// run lets the stream begin on its chain, or wait for a slot of the first replica.
func (f *fleet) run(s *stream, chain mangopipeline.Chain) {
	s.chain = chain
	if s.counted && chain.DataCentre != s.home {
		f.result.remote++
		f.result.remoteBySecond[int(f.now/time.Second)]++
		if f.use(s.home) < spillFrom {
			f.result.needless++
		}
	}
	s.wait = f.daemons[s.daemon].delays.Begin("m", chain.DataCentre, time.Unix(0, 0).Add(f.now))
	f.live[s] = true
	f.addLoad(s, 1)
	f.hold(s, s.prompt)
	first := f.index[chain.Stages[0].Replica.ID]
	if f.running[first] >= chain.Stages[0].Replica.Slots {
		f.waiting[first] = append(f.waiting[first], s)
		return
	}
	f.start(s, first)
}

// truth is a ReplicaStatus with the actual load of replicas.
type truth struct{ status }

// FleetLoad implements ReplicaStatus.
func (s truth) FleetLoad(id string, _ time.Time) mangoreplica.Load {
	i := s.fleet.index[id]
	return mangoreplica.Load{Requests: s.fleet.running[i] + len(s.fleet.waiting[i]), Tokens: s.fleet.held[i]}
}

// use returns the actual share in use of a data centre.
func (f *fleet) use(name string) float64 {
	for _, s := range Observe(mangopipeline.View{Replicas: f.replicas, Engine: f.engine, Status: truth{status{fleet: f}}}, nil) {
		if s.DataCentre == name {
			return s.Use()
		}
	}
	return 1
}

func (f *fleet) start(s *stream, first int) {
	f.running[first]++
	f.result.peak = max(f.result.peak, float64(f.running[first])/float64(s.chain.Stages[0].Replica.Slots))
	prefill, perToken := 0.0, 0.0
	for _, p := range s.chain.Stages {
		step := f.engine.Accelerators[p.Replica.Accelerator].StepFactor
		layers := float64(p.Layers.Len()) / float64(f.engine.Layers)
		prefill += s.prompt / 39 * step / f.engine.Accelerators["middle"].StepFactor * layers
		perToken += f.engine.StepMS*step*layers + 0.75
	}
	wait := f.now - s.arrived + time.Duration(prefill*float64(time.Millisecond))
	late := wait > modelTarget
	took := time.Duration((prefill + s.answer*perToken) * float64(time.Millisecond))
	if f.now-s.arrived > modelAbandons {
		took = 0
	}
	f.after(min(time.Duration(prefill*float64(time.Millisecond)), took), func() { s.wait.FirstEvent(time.Unix(0, 0).Add(f.now)) })
	f.after(took/2, func() {
		if !s.done {
			s.grown = true
			if !f.hold(s, s.answer) {
				f.count(s, &f.result.preempted)
				f.end(s)
			}
		}
	})
	f.after(took, func() {
		if s.done {
			return
		}
		switch {
		case late:
			f.count(s, &f.result.late)
		case s.counted:
			f.result.onTime[s.home]++
		}
		f.end(s)
	})
}

func (f *fleet) count(s *stream, n *int) {
	if s.counted {
		*n++
	}
}

// end frees what the stream has, and starts the next one at its first replica.
func (f *fleet) end(s *stream) {
	s.done = true
	delete(f.live, s)
	s.wait.End()
	f.addLoad(s, -1)
	f.release(s)
}

// release frees the memory and the slot of a stream on its replicas.
func (f *fleet) release(s *stream) {
	f.hold(s, -s.prompt)
	if s.grown {
		f.hold(s, -s.answer)
	}
	first := f.index[s.chain.Stages[0].Replica.ID]
	f.running[first]--
	if len(f.waiting[first]) > 0 {
		next := f.waiting[first][0]
		f.waiting[first] = f.waiting[first][1:]
		f.start(next, first)
	}
}

// hold changes the tokens on all stages, and returns whether each has memory for them.
func (f *fleet) hold(s *stream, tokens float64) bool {
	fits := true
	for _, p := range s.chain.Stages {
		i := f.index[p.Replica.ID]
		f.held[i] += tokens * p.Share()
		fits = fits && f.held[i] <= f.capacity[i]
	}
	return fits
}

// addLoad changes the load that the daemon of a stream knows, unless it has restarted since.
func (f *fleet) addLoad(s *stream, n int) {
	d := f.daemons[s.daemon]
	if d.epoch != s.epoch {
		return
	}
	for stage, p := range s.chain.Stages {
		i := f.index[p.Replica.ID]
		d.own[i].Requests += n
		if stage > 0 {
			d.own[i].Later += n
		}
		d.own[i].Tokens += float64(n) * (s.prompt + s.answer/2) * p.Share()
	}
}

// cancel ends a stream whose caller has left, whether it runs or waits.
func (f *fleet) cancel(s *stream) {
	if s.done {
		return
	}
	first := f.index[s.chain.Stages[0].Replica.ID]
	if i := slices.Index(f.waiting[first], s); i >= 0 {
		f.waiting[first] = slices.Delete(f.waiting[first], i, i+1)
		f.running[first]++
	}
	f.end(s)
}
