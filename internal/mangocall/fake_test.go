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

// fault returns what happens to an operation ("Open", "Step", "Export", "Import") on a host; "" is no fault.
type fault func(op, host string, step *mangomessage.Step) string

// fleet is an Engine of replicas whose addresses are their hosts.
type fleet struct {
	mangoupstream.Engine
	fault fault

	mu      sync.Mutex
	kept    map[string]*cache // by host, call and attempt
	dead    map[string]bool
	leaving map[string]bool
	flying  map[string]int
	crashes []string
	// passed counts the attempts of suspects that passed the position of a crash.
	passed int
	view   mangochain.View
}

// cache has the state of each layer; a layer skipped, repeated or run out of order changes all later output.
type cache struct {
	layers map[uint32]uint64
	next   uint32
	last   *mangomessage.StepResult
	// late is a step that runs only after the call gave up on it.
	late *mangomessage.Step
}

func newFleet(perRange int, f fault) *fleet {
	l := &fleet{
		fault: f, kept: map[string]*cache{}, dead: map[string]bool{}, leaving: map[string]bool{}, flying: map[string]int{},
		view: mangochain.View{DaemonCount: 1},
	}
	for from := uint32(0); from < 6; from += 2 {
		for n := range perRange {
			host := fmt.Sprintf("h%d-%d", from, n)
			l.view.Replicas = append(l.view.Replicas, mangochain.Replica{
				Host: host, Address: host, Model: "m", Version: "v", FromLayer: from, ToLayer: from + 2, MaxBatch: 4, SlowStartFactor: 1,
			})
		}
	}
	return l
}

func keyOf(host, call string, attempt uint32) string {
	return fmt.Sprint(host, "/", call, "/", attempt)
}

func lost(kind mangoupstream.Kind) error {
	return &mangoupstream.Error{Op: "fake", Kind: kind, Err: errors.New("injected")}
}

func (l *fleet) crash(host string) error {
	l.dead[host] = true
	maps.DeleteFunc(l.kept, func(k string, _ *cache) bool { return len(k) > len(host) && k[:len(host)+1] == host+"/" })
	return lost(mangoupstream.KindLost)
}

func (l *fleet) Open(ctx context.Context, host string, o *mangomessage.Open) (mangoupstream.Stream, *mangomessage.Opened, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	key, what := keyOf(host, o.GetCall(), o.GetAttempt()), l.fault("Open", host, nil)
	for _, c := range l.kept {
		if c != nil && c.late != nil {
			c.run(c.late)
			c.late = nil
		}
	}
	switch {
	case l.dead[host]:
		return nil, nil, lost(mangoupstream.KindNotSent)
	case what == "Hang":
		l.hang(ctx)
		return nil, nil, lost(mangoupstream.KindTimeout)
	case what == "Refuse" && !o.GetResume():
		return nil, &mangomessage.Opened{Reason: "Busy"}, lost(mangoupstream.KindRefused)
	case o.GetResume() && l.kept[key] == nil:
		return nil, nil, lost(mangoupstream.KindNoState)
	case !o.GetResume():
		l.kept[key] = &cache{layers: map[uint32]uint64{}}
	}
	return &fakeStream{fleet: l, host: host, key: key}, &mangomessage.Opened{Accepted: true}, nil
}

type fakeStream struct {
	fleet  *fleet
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
		return nil, lost(mangoupstream.KindNotSent)
	}
	l := s.fleet
	l.mu.Lock()
	defer l.mu.Unlock()
	what, c := l.fault("Step", s.host, step), l.kept[s.key]
	if l.dead[s.host] || c == nil {
		return nil, lost(mangoupstream.KindNotSent) // the stream broke between two steps
	}
	if what == "Crash" {
		return nil, l.crash(s.host)
	}
	var result *mangomessage.StepResult
	if what == "HangLate" {
		c.late = step
	} else if what != "LostBefore" && what != "HangBefore" {
		result = c.run(step)
		result.Leaving = what == "Leaving"
	}
	switch what {
	case "LostBefore", "LostAfter":
		return nil, lost(mangoupstream.KindLost)
	case "HangBefore", "HangAfter", "HangLate":
		l.hang(ctx)
		return nil, lost(mangoupstream.KindTimeout)
	}
	return result, nil
}

// hang waits for the context without the lock.
func (l *fleet) hang(ctx context.Context) {
	l.mu.Unlock()
	<-ctx.Done()
	l.mu.Lock()
}

func (c *cache) run(s *mangomessage.Step) *mangomessage.StepResult {
	if c.last != nil && c.last.GetPosition() == s.GetPosition() {
		return &mangomessage.StepResult{Count: c.last.GetCount(), Hidden: c.last.Hidden, Token: c.last.Token, Text: c.last.Text}
	}
	if s.GetPosition() != c.next {
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
	c.last, c.next = r, s.GetPosition()+r.GetCount()
	return &mangomessage.StepResult{Count: r.Count, Hidden: r.Hidden, Token: r.Token, Text: r.Text}
}

func (l *fleet) Cancel(_ context.Context, host string, c *mangomessage.Cancel) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.kept, keyOf(host, c.GetCall(), c.GetAttempt()))
	return nil
}

// carried is a cache on its way between replicas, by its key on the old one.
func (l *fleet) Export(_ context.Context, host string, t *mangomessage.Transfer) (*mangomessage.Transfer, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	key := keyOf(host, t.GetCall(), t.GetAttempt())
	if l.fault("Export", host, nil) != "" || l.kept[key] == nil {
		return nil, lost(mangoupstream.KindNoState)
	}
	l.kept["moving/"+key], l.kept[key] = l.kept[key], nil
	return &mangomessage.Transfer{Call: t.Call, Attempt: t.Attempt, State: []byte("moving/" + key)}, nil
}

func (l *fleet) Import(_ context.Context, host string, t *mangomessage.Transfer) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.fault("Import", host, nil) != "" || l.dead[host] {
		return lost(mangoupstream.KindLost)
	}
	l.kept[keyOf(host, t.GetCall(), t.GetAttempt())] = l.kept[string(t.GetState())]
	return nil
}

func (l *fleet) Choose(_ context.Context, request mangochain.Request, _ bool) (Assignment, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	view := l.view
	view.Replicas = slices.Clone(view.Replicas)
	for i := range view.Replicas {
		view.Replicas[i].Leaving = l.leaving[view.Replicas[i].Host]
	}
	chain, err := mangochain.Choose(view, request)
	if err != nil {
		return Assignment{}, err
	}
	for _, s := range chain.Stages {
		l.flying[s.Replica.Host]++
	}
	return Assignment{Chain: chain, EndIsolation: func() { l.passed++ }, Release: func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		for _, s := range chain.Stages {
			l.flying[s.Replica.Host]--
		}
	}}, nil
}

func (l *fleet) Leaving(host string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.leaving[host]
}

func (l *fleet) StepDone(string, time.Duration, int, *mangomessage.StepResult) {}
func (l *fleet) Failed(string, error)                                          {}
func (l *fleet) Token(string, time.Duration, bool)                             {}
func (l *fleet) Crashed(host, _ string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.crashes = append(l.crashes, host)
}

// randomFaults returns a schedule of all faults that is the same for a seed and the same order of operations.
func randomFaults(seed uint64) fault {
	var mu sync.Mutex
	random, crashes := rand.New(rand.NewPCG(seed, 1)), 0
	steps := []string{"LostBefore", "LostAfter", "HangBefore", "HangAfter", "HangLate", "Leaving", "Crash"}
	return func(op, _ string, _ *mangomessage.Step) string {
		mu.Lock()
		defer mu.Unlock()
		if random.IntN(12) != 0 {
			return ""
		}
		switch op {
		case "Step":
			what := steps[random.IntN(len(steps))]
			if what == "Crash" {
				if crashes++; crashes > 4 {
					return ""
				}
			}
			return what
		case "Open":
			return []string{"Refuse", "Hang"}[random.IntN(2)]
		default:
			return "Fail"
		}
	}
}
