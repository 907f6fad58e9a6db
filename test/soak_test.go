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
	// longSoakTime is the duration of each run if MANGOPATH_SOAK_SEEDS is set, shortSoakTime that in CI.
	longSoakTime  = 20 * time.Second
	shortSoakTime = 7 * time.Second
)

// soak is one run with a random schedule of faults, and the results that its callers saw.
type soak struct {
	t              *testing.T
	f              *fleet
	rand           *rand.Rand
	serviceAddress string
	// scheduledEnds has the ends of the active faults, activeFaults their kinds.
	scheduledEnds []scheduledEnd
	activeFaults  map[string]bool
	// aliasTarget is the profile that the alias points to; aliasKnown is false after a switch that was not confirmed.
	aliasTarget string
	aliasKnown  bool
	changeCount int

	stop chan struct{}
	wg   sync.WaitGroup
	// mu guards the results below.
	mu sync.Mutex
	// bookingAnswers has the answers by idempotency key, completionCounts the number of completions by result.
	bookingAnswers   map[string][]callResult
	completionCounts map[string]int
	wrongTexts       []string
	// newestRevisions has the newest revision that each entry host had in force, revisionDrops describes each return to an
	// older one.
	newestRevisions map[string]uint64
	revisionDrops   []string
}

// scheduledEnd is the function that ends a fault, and the time at which it is due.
type scheduledEnd struct {
	at  time.Time
	end func()
}

// TestSoak checks under overlapping random faults that completions have the text of one version, that bookings run at most
// once, that revisions never go back, that the last switch takes effect if it was confirmed, and that resources do not
// grow. The seed of a failed run repeats its choice of faults.
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

// newSoak starts the entry hosts and upstreams of a run. The seed determines the choice of faults.
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

// run injects random faults for the given time while callers work, then ends all faults and checks the results.
func (s *soak) run(length time.Duration) {
	before := measureResources(s.t, s.f)
	s.startCallers()
	for end := time.Now().Add(length); time.Now().Before(end); {
		s.startRandomFault()
		s.waitEndingFaults(time.Duration(300+s.rand.IntN(700)) * time.Millisecond)
	}
	for _, se := range s.scheduledEnds {
		se.end()
	}
	s.scheduledEnds = nil
	close(s.stop)
	s.wg.Wait()
	s.checkResults()
	s.checkResources(before)
}

// waitEndingFaults waits for d and meanwhile ends the faults that are due.
func (s *soak) waitEndingFaults(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		left := s.scheduledEnds[:0:0]
		for _, se := range s.scheduledEnds {
			if time.Now().Before(se.at) {
				left = append(left, se)
				continue
			}
			se.end()
		}
		s.scheduledEnds = left
	}
}

// startCallers runs callers of completions and bookings, and a poller of the revisions in force.
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

// runLoop calls f with rising numbers until the run ends.
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

// complete sends call n of caller i and records whether its text is that of one version.
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

// book sends the same key to two entry hosts, since a repeat must get the same answer, and to a third if the second did not
// answer.
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

// recordRevision records the revision that an entry host has in force, and adds it to revisionDrops if it is older than
// one that the entry host had before, also across restarts.
func (s *soak) recordRevision(name string, revision uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if revision != 0 && revision < s.newestRevisions[name] {
		s.revisionDrops = append(s.revisionDrops, fmt.Sprintf("%s from %d to %d", name, s.newestRevisions[name], revision))
	}
	s.newestRevisions[name] = max(s.newestRevisions[name], revision)
}

// checkResults checks that every entry host serves and has the newest revision, and compares the answers of the callers
// with what the service ran.
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
	runs := executions(s.t, s.serviceAddress)
	counts := map[string]int{}
	for key, answers := range s.bookingAnswers {
		s.checkBooking(key, answers, runs[key], counts)
	}
	s.t.Logf("completions %v, bookings %v, newest revision %d", s.completionCounts, counts, newest)
	is.Equal(len(s.wrongTexts), 0)    // every complete text is that of one version without faults
	is.Equal(len(s.revisionDrops), 0) // no entry host went back to an older revision
	is.True(s.completionCounts["whole"] > 0 && counts["Answer"] > 0)
	for _, fault := range append(s.wrongTexts, s.revisionDrops...) {
		s.t.Log(fault)
	}
}

// checkBooking checks for one key that the booking ran at most once, not at all if every answer is NotRun and exactly once
// if a call was answered, and that all answers are the same.
func (s *soak) checkBooking(key string, answers []callResult, runs int, counts map[string]int) {
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
	if runs > 1 || notRun == len(answers) && runs > 0 || text != "" && runs != 1 {
		s.t.Errorf("%s: ran %d times, %d of %d answers NotRun, text %q", key, runs, notRun, len(answers), text)
	}
}
