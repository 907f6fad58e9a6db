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

// drainBound is the time after which a leaving host must get no new work.
const drainBound = 3 * time.Second

// load runs callers against an entry host until stop is closed and counts answers that differ from a run without faults.
type load struct {
	stop   chan struct{}
	wg     sync.WaitGroup
	whole  atomic.Int64
	wrong  atomic.Int64
	notRun atomic.Int64
	lost   atomic.Int64
}

// run starts callers; pick gives the entry host of the next call.
func (l *load) run(callers, tokens int, version string, pick func(n int) *entry) {
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
				l.count(complete(context.Background(), pick(i+n), "tekst", prompt, tokens), expectedText(version, prompt, tokens))
			}
		})
	}
}

func (l *load) count(a answer, want string) {
	switch {
	case a.whole && a.text == want:
		l.whole.Add(1)
	case a.whole:
		l.wrong.Add(1)
	case a.outcome == "NotRun":
		l.notRun.Add(1)
	default:
		l.lost.Add(1)
	}
}

func (l *load) end() string {
	close(l.stop)
	l.wg.Wait()
	return fmt.Sprintf("whole=%d wrong=%d notRun=%d lost=%d", l.whole.Load(), l.wrong.Load(), l.notRun.Load(), l.lost.Load())
}

// opened counts the calls that an engine ran.
func opened(t testing.TB, engine string) int {
	t.Helper()
	calls := map[string]bool{}
	for _, l := range fetchTrace(t, engine).Lines {
		calls[l.Call] = true
	}
	return len(calls)
}

// TestLeavingHostGetsNoNewWork guards against new work on a host that leaves by mark or by list, and against losing the
// calls that run there.
func TestLeavingHostGetsNoNewWork(t *testing.T) {
	f, engines := newEngineProxyFleet(t, 2)
	for i, c := range []struct {
		name  string
		leave func(f *fleet, host string)
	}{
		{"drain mark", func(f *fleet, host string) { declare(f.t, f.entries[0], change("d1", 0, markEntry(host, true))) }},
		{"host list", func(f *fleet, host string) {
			for i, h := range f.hosts {
				if h.Name == host {
					f.hosts[i] = &mangomessage.ListedHost{Name: h.Name, Role: h.Role, DataCentre: h.DataCentre, Address: h.Address, Kind: h.Kind, Leaving: true}
				}
			}
			f.publish()
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var l load
			host := engines[2*i] // a stage for each way to leave
			l.run(6, 30, "v1", func(int) *entry { return f.entries[0] })
			time.Sleep(500 * time.Millisecond)
			c.leave(f, host.name)
			time.Sleep(drainBound)
			before := opened(t, host.target)
			time.Sleep(1500 * time.Millisecond)
			is.Equal(opened(t, host.target), before) // no new call after the bound
			t.Log(l.end())
			is.True(before > 0)
			is.True(l.whole.Load() > 0)
			is.Equal(l.wrong.Load()+l.lost.Load()+l.notRun.Load(), int64(0))
		})
	}
}

// TestEntryHostsReplacedOneByOne guards against calls lost by the planned stop of an entry host under load.
func TestEntryHostsReplacedOneByOne(t *testing.T) {
	is := is.New(t)
	f := newStandardFleet(t, 3, 2)
	var ready [3]atomic.Bool
	for i := range ready {
		ready[i].Store(true)
	}
	// The balancer of the test sends calls only to entry hosts whose readiness check passed at its last look.
	pick := func(n int) *entry {
		for k := range 3 {
			if i := (n + k) % 3; ready[i].Load() {
				return f.entries[i]
			}
		}
		return f.entries[0]
	}
	var watching atomic.Bool
	watching.Store(true)
	defer watching.Store(false)
	go func() {
		for watching.Load() {
			for i, e := range f.entries {
				ready[i].Store(answers("http://" + e.operators + "/readyz"))
			}
			time.Sleep(50 * time.Millisecond)
		}
	}()
	var l load
	l.run(6, 20, "v1", pick)
	for _, e := range f.entries {
		time.Sleep(300 * time.Millisecond)
		e.signal(syscall.SIGTERM)
		is.Equal(e.wait(15*time.Second), 0) // planned stop is graceful
		f.run(e)
		eventually(t, startTimeout, "serves again", func() bool {
			return complete(context.Background(), e, "tekst", "again", 2).status == http.StatusOK
		})
	}
	t.Log(l.end())
	is.True(l.whole.Load() > 10)
	is.Equal(l.wrong.Load()+l.lost.Load()+l.notRun.Load(), int64(0))
}

// TestSilentListRemovesNobody guards against an empty or frozen host list that takes working upstreams out of service.
func TestSilentListRemovesNobody(t *testing.T) {
	is := is.New(t)
	f := newStandardFleet(t, 1, 1)
	all := f.hosts
	f.hosts = nil
	f.publish()
	time.Sleep(1500 * time.Millisecond)
	is.True(complete(context.Background(), f.entries[0], "tekst", "empty list", 3).whole)
	f.hosts = all
	f.faults(f.platform, map[string]any{"Down": true})
	time.Sleep(1500 * time.Millisecond)
	is.True(complete(context.Background(), f.entries[0], "tekst", "no list", 3).whole)
}

// TestUnannouncedHostIsUsed guards against a host that joins and is never used, or used before it said what it holds.
func TestUnannouncedHostIsUsed(t *testing.T) {
	f := newStandardFleet(t, 1, 1)
	from, to := stage(1)
	at := f.engine(engineSpec{name: "new-s1", centre: "nieuwegein", version: "v1", from: from, to: to})
	f.publish()
	eventually(t, 10*time.Second, "new host gets calls", func() bool {
		complete(context.Background(), f.entries[0], "tekst", time.Now().String(), 2)
		return opened(t, at) > 0
	})
}
