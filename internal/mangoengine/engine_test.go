package mangoengine

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"mangopath.org/mangopath/pkg/mangomessage"
)

const prompt = "two cats and a dog look for a home"

// Guards against a chain of stages that computes something other than the whole model.
func TestChainGivesAnswer(t *testing.T) {
	tests := []struct {
		name       string
		boundaries []uint32
		known      int
	}{
		{"one stage", []uint32{0, 6}, 0},
		{"three stages", []uint32{0, 1, 4, 6}, 0},
		{"prefill of known tokens", []uint32{0, 3, 6}, 5},
	}
	want := testModel(0.05).Complete(6, prompt, 40)
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			var streams []*testStream
			for i, to := range test.boundaries[1:] {
				_, server := start(t, test.boundaries[i], to, WithTotalLayers(6))
				streams = append(streams, openStream(t, server, openFor(test.boundaries[i], to, false)))
			}
			tokens := slices.Clone(want.Tokens[:test.known])
			position, text, input := uint32(0), prompt, tokens
			for len(tokens) < len(want.Tokens) {
				var result *mangomessage.StepResult
				var hidden []byte
				for _, s := range streams {
					result = s.step(position, text, input, hidden)
					hidden = result.Hidden
					is.Equal(result.Error, "")
				}
				tokens = append(tokens, result.Token)
				position, text, input = position+result.Count, "", []uint32{result.Token}
			}
			is.Equal(tokens, want.Tokens)
		})
	}
}

// Guards against a model in which a layer that is skipped, doubled or out of order goes unnoticed.
func TestLayerFaultsChangeTokens(t *testing.T) {
	tests := []struct {
		name   string
		ranges [][2]uint32
	}{
		{"skipped", [][2]uint32{{0, 2}, {3, 6}}},
		{"doubled", [][2]uint32{{0, 3}, {2, 6}}},
		{"reordered", [][2]uint32{{0, 2}, {4, 6}, {2, 4}}},
	}
	m := testModel(0)
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			right, faulty := newStage(m, 0, 6), []*stage{}
			for _, r := range test.ranges {
				faulty = append(faulty, newStage(m, r[0], r[1]))
			}
			for position := range 4 {
				a := embedTokens([]uint32{uint32(position)})
				b := a
				for _, s := range faulty {
					b = s.run(b)
				}
				is.True(right.run(a)[0] != b[0])
			}
		})
	}
}

// Guards against a model in which a position that is lost, doubled or out of order goes unnoticed.
func TestPositionFaultsChangeTokens(t *testing.T) {
	tests := []struct {
		name   string
		tokens []uint32
	}{{"lost", []uint32{1, 3}}, {"doubled", []uint32{1, 2, 2, 3}}, {"reordered", []uint32{2, 1, 3}}}
	last := func(tokens []uint32) uint64 {
		outputs := newStage(testModel(0), 0, 4).run(embedTokens(tokens))
		return outputs[len(outputs)-1]
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			is.True(last(test.tokens) != last([]uint32{1, 2, 3}))
		})
	}
}

// Guards against a layer that runs twice for a position when a stream breaks and resumes, and against lost positions.
func TestResume(t *testing.T) {
	is := is.New(t)
	e, server := start(t, 0, 4)
	s := openStream(t, server, openFor(0, 4, false))
	first := s.step(0, prompt, nil, nil)
	next := s.step(first.Count, "", []uint32{first.Token}, nil)
	s.close()
	s = openStream(t, server, openFor(0, 4, true))
	is.Equal(s.opened.NextPosition, first.Count+1)
	again := s.step(first.Count, "", []uint32{first.Token}, nil)
	is.Equal(again.Token, next.Token)
	is.Equal(s.step(first.Count+5, "", []uint32{1}, nil).Error, "Gap")
	e.mu.Lock()
	defer e.mu.Unlock()
	is.Equal(len(e.trace), 2)
}

// Guards against a step that runs or takes its time twice when a stream is replaced while the step runs.
func TestResentStepRunsOnce(t *testing.T) {
	is := is.New(t)
	e, server := start(t, 0, 4, WithStepTime(200*time.Millisecond))
	begun := time.Now()
	hung := openStream(t, server, openFor(0, 4, false))
	go hung.step(0, prompt, nil, nil)
	time.Sleep(50 * time.Millisecond)
	s := openStream(t, server, openFor(0, 4, true))
	is.Equal(s.step(0, prompt, nil, nil).Error, "")
	is.True(time.Since(begun) < 380*time.Millisecond)
	e.mu.Lock()
	defer e.mu.Unlock()
	is.Equal(len(e.trace), 1)
}

// Guards against an unknown or mismatched call that is accepted, and against new work on a leaving engine.
func TestOpenRefusals(t *testing.T) {
	other := openFor(0, 4, false)
	other.Version = "2"
	tests := []struct {
		name   string
		faults Faults
		open   *mangomessage.Open
		reason string
	}{
		{"no state", Faults{}, openFor(0, 4, true), "NoState"},
		{"other layers", Faults{}, openFor(0, 3, false), "Mismatch"},
		{"other version", Faults{}, other, "Mismatch"},
		{"leaving", Faults{Leaving: true}, openFor(0, 4, false), "Leaving"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			_, server := start(t, 0, 4)
			is.Equal(send(t, server, "POST", "/admin/faults", test.faults, nil), 200)
			is.Equal(openStream(t, server, test.open).opened.Reason, test.reason)
		})
	}
}

// Guards against a migrated call that loses its state or its last result, or goes on at its old engine.
func TestExportImport(t *testing.T) {
	is := is.New(t)
	want := testModel(0.05).Complete(4, prompt, 3)
	_, from := start(t, 0, 4)
	_, to := start(t, 0, 4)
	s := openStream(t, from, openFor(0, 4, false))
	first := s.step(0, prompt, nil, nil)
	var state mangomessage.Transfer
	is.Equal(send(t, from, "POST", "/v1/export", &mangomessage.Transfer{Call: "c", Attempt: 1}, &state), 200)
	is.Equal(s.step(first.Count, "", want.Tokens[:1], nil), nil)
	is.Equal(openStream(t, from, openFor(0, 4, true)).opened.Reason, "NoState")
	is.Equal(send(t, to, "POST", "/v1/import", &state, nil), 200)
	s = openStream(t, to, openFor(0, 4, true))
	is.Equal(s.step(0, prompt, nil, nil).Token, want.Tokens[0])
	is.Equal(s.step(first.Count, "", want.Tokens[:1], nil).Token, want.Tokens[1])
}

// Guards against a poison request that the engine survives.
func TestCrashOnPrompt(t *testing.T) {
	is := is.New(t)
	crashed := make(chan struct{})
	_, server := start(t, 0, 4, WithCrash(func() { close(crashed) }))
	is.Equal(send(t, server, "POST", "/admin/faults", Faults{CrashOnPrompt: "dog"}, nil), 200)
	is.Equal(openStream(t, server, openFor(0, 4, false)).step(0, prompt, nil, nil), nil)
	<-crashed
}

// Guards against a graceful stop that cuts off a running call or never ends.
func TestGracefulStop(t *testing.T) {
	is := is.New(t)
	e, server := start(t, 0, 4)
	s := openStream(t, server, openFor(0, 4, false))
	is.Equal(send(t, server, "POST", "/admin/stop", nil, nil), 200)
	time.Sleep(2 * drainTime)
	is.True(s.step(0, prompt, nil, nil).Leaving)
	s.close()
	select {
	case <-e.ended:
	case <-time.After(5 * time.Second):
		t.Fatal("engine did not stop")
	}
}

// Guards against orders of an old holder on engines that check, against double loads, and against a load that replaces
// the layers under a running call.
func TestOrders(t *testing.T) {
	load := func(id, version string, fence uint64) *mangomessage.Order {
		return &mangomessage.Order{Id: id, Action: "Load", Model: "m", Version: version, ToLayer: 8, FencingNumber: fence}
	}
	tests := []struct {
		name    string
		fenced  bool
		orders  []*mangomessage.Order
		reason  string
		version string
	}{
		{"fenced", true, []*mangomessage.Order{load("1", "2", 5), load("2", "3", 4)}, "Fenced", "2"},
		{"not fenced", false, []*mangomessage.Order{load("1", "2", 5), load("2", "2", 4)}, "", "2"},
		{"busy", true, []*mangomessage.Order{load("1", "2", 5), load("2", "3", 5)}, "Busy", "2"},
		{"repeated", true, []*mangomessage.Order{load("1", "2", 5), load("1", "2", 5)}, "", "2"},
		{"invalid", true, []*mangomessage.Order{{Action: "Burn"}}, "Invalid", "1"},
		{"unload", true, []*mangomessage.Order{{Action: "Unload"}}, "", ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			_, server := start(t, 0, 4, WithFencing(test.fenced), WithLoadTime(30*time.Millisecond))
			s := openStream(t, server, openFor(0, 4, false))
			var answer mangomessage.OrderReply
			for _, o := range test.orders {
				answer = mangomessage.OrderReply{}
				is.Equal(send(t, server, "POST", "/v1/orders", o, &answer), 200)
			}
			is.Equal(answer.Reason, test.reason)
			time.Sleep(50 * time.Millisecond)
			is.Equal(s.step(0, prompt, nil, nil).Error, "")
			s.close()
			time.Sleep(150 * time.Millisecond)
			var state mangomessage.EngineState
			is.Equal(send(t, server, "GET", "/v1/state", nil, &state), 200)
			is.Equal(state.Version, test.version)
		})
	}
}

// Guards against batches above the bound and against steps of low priority that overtake others.
func TestBatchByPriority(t *testing.T) {
	is := is.New(t)
	e := New("h", LayerRange{Model: testModel(0), To: 4}, WithMaxBatch(2))
	for i, priority := range []uint32{0, 1, 0, 1} {
		c := &call{open: &mangomessage.Open{Priority: priority}}
		e.queue = append(e.queue, &task{call: c, step: &mangomessage.Step{Position: uint32(i)}, inputs: []uint64{0}})
	}
	var got []string
	for range 2 {
		batch, _ := e.take()
		got = append(got, fmt.Sprint(batch[0].step.Position, batch[1].step.Position))
	}
	is.Equal(got, []string{"1 3", "0 2"})
}

// Guards against a prefix cache without bound, one that saves time for positions that differ, and a result that
// depends on it.
func TestPrefixCache(t *testing.T) {
	is := is.New(t)
	c := newCache(1)
	tests := []struct {
		digest  string
		inputs  []uint64
		hit     int
		evicted string
	}{
		{"a", []uint64{1, 2, 3}, 0, ""},
		{"a", []uint64{1, 2, 4, 5}, 2, ""},
		{"a", []uint64{1, 2, 4, 5}, 3, ""},
		{"b", []uint64{1}, 0, "a"},
		{"a", []uint64{1, 2}, 0, "b"},
	}
	for _, test := range tests {
		hit, evicted, _ := c.use(test.digest, test.inputs)
		is.Equal(hit, test.hit)
		is.Equal(evicted, test.evicted)
	}
}

// Guards against load reports and cache events that are fresher than the lag, and against events that are never lost.
func TestLagAndLoss(t *testing.T) {
	is := is.New(t)
	_, server := start(t, 0, 4, WithReportLag(200*time.Millisecond), WithCacheEntries(2))
	s := openStream(t, server, openFor(0, 4, false))
	s.step(0, prompt, nil, nil)
	var state mangomessage.EngineState
	var events mangomessage.CacheEvents
	is.Equal(send(t, server, "GET", "/v1/state", nil, &state), 200)
	is.Equal(send(t, server, "GET", "/v1/events?After=0", nil, &events), 200)
	is.Equal(state.Running, uint32(0))
	is.Equal(len(events.Events), 0)
	time.Sleep(250 * time.Millisecond)
	is.Equal(send(t, server, "GET", "/v1/state", nil, &state), 200)
	is.Equal(send(t, server, "GET", "/v1/events?After=0", nil, &events), 200)
	is.Equal(state.Running, uint32(1))
	is.True(state.LagMs >= 200)
	is.Equal(events.Next, uint64(1))
	is.Equal(send(t, server, "POST", "/admin/faults", Faults{DropEvents: 100}, nil), 200)
	lost := openFor(0, 4, false)
	lost.PrefixDigest = "q"
	openStream(t, server, lost).step(0, prompt, nil, nil)
	time.Sleep(250 * time.Millisecond)
	is.Equal(send(t, server, "GET", "/v1/events?After=1", nil, &events), 200)
	is.Equal(events.Next, uint64(1))
}
