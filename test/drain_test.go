package test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"mangopath.org/mangopath/pkg/mangomessage"
)

// drainBound is the time within which a leaving host must stop getting new calls.
const drainBound = 3 * time.Second

// loadGenerator runs callers until stop is closed, and compares their completions with those of a run without faults.
type loadGenerator struct {
	stop    chan struct{}
	wg      sync.WaitGroup
	correct atomic.Int64
	wrong   atomic.Int64 // complete, but with another text
	notRun  atomic.Int64 // refused with outcome NotRun
	failed  atomic.Int64 // all others
}

// start starts callers, each of which sends one call after another; pick chooses the entry host of a call.
func (l *loadGenerator) start(callers, tokens int, version string, pick func(n int) *entryHost) {
	l.stop = make(chan struct{})
	for i := range callers {
		l.wg.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-l.stop:
					return
				default:
				}
				prompt := fmt.Sprintf("caller %d call %d", i, n)
				l.countResult(requestCompletion(context.Background(), pick(i+n), "tekst", prompt, tokens), expectedText(version, prompt, tokens))
			}
		})
	}
}

func (l *loadGenerator) countResult(a callResult, want string) {
	switch {
	case a.completed && a.text == want:
		l.correct.Add(1)
	case a.completed:
		l.wrong.Add(1)
	case a.outcome == "NotRun":
		l.notRun.Add(1)
	default:
		l.failed.Add(1)
	}
}

// stopAndSummarise stops the callers after their calls in progress and returns the counts as text.
func (l *loadGenerator) stopAndSummarise() string {
	close(l.stop)
	l.wg.Wait()
	return fmt.Sprintf("whole=%d wrong=%d notRun=%d lost=%d", l.correct.Load(), l.wrong.Load(), l.notRun.Load(), l.failed.Load())
}

// countCallsRun counts the calls in the trace of an engine.
func countCallsRun(t testing.TB, engine string) int {
	t.Helper()
	calls := map[string]bool{}
	for _, l := range fetchTrace(t, engine).Lines {
		calls[l.Call] = true
	}
	return len(calls)
}

// TestLeavingHostGetsNoNewWork guards against new calls on a host that leaves by a drain mark or by the host list, and
// against losing the calls that run there.
func TestLeavingHostGetsNoNewWork(t *testing.T) {
	f, engines := newEngineProxyFleet(t, 2)
	for i, c := range []struct {
		name  string
		leave func(f *fleet, host string)
	}{
		{"drain mark", func(f *fleet, host string) {
			mustPropose(f.t, f.entryHosts[0], newChange("d1", 0, hostMarkEntry(host, true)))
		}},
		{"host list", func(f *fleet, host string) {
			for i, h := range f.hostList {
				if h.Name == host {
					f.hostList[i] = &mangomessage.ListedHost{Name: h.Name, Role: h.Role, DataCentre: h.DataCentre, Address: h.Address, Kind: h.Kind, Leaving: true}
				}
			}
			f.publishHostList()
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var l loadGenerator
			host := engines[2*i] // another stage for each case
			l.start(6, 30, "v1", func(int) *entryHost { return f.entryHosts[0] })
			time.Sleep(500 * time.Millisecond)
			c.leave(f, host.name)
			time.Sleep(drainBound)
			before := countCallsRun(t, host.target)
			time.Sleep(1500 * time.Millisecond)
			is.Equal(countCallsRun(t, host.target), before) // no new call after the bound
			t.Log(l.stopAndSummarise())
			is.True(before > 0)
			is.True(l.correct.Load() > 0)
			is.Equal(l.wrong.Load()+l.failed.Load()+l.notRun.Load(), int64(0))
		})
	}
}

// TestEntryHostsReplacedOneByOne guards against calls that are lost when an entry host gets SIGTERM under load.
func TestEntryHostsReplacedOneByOne(t *testing.T) {
	is := is.New(t)
	f := newStandardFleet(t, 3, 2)
	var ready [3]atomic.Bool
	for i := range ready {
		ready[i].Store(true)
	}
	// Stands in for a load balancer: calls go only to entry hosts whose last readiness check passed.
	pick := func(n int) *entryHost {
		for k := range 3 {
			if i := (n + k) % 3; ready[i].Load() {
				return f.entryHosts[i]
			}
		}
		return f.entryHosts[0]
	}
	var checking atomic.Bool
	checking.Store(true)
	defer checking.Store(false)
	go func() {
		for checking.Load() {
			for i, e := range f.entryHosts {
				ready[i].Store(respondsOK("http://" + e.operatorAddress + "/readyz"))
			}
			time.Sleep(50 * time.Millisecond)
		}
	}()
	var l loadGenerator
	l.start(6, 20, "v1", pick)
	for _, e := range f.entryHosts {
		time.Sleep(300 * time.Millisecond)
		e.signal(syscall.SIGTERM)
		is.Equal(e.waitForExit(15*time.Second), 0) // exits cleanly
		f.runEntryHost(e)
		eventually(t, startTimeout, "serves again", func() bool {
			return requestCompletion(context.Background(), e, "tekst", "again", 2).status == http.StatusOK
		})
	}
	t.Log(l.stopAndSummarise())
	is.True(l.correct.Load() > 10)
	is.Equal(l.wrong.Load()+l.failed.Load()+l.notRun.Load(), int64(0))
}

// TestEmptyOrMissingHostListRemovesNoUpstream guards against an empty host list, or an outage of the platform that serves
// it, that takes working upstreams out of service.
func TestEmptyOrMissingHostListRemovesNoUpstream(t *testing.T) {
	is := is.New(t)
	f := newStandardFleet(t, 1, 1)
	all := f.hostList
	f.hostList = nil
	f.publishHostList()
	time.Sleep(1500 * time.Millisecond)
	is.True(requestCompletion(context.Background(), f.entryHosts[0], "tekst", "empty list", 3).completed)
	f.hostList = all
	f.setStandInFaults(f.platformAddress, map[string]any{"Down": true})
	time.Sleep(1500 * time.Millisecond)
	is.True(requestCompletion(context.Background(), f.entryHosts[0], "tekst", "no list", 3).completed)
}

// TestNewHostGetsCalls guards against an engine that is added to the host list and never gets calls.
func TestNewHostGetsCalls(t *testing.T) {
	f := newStandardFleet(t, 1, 1)
	from, to := stageLayers(1)
	at := f.startEngine(engineSpec{name: "new-s1", centre: "nieuwegein", version: "v1", from: from, to: to})
	f.publishHostList()
	eventually(t, 10*time.Second, "new host gets calls", func() bool {
		requestCompletion(context.Background(), f.entryHosts[0], "tekst", time.Now().String(), 2)
		return countCallsRun(t, at) > 0
	})
}
