package mangorecovery_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"mangopath.org/mangopath/internal/mangopipeline"
	"mangopath.org/mangopath/internal/mangorecovery"
	"mangopath.org/mangopath/internal/mangoreplica"
	"mangopath.org/mangopath/internal/mangoroute"
)

const (
	modelLayers = 80
	// readPerMS is the number of tokens that a medium replica with all layers reads in a millisecond.
	readPerMS = 39.0
	// knownAfter is the time from a loss until all daemons know of it, and orderTakes that from an order to its answer.
	knownAfter = 50 * time.Millisecond
	orderTakes = 2 * time.Millisecond
	// orderTimeout is the time after which an order counts as unanswered.
	orderTimeout = 150 * time.Millisecond
	// capacity is the number of tokens that fit on a replica.
	capacity = 150_000
)

// modelStream is a running stream of one daemon.
type modelStream struct {
	daemon  int
	tokens  float64
	done    float64
	stages  []mangopipeline.Stage
	release func()
	repairs int
	// pause is the longest one; kept says that no repair was replaced by a restart.
	pause time.Duration
	kept  bool
	// replaceable says that each lost stage had another holder.
	replaceable bool
}

// recoveryModel is two data centres with streams of many daemons, all of which run in the first one. A replica reads one prompt
// at a time.
type recoveryModel struct {
	engine   *mangoroute.Engine
	replicas []*mangoreplica.Replica
	health   *mangoreplica.HealthTracker
	recent   []*mangorecovery.Recent
	streams  []*modelStream
	random   *rand.Rand
	origin   time.Time
	// freeAt is when a replica has read all prompts that it was given.
	freeAt map[string]time.Duration
	// read and readBefore are the tokens that were read again, in units of all layers: with repairs, and if all streams
	// restarted.
	read, readBefore float64
	// unanswered is the share of orders without an answer.
	unanswered float64
}

// newRecoveryModel returns a model with a number of stages; copies is the share of them that have a second holder, and some of
// these a third one.
func newRecoveryModel(seed uint64, stages int, copies float64, daemons, streams int) *recoveryModel {
	m := &recoveryModel{
		engine: &mangoroute.Engine{
			Layers: modelLayers, LayerMB: 1750, TokenBytes: 590000, StepMS: 1.02, MeanAnswerTokens: 174,
			Accelerators: map[string]mangoroute.Accelerator{"medium": {MemoryMB: (1750 + 590000*capacity/modelLayers/1e6) * modelLayers / float64(stages), StepFactor: 5.6}},
		},
		health: mangoreplica.NewHealthTracker(), random: rand.New(rand.NewPCG(seed, 1)), origin: time.Unix(1000, 0), freeAt: map[string]time.Duration{},
	}
	for _, dataCentre := range []string{"a", "b"} {
		for i := range stages {
			layers := mangoreplica.LayerRange{From: modelLayers * i / stages, To: modelLayers * (i + 1) / stages}
			m.addReplica(dataCentre, layers)
			if i == 0 || m.random.Float64() < copies {
				m.addReplica(dataCentre, layers)
			}
			if m.random.Float64() < copies/2 {
				// A range that overlaps two stages.
				half := layers.Len() / 2
				m.addReplica(dataCentre, mangoreplica.LayerRange{From: layers.From + half, To: min(layers.To+half, modelLayers)})
			}
		}
	}
	for range daemons {
		m.recent = append(m.recent, mangorecovery.NewRecent())
	}
	m.health.SetFleetLoad(nil, nil, 1, m.origin)
	for i := range streams {
		s := &modelStream{daemon: i % daemons, tokens: 500 + 600*m.random.Float64(), done: m.random.Float64(), kept: true, replaceable: true}
		chain, err := mangopipeline.Choose(m.view(0), mangopipeline.Request{Tokens: s.tokens, Random: m.random.Float64})
		if err != nil {
			panic(err)
		}
		m.enter(s, chain.Stages)
		m.streams = append(m.streams, s)
	}
	return m
}

func (m *recoveryModel) addReplica(dataCentre string, layers mangoreplica.LayerRange) {
	id := fmt.Sprintf("%s-%d", dataCentre, len(m.replicas))
	m.replicas = append(m.replicas, &mangoreplica.Replica{ID: id, Address: id, DataCentre: dataCentre, Accelerator: "medium", Layers: layers})
}

func (m *recoveryModel) view(now time.Duration) mangopipeline.View {
	return mangopipeline.View{Replicas: m.replicas, Engine: m.engine, Status: m.health, LocalDataCentre: "a", Now: m.origin.Add(now)}
}

// enter puts a stream on replicas.
func (m *recoveryModel) enter(s *modelStream, stages []mangopipeline.Stage) {
	if s.release != nil {
		s.release()
	}
	shares := map[string]float64{}
	for _, p := range stages {
		shares[p.Replica.ID] = p.Share()
	}
	s.stages, s.release = stages, m.health.BeginShares(s.tokens, stages[0].Replica.ID, shares)
}

// readAt makes the parts of a chain that have not read a prompt read it, and returns when the last one has.
func (m *recoveryModel) readAt(at time.Duration, s *modelStream, before []mangopipeline.Stage) time.Duration {
	end := at
	for _, p := range s.stages {
		if slices.Contains(before, p) {
			continue
		}
		took := time.Duration(s.tokens / readPerMS * float64(p.Layers.Len()) / modelLayers * float64(time.Millisecond))
		end = max(end, m.freeAt[p.Replica.ID]) + took
		m.freeAt[p.Replica.ID] = end
		m.read += s.tokens * float64(p.Layers.Len()) / modelLayers
	}
	return end
}

// lose ends replicas at a time, and lets all streams that pass through them recover.
func (m *recoveryModel) lose(t *testing.T, at time.Duration, lost ...*mangoreplica.Replica) {
	t.Helper()
	for _, r := range lost {
		m.health.Avoid(r.Incarnation(), mangoreplica.CauseEnded, time.Hour, m.origin.Add(at))
	}
	var restarts []*modelStream
	known := map[*modelStream]time.Duration{}
	m.random.Shuffle(len(m.streams), func(i, j int) { m.streams[i], m.streams[j] = m.streams[j], m.streams[i] })
	for _, s := range m.streams {
		if !slices.ContainsFunc(s.stages, func(p mangopipeline.Stage) bool { return m.isLost(p.Replica.Incarnation(), at) }) {
			continue
		}
		m.readBefore += s.tokens
		now := at + knownAfter
		step, took := m.repair(t, s, now)
		if step == mangorecovery.StepWait {
			s.pause = max(s.pause, took-at)
			continue
		}
		s.kept = false
		restarts, known[s] = append(restarts, s), took
	}
	slices.SortFunc(restarts, func(a, b *modelStream) int { return m.recoveryOf(a).Compare(m.recoveryOf(b)) })
	for _, s := range restarts {
		m.restart(t, s, at, known[s])
	}
}

func (m *recoveryModel) recoveryOf(s *modelStream) mangorecovery.Stream {
	return mangorecovery.Stream{Service: "model", Started: true, Remaining: 1 - s.done}
}

func (m *recoveryModel) isLost(r mangoreplica.Incarnation, at time.Duration) bool {
	return m.health.CertainToFail(r, m.origin.Add(at))
}

// repair repairs the chain of a stream as the relay does. It returns the step that ends the repair and the time at which the
// stream goes on, or at which it is closed to restart.
func (m *recoveryModel) repair(t *testing.T, s *modelStream, now time.Duration) (mangorecovery.Step, time.Duration) {
	t.Helper()
	situation := mangorecovery.Situation{Lost: true, Repairs: s.repairs, CanRestart: true}
	recent := m.recent[s.daemon]
	chain, err := mangopipeline.Repair(m.view(now), mangopipeline.Request{
		Tokens: s.tokens, Random: m.random.Float64, Repairs: func(id string) float64 { return recent.Count(id, m.origin.Add(now)) },
	}, s.stages, func(r mangoreplica.Incarnation) bool { return m.isLost(r, now) })
	situation.Replaceable = err == nil
	s.replaceable = s.replaceable && err == nil
	if step := mangorecovery.Decide(situation); step != mangorecovery.StepOrder {
		return step, now
	}
	situation.Orders, situation.Answer = 1, mangorecovery.AnswerBegun
	if m.random.Float64() < m.unanswered {
		situation.Answer, now = mangorecovery.AnswerUnknown, now+orderTimeout
	}
	step := mangorecovery.Decide(situation)
	if step != mangorecovery.StepWait {
		return step, now
	}
	m.checkChain(t, s.stages, chain.Stages, now)
	before := s.stages
	m.enter(s, chain.Stages)
	s.repairs++
	for _, p := range s.stages {
		if !slices.Contains(before, p) {
			recent.Add(p.Replica.ID, m.origin.Add(now))
		}
	}
	return step, m.readAt(now+orderTakes, s, before)
}

// restart lets a stream begin again at another chain, where all parts read all of its tokens.
func (m *recoveryModel) restart(t *testing.T, s *modelStream, lostAt, now time.Duration) {
	t.Helper()
	chain, err := mangopipeline.Choose(m.view(now), mangopipeline.Request{Tokens: s.tokens, Random: m.random.Float64, Spread: true})
	if err != nil {
		t.Fatal(err)
	}
	m.enter(s, chain.Stages)
	s.pause = max(s.pause, m.readAt(now+orderTakes, s, nil)-lostAt)
}

// checkChain checks that a repaired path covers each layer once and in order, keeps the first stage, and has no lost replica.
func (m *recoveryModel) checkChain(t *testing.T, before, after []mangopipeline.Stage, now time.Duration) {
	t.Helper()
	next := 0
	for _, p := range after {
		if p.Layers.From != next || !p.Replica.Layers.Contains(p.Layers) || m.isLost(p.Replica.Incarnation(), now) {
			t.Fatalf("a part holds %v and is used for %v after layer %d", p.Replica.Layers, p.Layers, next)
		}
		next = p.Layers.To
	}
	if next != modelLayers || before[0] != after[0] {
		t.Fatalf("the path ends with layer %d and begins at %s", next, after[0].Replica.ID)
	}
}

// pauses returns the pauses of the streams that a function accepts, the shortest first.
func (m *recoveryModel) pauses(accept func(s *modelStream) bool) []time.Duration {
	var list []time.Duration
	for _, s := range m.streams {
		if s.pause > 0 && accept(s) {
			list = append(list, s.pause)
		}
	}
	slices.Sort(list)
	return list
}

// replaceable returns replicas that streams pass through behind the first stage, and whose layers another one holds as well.
func (m *recoveryModel) replaceable(n int) []*mangoreplica.Replica {
	var list []*mangoreplica.Replica
	for _, r := range m.replicas {
		twice := slices.ContainsFunc(m.replicas, func(o *mangoreplica.Replica) bool {
			return o != r && o.DataCentre == r.DataCentre && o.Layers == r.Layers
		})
		used := slices.ContainsFunc(m.streams, func(s *modelStream) bool {
			return slices.ContainsFunc(s.stages[1:], func(p mangopipeline.Stage) bool { return p.Replica == r })
		})
		sameLayers := func(o *mangoreplica.Replica) bool { return o.Layers == r.Layers }
		if twice && used && r.Layers.From > 0 && !slices.ContainsFunc(list, sameLayers) {
			list = append(list, r)
		}
	}
	m.random.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(n, len(list))]
}

// Guards against repairs that take as long as restarts, because all streams of a lost replica go to the same replacement or
// read all of their tokens again, and against paths that leave out a layer.
func TestRecoveryModel(t *testing.T) {
	tests := []struct {
		name       string
		losses     int
		atOnce     bool
		unanswered float64
	}{
		{"one loss", 1, true, 0},
		{"losses one after the other", 3, false, 0},
		{"losses at once", 2, true, 0},
		{"a tenth of the orders lost or late", 1, true, 0.1},
	}
	for _, tt := range tests {
		for _, stages := range []int{7, 11, 18} {
			t.Run(fmt.Sprint(tt.name, " in ", stages, " stages"), func(t *testing.T) {
				var pauses, restarted []time.Duration
				read, before, kept, hit := 0.0, 0.0, 0, 0
				for seed := range uint64(10) {
					m := newRecoveryModel(seed, stages, 0.7, 20, 50)
					m.unanswered = tt.unanswered
					lost := m.replaceable(tt.losses)
					if tt.atOnce {
						m.lose(t, 0, lost...)
					}
					for i := 0; i < len(lost) && !tt.atOnce; i++ {
						m.lose(t, time.Duration(i)*time.Second, lost[i])
					}
					pauses = append(pauses, m.pauses(func(s *modelStream) bool { return s.kept && s.replaceable })...)
					restarted = append(restarted, m.pauses(func(s *modelStream) bool { return !s.kept })...)
					read, before = read+m.read, before+m.readBefore
					kept += len(m.pauses(func(s *modelStream) bool { return s.kept }))
					hit += len(m.pauses(func(*modelStream) bool { return true }))
				}
				slices.Sort(pauses)
				slices.Sort(restarted)
				t.Logf("%d of %d streams kept, pauses %v %v %v, restarted %v, tokens read again %.2f of those before", kept, hit,
					quantile(pauses, 0.5), quantile(pauses, 0.9), quantile(pauses, 1), quantile(restarted, 0.5), read/before)
				if p := quantile(pauses, 1); p >= 250*time.Millisecond {
					t.Errorf("a pause of %v", p)
				}
				if read > before/3 {
					t.Errorf("%.2f of the tokens were read again", read/before)
				}
				if tt.unanswered == 0 && kept < hit*9/10 {
					t.Errorf("%d of %d streams kept", kept, hit)
				}
			})
		}
	}
}

// Guards against the loss of a first stage, which stops all streams through it, sending all of them to one data centre, or
// letting those wait that are nearly complete.
func TestFirstStageLoss(t *testing.T) {
	m := newRecoveryModel(1, 11, 0.7, 20, 130)
	through := map[*mangoreplica.Replica]int{}
	lost := m.streams[0].stages[0].Replica
	for _, s := range m.streams {
		r := s.stages[0].Replica
		if through[r]++; through[r] > through[lost] {
			lost = r
		}
	}
	m.lose(t, 0, lost)
	var restarted []*modelStream
	byDataCentre := map[string]int{}
	for _, s := range m.streams {
		if !s.kept {
			restarted = append(restarted, s)
			byDataCentre[s.stages[0].Replica.DataCentre]++
		}
	}
	t.Logf("%d restarts, %v", len(restarted), byDataCentre)
	if len(restarted) < 50 || min(byDataCentre["a"], byDataCentre["b"]) < len(restarted)/5 {
		t.Errorf("restarts by data centre: %v", byDataCentre)
	}
	slices.SortFunc(restarted, func(a, b *modelStream) int { return cmp.Compare(b.done, a.done) })
	half := len(restarted) / 2
	mean := func(list []*modelStream) (sum time.Duration) {
		for _, s := range list {
			sum += s.pause / time.Duration(len(list))
		}
		return sum
	}
	if near, far := mean(restarted[:half]), mean(restarted[half:]); near > far*3/4 {
		t.Errorf("streams nearer to completion paused for %v, the others for %v", near, far)
	}
}

func quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)].Round(time.Millisecond)
}
