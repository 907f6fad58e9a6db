package test

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

const crashPrompt = "the prompt that crashes"

// newCrashableFleet starts entry hosts and a pipeline of three stages whose engines crash when they run crashPrompt.
func newCrashableFleet(t *testing.T, entries, replicas int) *fleet {
	t.Helper()
	f := newFleet(t)
	for i := range entries {
		f.startEntryHost(entryName(i), "nieuwegein")
	}
	for i := range 3 {
		from, to := stageLayers(i)
		for r := range replicas {
			at := f.startEngine(engineSpec{
				name: fmt.Sprintf("s%d-r%d", i, r), centre: "nieuwegein", version: "v1", from: from, to: to,
				flags: []string{"--max-batch", "32"},
			})
			f.setStandInFaults(at, map[string]any{"CrashOnPrompt": crashPrompt})
		}
	}
	t.Cleanup(f.logCrashEvents)
	f.publishHostList()
	f.declareCompletions()
	f.waitServing("tekst")
	time.Sleep(2 * time.Second) // until every replica is probed and every peer is known
	return f
}

// declareCompletions declares a customer, a completion profile and its alias, but no services.
func (f *fleet) declareCompletions() {
	f.t.Helper()
	mustPropose(f.t, f.entryHosts[0],
		newChange("c1", 0, customerEntry("shelter", digestOf(customerKey))),
		newChange("c2", 0, profileEntry(modelProfile("tekst-v1", "v1"))),
		newChange("c3", 0, aliasEntry("tekst", "tekst-v1")))
}

// endedEngines returns the names of the engines whose processes have ended.
func (f *fleet) endedEngines() []string {
	var names []string
	for name, p := range f.engines {
		select {
		case <-p.exited:
			names = append(names, name)
		default:
		}
	}
	slices.Sort(names)
	return names
}

// logCrashEvents repeats, if the test failed, the log lines of the entry hosts on crashes and quarantined requests.
func (f *fleet) logCrashEvents() {
	if !f.t.Failed() {
		return
	}
	var lines []string
	for _, e := range f.entryHosts {
		for line := range strings.Lines(e.output.String()) {
			if strings.Contains(line, "event=upstream_crashed") || strings.Contains(line, "event=quarantined") {
				lines = append(lines, strings.TrimSpace(line)+" entry="+e.name)
			}
		}
	}
	slices.Sort(lines)
	f.t.Log(strings.Join(lines, "\n"))
}

// startUnrelatedCalls sends calls that crash nothing, at intervals and to all entry hosts in turn. The returned function
// waits for them and describes each answer that is not the expected one.
func (f *fleet) startUnrelatedCalls(calls, tokens int, interval time.Duration) func() (wrong []string) {
	var group sync.WaitGroup
	var mu sync.Mutex
	var wrong []string
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for i := range calls {
			e := f.entryHosts[i%len(f.entryHosts)]
			group.Go(func() {
				prompt := fmt.Sprintf("unrelated %d", i)
				a := requestCompletion(context.Background(), e, "tekst", prompt, tokens)
				if !a.completed || a.text != expectedText("v1", prompt, tokens) {
					mu.Lock()
					wrong = append(wrong, fmt.Sprintf("%s on %s: status=%d outcome=%s whole=%v err=%v %.150s", prompt, e.name, a.status, a.outcome, a.completed, a.err, a.body))
					mu.Unlock()
				}
			})
			time.Sleep(interval)
		}
	}()
	return func() []string {
		<-ended
		group.Wait()
		return wrong
	}
}

// Guards against a request that crashes every engine that runs it and takes down more than two when its caller resends it
// to each entry host, and against unrelated calls that are refused, lost or changed because they shared a replica with it.
func TestPoisonRequest(t *testing.T) {
	is := is.New(t)
	f := newCrashableFleet(t, 4, 4)
	wait := f.startUnrelatedCalls(200, 60, 20*time.Millisecond)
	time.Sleep(time.Second) // calls run on every replica
	var last callResult
	for round := range 2 {
		for _, e := range f.entryHosts {
			begin := time.Now()
			last = requestCompletion(context.Background(), e, "tekst", crashPrompt, 20)
			t.Logf("round %d on %s: status=%d outcome=%s after %v, engines lost %v", round, e.name, last.status, last.outcome, time.Since(begin), f.endedEngines())
			is.True(!last.completed)
			is.True(len(f.endedEngines()) <= 2)
		}
	}
	is.Equal(last.outcome, "Rejected")
	is.True(strings.Contains(last.body, "Quarantine"))
	for _, e := range f.entryHosts {
		a := requestCompletion(context.Background(), e, "tekst", crashPrompt, 20)
		is.Equal(a.outcome, "Rejected") // refused on every entry host
	}
	wrong := wait()
	for _, w := range wrong {
		t.Error(w)
	}
	t.Logf("engines lost %v, unrelated calls with a wrong answer %d of 200", f.endedEngines(), len(wrong))
	is.True(len(f.endedEngines()) <= 2)
}

// Guards against unrelated calls that fail when a caller sends a crashing request to all entry hosts at the same moment,
// and against an entry host that accepts the request again afterwards.
func TestPoisonRequestOnAllEntryHostsAtOnce(t *testing.T) {
	f := newCrashableFleet(t, 4, 6)
	wait := f.startUnrelatedCalls(100, 60, 20*time.Millisecond)
	time.Sleep(500 * time.Millisecond)
	var group sync.WaitGroup
	for _, e := range f.entryHosts {
		group.Go(func() { requestCompletion(context.Background(), e, "tekst", crashPrompt, 20) })
	}
	group.Wait()
	wrong := wait()
	for _, w := range wrong {
		t.Error(w)
	}
	t.Logf("engines lost %v", f.endedEngines())
	for _, e := range f.entryHosts {
		is.New(t).Equal(requestCompletion(context.Background(), e, "tekst", crashPrompt, 20).outcome, "Rejected")
	}
}

// Guards against requests that are quarantined because engines that ran them were killed for another reason.
func TestKilledEnginesQuarantineNoRequest(t *testing.T) {
	is := is.New(t)
	f := newCrashableFleet(t, 4, 4)
	wait := f.startUnrelatedCalls(200, 60, 20*time.Millisecond)
	for i := range 3 {
		time.Sleep(1200 * time.Millisecond)
		f.engines[fmt.Sprintf("s%d-r%d", i, i)].kill()
	}
	wrong := wait()
	for _, w := range wrong {
		t.Error(w)
	}
	for _, e := range f.entryHosts {
		is.True(!strings.Contains(e.output.String(), "event=quarantined"))
	}
}
