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

// eventually waits until a condition holds.
func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for until := time.Now().Add(20 * time.Second); !holds(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(until) {
			t.Fatalf("not within 20 s: %s", what)
		}
	}
}

// Guards against a chain of stages whose tokens differ from those of the whole model.
func TestChainMatchesWholeModel(t *testing.T) {
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
			var streams []*callerStream
			for i, to := range test.boundaries[1:] {
				_, server := startEngine(t, test.boundaries[i], to, WithTotalLayers(6))
				streams = append(streams, openStream(t, server, newOpen(test.boundaries[i], to, false)))
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

// Guards against a model whose output does not change if a layer is skipped, repeated or out of order.
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
			right, faulty := newKVCache(m, 0, 6), []*kvCache{}
			for _, r := range test.ranges {
				faulty = append(faulty, newKVCache(m, r[0], r[1]))
			}
			for position := range 4 {
				a := embedTokens([]uint32{uint32(position)})
				b := a
				for _, s := range faulty {
					b = s.runLayers(b)
				}
				is.True(right.runLayers(a)[0] != b[0])
			}
		})
	}
}

// Guards against a model whose output does not change if a position is lost, repeated or out of order.
func TestPositionFaultsChangeTokens(t *testing.T) {
	tests := []struct {
		name   string
		tokens []uint32
	}{{"lost", []uint32{1, 3}}, {"doubled", []uint32{1, 2, 2, 3}}, {"reordered", []uint32{2, 1, 3}}}
	last := func(tokens []uint32) uint64 {
		outputs := newKVCache(testModel(0), 0, 4).runLayers(embedTokens(tokens))
		return outputs[len(outputs)-1]
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			is.True(last(test.tokens) != last([]uint32{1, 2, 3}))
		})
	}
}

// Guards against running a position twice when a step is sent again after its stream broke and was resumed, and against
// accepting a step that leaves out positions.
func TestResumedStreamRepeatsNoStep(t *testing.T) {
	is := is.New(t)
	e, server := startEngine(t, 0, 4)
	s := openStream(t, server, newOpen(0, 4, false))
	first := s.step(0, prompt, nil, nil)
	next := s.step(first.Count, "", []uint32{first.Token}, nil)
	s.close()
	s = openStream(t, server, newOpen(0, 4, true))
	is.Equal(s.opened.NextPosition, first.Count+1)
	again := s.step(first.Count, "", []uint32{first.Token}, nil)
	is.Equal(again.Token, next.Token)
	is.Equal(s.step(first.Count+5, "", []uint32{1}, nil).Error, "Gap")
	e.mu.Lock()
	defer e.mu.Unlock()
	is.Equal(len(e.trace), 2)
}

// Guards against executing a step twice, or waiting twice for its duration, when another stream replaces the first one
// and sends the step again while it runs.
func TestResentStepRunsOnce(t *testing.T) {
	is := is.New(t)
	const stepTime = 2 * time.Second
	e, server := startEngine(t, 0, 4, WithStepTime(stepTime))
	replaced := openStream(t, server, newOpen(0, 4, false))
	start := time.Now()
	go replaced.step(0, prompt, nil, nil)
	eventually(t, "the step is pending", func() bool {
		e.mu.Lock()
		defer e.mu.Unlock()
		return e.calls[callKey{"c", 1}].pendingStep != nil
	})
	s := openStream(t, server, newOpen(0, 4, true))
	is.Equal(s.step(0, prompt, nil, nil).Error, "")
	is.True(time.Since(start) < 2*stepTime)
	e.mu.Lock()
	defer e.mu.Unlock()
	is.Equal(len(e.trace), 1)
}

// Guards against accepting an unknown or mismatched call, and against accepting new calls on a leaving engine.
func TestOpenIsRefused(t *testing.T) {
	other := newOpen(0, 4, false)
	other.Version = "2"
	tests := []struct {
		name   string
		faults Faults
		open   *mangomessage.Open
		reason string
	}{
		{"no state", Faults{}, newOpen(0, 4, true), "NoState"},
		{"other layers", Faults{}, newOpen(0, 3, false), "Mismatch"},
		{"other version", Faults{}, other, "Mismatch"},
		{"leaving", Faults{Leaving: true}, newOpen(0, 4, false), "Leaving"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			_, server := startEngine(t, 0, 4)
			is.Equal(sendJSON(t, server, "POST", "/admin/faults", test.faults, nil), 200)
			is.Equal(openStream(t, server, test.open).opened.Reason, test.reason)
		})
	}
}

// Guards against an exported call that loses its state or its last result, or continues on the engine it left.
func TestExportedCallContinuesElsewhere(t *testing.T) {
	is := is.New(t)
	want := testModel(0.05).Complete(4, prompt, 3)
	_, source := startEngine(t, 0, 4)
	_, target := startEngine(t, 0, 4)
	s := openStream(t, source, newOpen(0, 4, false))
	first := s.step(0, prompt, nil, nil)
	var state mangomessage.Transfer
	is.Equal(sendJSON(t, source, "POST", "/v1/export", &mangomessage.Transfer{Call: "c", Attempt: 1}, &state), 200)
	// The engine ends the stream of an exported call, and refuses a step that comes before that.
	if left := s.step(first.Count, "", want.Tokens[:1], nil); left != nil {
		is.Equal(left.Error, "NoState")
	}
	is.Equal(openStream(t, source, newOpen(0, 4, true)).opened.Reason, "NoState")
	is.Equal(sendJSON(t, target, "POST", "/v1/import", &state, nil), 200)
	s = openStream(t, target, newOpen(0, 4, true))
	is.Equal(s.step(0, prompt, nil, nil).Token, want.Tokens[0])
	is.Equal(s.step(first.Count, "", want.Tokens[:1], nil).Token, want.Tokens[1])
}

// Guards against an engine that survives a prompt with the text of Faults.CrashOnPrompt.
func TestPromptCrashesEngine(t *testing.T) {
	is := is.New(t)
	crashed := make(chan struct{})
	_, server := startEngine(t, 0, 4, WithCrash(func() { close(crashed) }))
	is.Equal(sendJSON(t, server, "POST", "/admin/faults", Faults{CrashOnPrompt: "dog"}, nil), 200)
	is.Equal(openStream(t, server, newOpen(0, 4, false)).step(0, prompt, nil, nil), nil)
	<-crashed
}

// Guards against a graceful stop that cuts off a running call or never completes.
func TestGracefulStopAwaitsCalls(t *testing.T) {
	is := is.New(t)
	e, server := startEngine(t, 0, 4)
	s := openStream(t, server, newOpen(0, 4, false))
	is.Equal(sendJSON(t, server, "POST", "/admin/stop", nil, nil), 200)
	time.Sleep(2 * drainIdleTime)
	is.True(s.step(0, prompt, nil, nil).Leaving)
	s.close()
	select {
	case <-e.runEnded:
	case <-time.After(5 * time.Second):
		t.Fatal("engine did not stop")
	}
}

// Guards against accepting orders with an old fencing number on an engine that checks it, against accepting a second load
// while one is pending, and against replacing the layers during a running call.
func TestOrdersReplaceLayers(t *testing.T) {
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
			_, server := startEngine(t, 0, 4, WithFencing(test.fenced), WithLoadTime(30*time.Millisecond))
			s := openStream(t, server, newOpen(0, 4, false))
			var answer mangomessage.OrderReply
			for _, o := range test.orders {
				answer = mangomessage.OrderReply{}
				is.Equal(sendJSON(t, server, "POST", "/v1/orders", o, &answer), 200)
			}
			is.Equal(answer.Reason, test.reason)
			time.Sleep(50 * time.Millisecond)
			is.Equal(s.step(0, prompt, nil, nil).Error, "")
			s.close()
			// Time for an order that should not be carried out.
			time.Sleep(150 * time.Millisecond)
			eventually(t, "the engine has version "+test.version, func() bool {
				var state mangomessage.EngineState
				is.Equal(sendJSON(t, server, "GET", "/v1/state", nil, &state), 200)
				return state.Loading == "" && state.Version == test.version
			})
		})
	}
}

// Guards against batches of more than the maximum of steps, and against steps that overtake others of higher priority.
func TestBatchFollowsPriority(t *testing.T) {
	is := is.New(t)
	e := New("h", LayerRange{Model: testModel(0), To: 4}, WithMaxBatch(2))
	for i, priority := range []uint32{0, 1, 0, 1} {
		c := &callState{openRequest: &mangomessage.Open{Priority: priority}}
		e.queue = append(e.queue, &queuedStep{call: c, step: &mangomessage.Step{Position: uint32(i)}, inputs: []uint64{0}})
	}
	var got []string
	for range 2 {
		batch, _ := e.takeBatch()
		got = append(got, fmt.Sprint(batch[0].step.Position, batch[1].step.Position))
	}
	is.Equal(got, []string{"1 3", "0 2"})
}

// Guards against a prefix cache that grows without bound, or that counts positions as cached whose inputs differ or that
// must run in any case.
func TestPrefixCacheIsBounded(t *testing.T) {
	is := is.New(t)
	c := newPrefixCache(1)
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
		hit, evicted, _ := c.lookUpAndAdd(test.digest, test.inputs)
		is.Equal(hit, test.hit)
		is.Equal(evicted, test.evicted)
	}
}

// Guards against load reports and cache events that are newer than the configured lag, and against a DropEvents fault
// without effect.
func TestLaggingReportsAndLostEvents(t *testing.T) {
	is := is.New(t)
	const lag = time.Second
	_, server := startEngine(t, 0, 4, WithReportLag(lag), WithCacheEntries(2))
	s := openStream(t, server, newOpen(0, 4, false))
	s.step(0, prompt, nil, nil)
	var state mangomessage.EngineState
	var events mangomessage.CacheEvents
	is.Equal(sendJSON(t, server, "GET", "/v1/state", nil, &state), 200)
	is.Equal(sendJSON(t, server, "GET", "/v1/events?After=0", nil, &events), 200)
	is.Equal(state.Running, uint32(0))
	is.Equal(len(events.Events), 0)
	eventually(t, "the report shows the stream, and the event is visible", func() bool {
		is.Equal(sendJSON(t, server, "GET", "/v1/state", nil, &state), 200)
		is.Equal(sendJSON(t, server, "GET", "/v1/events?After=0", nil, &events), 200)
		return state.Running == 1 && events.Next == 1
	})
	is.True(state.LagMs >= uint32(lag.Milliseconds()))
	is.Equal(sendJSON(t, server, "POST", "/admin/faults", Faults{DropEvents: 100, StateLagMs: 200}, nil), 200)
	lost := newOpen(0, 4, false)
	lost.PrefixDigest = "q"
	openStream(t, server, lost).step(0, prompt, nil, nil)
	time.Sleep(250 * time.Millisecond)
	is.Equal(sendJSON(t, server, "GET", "/v1/events?After=1", nil, &events), 200)
	is.Equal(events.Next, uint64(1))
}
