package mangocall

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"mangopath.org/mangopath/internal/mangochain"
	"mangopath.org/mangopath/internal/mangoupstream"
	"mangopath.org/mangopath/pkg/mangomessage"
)

// faultFunc returns the fault to inject into an operation ("Open", "Step", "Export" or "Import") on a host; "" means none.
type faultFunc func(op, host string, step *mangomessage.Step) string

// fakeFleet simulates the engines of all hosts and is also the Chooser and the Observer. The address of a replica is the
// name of its host.
type fakeFleet struct {
	mangoupstream.Engine
	fault faultFunc

	mu           sync.Mutex
	caches       map[string]*fakeCache // by cacheKey
	crashedHosts map[string]bool
	leaving      map[string]bool
	inFlight     map[string]int
	crashReports []string
	// isolationsEnded counts the calls of Assignment.EndIsolation.
	isolationsEnded int
	view            mangochain.View
}

// fakeCache is the KV cache of an attempt on a host. It has a state for each layer, so that a layer that is skipped,
// repeated or run out of order changes all later output.
type fakeCache struct {
	layers       map[uint32]uint64
	nextPosition uint32
	lastResult   *mangomessage.StepResult
	// lateStep is a step that runs only after it has timed out, when the next stream is opened on any host.
	lateStep *mangomessage.Step
}

func newFakeFleet(replicasPerRange int, fault faultFunc) *fakeFleet {
	fl := &fakeFleet{
		fault: fault, caches: map[string]*fakeCache{}, crashedHosts: map[string]bool{}, leaving: map[string]bool{}, inFlight: map[string]int{},
		view: mangochain.View{DaemonCount: 1},
	}
	for from := uint32(0); from < 6; from += 2 {
		for n := range replicasPerRange {
			host := fmt.Sprintf("h%d-%d", from, n)
			fl.view.Replicas = append(fl.view.Replicas, mangochain.Replica{
				Host: host, Address: host, Model: "m", Version: "v", FromLayer: from, ToLayer: from + 2, MaxBatch: 4, SlowStartFactor: 1,
			})
		}
	}
	return fl
}

// cacheKey identifies the KV cache of an attempt on a host.
func cacheKey(host, call string, attempt uint32) string {
	return fmt.Sprint(host, "/", call, "/", attempt)
}

func upstreamError(kind mangoupstream.Kind) error {
	return &mangoupstream.Error{Op: "fake", Kind: kind, Err: errors.New("injected")}
}

// crash marks a host as crashed, drops its KV caches and returns the error of the step that crashed it.
func (fl *fakeFleet) crash(host string) error {
	fl.crashedHosts[host] = true
	maps.DeleteFunc(fl.caches, func(k string, _ *fakeCache) bool { return len(k) > len(host) && k[:len(host)+1] == host+"/" })
	return upstreamError(mangoupstream.KindLost)
}

func (fl *fakeFleet) Open(ctx context.Context, host string, o *mangomessage.Open) (mangoupstream.Stream, *mangomessage.Opened, error) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	key, injected := cacheKey(host, o.GetCall(), o.GetAttempt()), fl.fault("Open", host, nil)
	for _, c := range fl.caches {
		if c != nil && c.lateStep != nil {
			c.runStep(c.lateStep)
			c.lateStep = nil
		}
	}
	switch {
	case fl.crashedHosts[host]:
		return nil, nil, upstreamError(mangoupstream.KindNotSent)
	case injected == "Hang":
		fl.hang(ctx)
		return nil, nil, upstreamError(mangoupstream.KindTimeout)
	case injected == "Refuse" && !o.GetResume():
		return nil, &mangomessage.Opened{Reason: "Busy"}, upstreamError(mangoupstream.KindRefused)
	case o.GetResume() && fl.caches[key] == nil:
		return nil, nil, upstreamError(mangoupstream.KindNoState)
	case !o.GetResume():
		fl.caches[key] = &fakeCache{layers: map[uint32]uint64{}}
	}
	return &fakeStream{fleet: fl, host: host, key: key}, &mangomessage.Opened{Accepted: true}, nil
}

type fakeStream struct {
	fleet  *fakeFleet
	host   string
	key    string
	closed bool
}

func (s *fakeStream) Close() error {
	s.closed = true
	return nil
}

func (s *fakeStream) Step(ctx context.Context, step *mangomessage.Step) (*mangomessage.StepResult, error) {
	if s.closed {
		return nil, upstreamError(mangoupstream.KindNotSent)
	}
	fl := s.fleet
	fl.mu.Lock()
	defer fl.mu.Unlock()
	injected, c := fl.fault("Step", s.host, step), fl.caches[s.key]
	if fl.crashedHosts[s.host] || c == nil {
		return nil, upstreamError(mangoupstream.KindNotSent) // the stream broke between two steps
	}
	if injected == "Crash" {
		return nil, fl.crash(s.host)
	}
	var result *mangomessage.StepResult
	if injected == "HangLate" {
		c.lateStep = step
	} else if injected != "LostBefore" && injected != "HangBefore" {
		result = c.runStep(step)
		result.Leaving = injected == "Leaving"
	}
	switch injected {
	case "LostBefore", "LostAfter":
		return nil, upstreamError(mangoupstream.KindLost)
	case "HangBefore", "HangAfter", "HangLate":
		fl.hang(ctx)
		return nil, upstreamError(mangoupstream.KindTimeout)
	}
	return result, nil
}

// hang waits for the end of the context. It releases the lock meanwhile.
func (fl *fakeFleet) hang(ctx context.Context) {
	fl.mu.Unlock()
	<-ctx.Done()
	fl.mu.Lock()
}

// runStep runs a step. It returns the stored result of a step that is sent again, and an error for a gap in the positions.
func (c *fakeCache) runStep(s *mangomessage.Step) *mangomessage.StepResult {
	if c.lastResult != nil && c.lastResult.GetPosition() == s.GetPosition() {
		return &mangomessage.StepResult{Count: c.lastResult.GetCount(), Hidden: c.lastResult.Hidden, Token: c.lastResult.Token, Text: c.lastResult.Text}
	}
	if s.GetPosition() != c.nextPosition {
		return &mangomessage.StepResult{Error: "Gap"}
	}
	var inputs []uint64
	for _, b := range []byte(s.GetText()) {
		inputs = append(inputs, uint64(b))
	}
	for _, t := range s.GetTokens() {
		inputs = append(inputs, uint64(t)<<8)
	}
	for hidden := range slices.Chunk(s.GetHidden(), 8) {
		inputs = append(inputs, binary.BigEndian.Uint64(hidden))
	}
	r := &mangomessage.StepResult{Position: s.GetPosition(), Count: uint32(len(inputs))}
	for _, value := range inputs {
		for layer := s.GetFromLayer(); layer < s.GetToLayer(); layer++ {
			c.layers[layer] = (c.layers[layer] ^ value ^ uint64(layer)) * 0x9E3779B97F4A7C15
			value = c.layers[layer] ^ c.layers[layer]>>29
		}
		r.Hidden = binary.BigEndian.AppendUint64(r.Hidden, value)
		r.Token, r.Text = uint32(value%1000), fmt.Sprint(" ", value%1000)
	}
	c.lastResult, c.nextPosition = r, s.GetPosition()+r.GetCount()
	return &mangomessage.StepResult{Count: r.Count, Hidden: r.Hidden, Token: r.Token, Text: r.Text}
}

func (fl *fakeFleet) Cancel(_ context.Context, host string, c *mangomessage.Cancel) error {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	delete(fl.caches, cacheKey(host, c.GetCall(), c.GetAttempt()))
	return nil
}

// Export implements mangoupstream.Engine. The exported state is the key under which the cache waits for Import.
func (fl *fakeFleet) Export(_ context.Context, host string, t *mangomessage.Transfer) (*mangomessage.Transfer, error) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	key := cacheKey(host, t.GetCall(), t.GetAttempt())
	if fl.fault("Export", host, nil) != "" || fl.caches[key] == nil {
		return nil, upstreamError(mangoupstream.KindNoState)
	}
	fl.caches["moving/"+key], fl.caches[key] = fl.caches[key], nil
	return &mangomessage.Transfer{Call: t.Call, Attempt: t.Attempt, State: []byte("moving/" + key)}, nil
}

func (fl *fakeFleet) Import(_ context.Context, host string, t *mangomessage.Transfer) error {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	if fl.fault("Import", host, nil) != "" || fl.crashedHosts[host] {
		return upstreamError(mangoupstream.KindLost)
	}
	fl.caches[cacheKey(host, t.GetCall(), t.GetAttempt())] = fl.caches[string(t.GetState())]
	return nil
}

func (fl *fakeFleet) Choose(_ context.Context, request mangochain.Request, _ bool) (Assignment, error) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	view := fl.view
	view.Replicas = slices.Clone(view.Replicas)
	for i := range view.Replicas {
		view.Replicas[i].Leaving = fl.leaving[view.Replicas[i].Host]
	}
	chain, err := mangochain.Choose(view, request)
	if err != nil {
		return Assignment{}, err
	}
	for _, s := range chain.Stages {
		fl.inFlight[s.Replica.Host]++
	}
	return Assignment{Chain: chain, EndIsolation: func() { fl.isolationsEnded++ }, Release: func() {
		fl.mu.Lock()
		defer fl.mu.Unlock()
		for _, s := range chain.Stages {
			fl.inFlight[s.Replica.Host]--
		}
	}}, nil
}

func (fl *fakeFleet) Leaving(host string) bool {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	return fl.leaving[host]
}

func (fl *fakeFleet) StepDone(string, time.Duration, int, *mangomessage.StepResult) {}
func (fl *fakeFleet) Failed(string, error)                                          {}
func (fl *fakeFleet) Token(string, time.Duration, bool)                             {}
func (fl *fakeFleet) Crashed(host, _ string) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fl.crashReports = append(fl.crashReports, host)
}

// randomFaults returns a faultFunc that injects all kinds of faults at random. It injects the same ones again for the same
// seed and order of operations.
func randomFaults(seed uint64) faultFunc {
	var mu sync.Mutex
	random, crashCount := rand.New(rand.NewPCG(seed, 1)), 0
	stepFaults := []string{"LostBefore", "LostAfter", "HangBefore", "HangAfter", "HangLate", "Leaving", "Crash"}
	return func(op, _ string, _ *mangomessage.Step) string {
		mu.Lock()
		defer mu.Unlock()
		if random.IntN(12) != 0 {
			return ""
		}
		switch op {
		case "Step":
			injected := stepFaults[random.IntN(len(stepFaults))]
			if injected == "Crash" {
				if crashCount++; crashCount > 4 {
					return ""
				}
			}
			return injected
		case "Open":
			return []string{"Refuse", "Hang"}[random.IntN(2)]
		default:
			return "Fail"
		}
	}
}
