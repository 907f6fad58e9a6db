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
	longSoakTime  = 20 * time.Second
	shortSoakTime = 7 * time.Second
)

// soak is one schedule of faults and what its callers saw.
type soak struct {
	t              *testing.T
	f              *fleet
	rand           *rand.Rand
	serviceAddress string
	// undo ends faults, each at its time.
	scheduledEnds []scheduledEnd
	activeFaults  map[string]bool
	// target is the profile that the alias points to; known is false after a switch of unknown outcome.
	aliasTarget string
	aliasKnown  bool
	changeCount int

	stop             chan struct{}
	wg               sync.WaitGroup
	mu               sync.Mutex
	bookingAnswers   map[string][]callResult
	completionCounts map[string]int
	wrongTexts       []string
	newestRevisions  map[string]uint64
	revisionDrops    []string
}

type scheduledEnd struct {
	at  time.Time
	end func()
}

// TestSoak guards every promise at once under faults that overlap; the seed of a failing schedule repeats its choices.
func TestSoak(t *testing.T) {
	first, seeds, length := uint64(1), 1, shortSoakTime
	if n, err := strconv.Atoi(os.Getenv("MANGOPATH_SOAK_SEEDS")); err == nil {
		seeds, length = n, longSoakTime
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
	f := newStandardFleet(t, soakEntries, 2)
	f.startPipeline("v2", "nieuwegein", 2)
	f.startService("soak-1", "nieuwegein")
	f.publishHostList()
	mustPropose(t, f.entryHosts[0],
		newChange("v2", 0, profileEntry(modelProfile("tekst-v2", "v2"))),
		newChange("soak", 0, profileEntry(serviceProfile("soak", "nieuwegein", true, "soak-1"))))
	f.waitServing("tekst-v2")
	s := &soak{
		t: t, f: f, rand: rand.New(rand.NewPCG(seed, 0)), activeFaults: map[string]bool{}, aliasTarget: "tekst-v1", aliasKnown: true,
		stop: make(chan struct{}), bookingAnswers: map[string][]callResult{}, completionCounts: map[string]int{}, newestRevisions: map[string]uint64{},
	}
	for _, h := range f.hostList {
		if h.Name == "soak-1" {
			s.serviceAddress = h.Address
		}
	}
	return s
}

// run lets callers work under the schedule, ends all faults and checks the promises.
func (s *soak) run(length time.Duration) {
	before := measureResources(s.t, s.f)
	s.startCallers()
	for end := time.Now().Add(length); time.Now().Before(end); {
		s.startRandomFault()
		s.waitEndingFaults(time.Duration(300+s.rand.IntN(700)) * time.Millisecond)
	}
	for _, u := range s.scheduledEnds {
		u.end()
	}
	s.scheduledEnds = nil
	close(s.stop)
	s.wg.Wait()
	s.checkResults()
	s.checkResources(before)
}

// waitEndingFaults ends the faults that are due meanwhile.
func (s *soak) waitEndingFaults(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		left := s.scheduledEnds[:0:0]
		for _, u := range s.scheduledEnds {
			if time.Now().Before(u.at) {
				left = append(left, u)
				continue
			}
			u.end()
		}
		s.scheduledEnds = left
	}
}

// startCallers runs callers of completions and bookings and a watch on the revisions in force.
func (s *soak) startCallers() {
	for i := range 4 {
		s.runLoop(func(n int) { s.complete(i, n) })
	}
	for i := range 3 {
		s.runLoop(func(n int) { s.book(fmt.Sprintf("key-%d-%d", i, n)) })
	}
	s.runLoop(func(int) {
		for _, e := range s.f.entryHosts {
			s.recordRevision(e.name, configRevision(e))
		}
		time.Sleep(200 * time.Millisecond)
	})
}

func (s *soak) runLoop(f func(n int)) {
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
	case a.completed && (a.text == expectedText("v1", prompt, 20) || a.text == expectedText("v2", prompt, 20)):
		s.completionCounts["whole"]++
	case a.completed:
		s.wrongTexts = append(s.wrongTexts, fmt.Sprintf("%s: %q", prompt, a.text))
	default:
		s.completionCounts["not whole "+a.outcome]++
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
		s.bookingAnswers[key] = append(s.bookingAnswers[key], a)
		s.mu.Unlock()
		if a.outcome == "Answer" && i > 0 {
			return
		}
	}
}

// recordRevision notes a revision that is below one that the entry host had in force before, also across restarts.
func (s *soak) recordRevision(name string, revision uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if revision != 0 && revision < s.newestRevisions[name] {
		s.revisionDrops = append(s.revisionDrops, fmt.Sprintf("%s from %d to %d", name, s.newestRevisions[name], revision))
	}
	s.newestRevisions[name] = max(s.newestRevisions[name], revision)
}

// checkResults compares what callers were told with what ran, and the entry hosts with each other.
func (s *soak) checkResults() {
	is := is.New(s.t)
	f := s.f
	for _, e := range f.entryHosts {
		eventually(s.t, startTimeout, e.name+" ready", func() bool { return respondsOK("http://" + e.operatorAddress + "/readyz") })
	}
	if s.aliasKnown {
		took := waitForVersion(s.t, f.entryHosts, "tekst", strings.TrimPrefix(s.aliasTarget, "tekst-"))
		s.t.Logf("last accepted switch in force on all after %v", took)
	}
	newest := uint64(0)
	for _, r := range s.newestRevisions {
		newest = max(newest, r)
	}
	for _, e := range f.entryHosts {
		eventually(s.t, changeBound, "newest revision on "+e.name, func() bool { return configRevision(e) >= newest })
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		a := requestBooking(ctx, e, "reserve", "final-"+e.name, "{}")
		cancel()
		is.Equal(a.status, http.StatusOK) // the entry host serves bookings
	}
	ran := executions(s.t, s.serviceAddress)
	counts := map[string]int{}
	for key, answers := range s.bookingAnswers {
		s.checkBooking(key, answers, ran[key], counts)
	}
	s.t.Logf("completions %v, bookings %v, newest revision %d", s.completionCounts, counts, newest)
	is.Equal(len(s.wrongTexts), 0)    // every whole text is that of one version without faults
	is.Equal(len(s.revisionDrops), 0) // no entry host went back to an older book
	is.True(s.completionCounts["whole"] > 0 && counts["Answer"] > 0)
	for _, fault := range append(s.wrongTexts, s.revisionDrops...) {
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
