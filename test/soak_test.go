package test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	soakEntries = 8
	// soakTime is the length of a schedule of faults; the one in CI is shorter.
	soakTime      = 20 * time.Second
	shortSoakTime = 7 * time.Second
)

// soak is one schedule of faults and what its callers saw.
type soak struct {
	t       *testing.T
	f       *fleet
	rand    *rand.Rand
	service string
	// undo ends faults, each at its time.
	undo []undo
	busy map[string]bool
	// target is the profile that the alias points to; known is false after a switch of unknown outcome.
	target string
	known  bool
	change int

	stop     chan struct{}
	wg       sync.WaitGroup
	mu       sync.Mutex
	bookings map[string][]callResult
	texts    map[string]int
	wrong    []string
	newest   map[string]uint64
	reverted []string
}

type undo struct {
	at time.Time
	f  func()
}

// TestSoak guards every promise at once under faults that overlap; the seed of a failing schedule repeats its choices.
func TestSoak(t *testing.T) {
	first, seeds, length := uint64(1), 1, shortSoakTime
	if n, err := strconv.Atoi(os.Getenv("MANGOPATH_SOAK_SEEDS")); err == nil {
		seeds, length = n, soakTime
	}
	if n, err := strconv.ParseUint(os.Getenv("MANGOPATH_SOAK_FIRST"), 10, 64); err == nil {
		first = n
	}
	for i := range seeds {
		seed := first + uint64(i)
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Logf("run again with: make soak SEED=%d", seed)
			newSoak(t, seed).run(length)
		})
	}
}

func newSoak(t *testing.T, seed uint64) *soak {
	f := shelter(t, soakEntries, 2)
	f.startPipeline("v2", "nieuwegein", 2)
	f.startService("soak-1", "nieuwegein")
	f.publishHostList()
	mustPropose(t, f.entryHosts[0],
		newChange("v2", 0, profileEntry(modelProfile("tekst-v2", "v2"))),
		newChange("soak", 0, profileEntry(serviceProfile("soak", "nieuwegein", true, "soak-1"))))
	f.waitServing("tekst-v2")
	s := &soak{
		t: t, f: f, rand: rand.New(rand.NewPCG(seed, 0)), busy: map[string]bool{}, target: "tekst-v1", known: true,
		stop: make(chan struct{}), bookings: map[string][]callResult{}, texts: map[string]int{}, newest: map[string]uint64{},
	}
	for _, h := range f.hostList {
		if h.Name == "soak-1" {
			s.service = h.Address
		}
	}
	return s
}

// run lets callers work under the schedule, ends all faults and checks the promises.
func (s *soak) run(length time.Duration) {
	before := resourcesOf(s.t, s.f)
	s.start()
	for end := time.Now().Add(length); time.Now().Before(end); {
		s.act()
		s.wait(time.Duration(300+s.rand.IntN(700)) * time.Millisecond)
	}
	for _, u := range s.undo {
		u.f()
	}
	s.undo = nil
	close(s.stop)
	s.wg.Wait()
	s.check()
	s.checkResources(before)
}

// wait ends the faults that are due meanwhile.
func (s *soak) wait(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		left := s.undo[:0:0]
		for _, u := range s.undo {
			if time.Now().Before(u.at) {
				left = append(left, u)
				continue
			}
			u.f()
		}
		s.undo = left
	}
}

// start runs callers of completions and bookings and a watch on the revisions in force.
func (s *soak) start() {
	for i := range 4 {
		s.caller(func(n int) { s.complete(i, n) })
	}
	for i := range 3 {
		s.caller(func(n int) { s.book(fmt.Sprintf("key-%d-%d", i, n)) })
	}
	s.caller(func(int) {
		for _, e := range s.f.entryHosts {
			s.watch(e.name, configRevision(e))
		}
		time.Sleep(200 * time.Millisecond)
	})
}

func (s *soak) caller(f func(n int)) {
	s.wg.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-s.stop:
				return
			default:
				f(n)
			}
		}
	})
}

func (s *soak) complete(i, n int) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	prompt := fmt.Sprintf("soak %d call %d", i, n)
	a := requestCompletion(ctx, s.f.entryHosts[(i+n)%soakEntries], "tekst", prompt, 20)
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case a.completed && (a.text == faultFree("v1", prompt, 20) || a.text == faultFree("v2", prompt, 20)):
		s.texts["whole"]++
	case a.completed:
		s.wrong = append(s.wrong, fmt.Sprintf("%s: %q", prompt, a.text))
	default:
		s.texts["not whole "+a.outcome]++
	}
}

// book sends a key up to three times to different entry hosts until it is answered.
func (s *soak) book(key string) {
	for i := range 3 {
		e := s.f.entryHosts[(len(key)+int(key[len(key)-1])+3*i)%soakEntries]
		ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
		a := requestBooking(ctx, e, "soak", key, `{"Cat":"Mies"}`)
		cancel()
		s.mu.Lock()
		s.bookings[key] = append(s.bookings[key], a)
		s.mu.Unlock()
		if a.outcome == "Answer" && i > 0 {
			return
		}
	}
}

// watch notes a revision that is below one that the entry host had in force before, also across restarts.
func (s *soak) watch(name string, revision uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if revision != 0 && revision < s.newest[name] {
		s.reverted = append(s.reverted, fmt.Sprintf("%s from %d to %d", name, s.newest[name], revision))
	}
	s.newest[name] = max(s.newest[name], revision)
}

// check compares what callers were told with what ran, and the entry hosts with each other.
func (s *soak) check() {
	is := is.New(s.t)
	f := s.f
	for _, e := range f.entryHosts {
		eventually(s.t, startTimeout, e.name+" ready", func() bool { return respondsOK("http://" + e.operatorAddress + "/readyz") })
	}
	if s.known {
		took := waitForVersion(s.t, f.entryHosts, "tekst", strings.TrimPrefix(s.target, "tekst-"))
		s.t.Logf("last accepted switch in force on all after %v", took)
	}
	newest := uint64(0)
	for _, r := range s.newest {
		newest = max(newest, r)
	}
	for _, e := range f.entryHosts {
		eventually(s.t, changeBound, "newest revision on "+e.name, func() bool { return configRevision(e) >= newest })
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		a := requestBooking(ctx, e, "reserve", "final-"+e.name, "{}")
		cancel()
		is.Equal(a.status, http.StatusOK) // the entry host serves bookings
	}
	ran := executions(s.t, s.service)
	counts := map[string]int{}
	for key, answers := range s.bookings {
		s.checkBooking(key, answers, ran[key], counts)
	}
	s.t.Logf("completions %v, bookings %v, newest revision %d", s.texts, counts, newest)
	is.Equal(len(s.wrong), 0)    // every whole text is that of one version without faults
	is.Equal(len(s.reverted), 0) // no entry host went back to an older book
	is.True(s.texts["whole"] > 0 && counts["Answer"] > 0)
	for _, fault := range append(s.wrong, s.reverted...) {
		s.t.Log(fault)
	}
}

func (s *soak) checkBooking(key string, answers []callResult, ran int, counts map[string]int) {
	notRun, text := 0, ""
	for _, a := range answers {
		counts[a.outcome]++
		if a.outcome == "NotRun" {
			notRun++
		}
		if a.outcome != "Answer" {
			continue
		}
		if text != "" && text != a.body {
			s.t.Errorf("%s: answers %q and %q", key, text, a.body)
		}
		text = a.body
	}
	if ran > 1 || notRun == len(answers) && ran > 0 || text != "" && ran != 1 {
		s.t.Errorf("%s: ran %d times, %d of %d answers NotRun, text %q", key, ran, notRun, len(answers), text)
	}
}
