package test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"mangopath.org/mangopath/pkg/mangomessage"
)

// moveAfter is the time after which a call on a leaving engine moves to another one (setting Routing.MoveAfter).
const moveAfter = time.Second

// TestLeavingEngines guards against calls that break when their engine is drained, stopped, or replaced by one with another
// version.
func TestLeavingEngines(t *testing.T) {
	f, engines := newEngineProxyFleet(t, 2, "Routing.MoveAfter="+moveAfter.String())
	t.Run("drained", func(t *testing.T) { testDrainedEngine(t, f, engines) })
	t.Run("stopped", func(t *testing.T) { testStoppedEngine(t, f, engines) })
	t.Run("returned with another version", func(t *testing.T) { testReturnedEngine(t, f, engines) })
}

// startLongCalls starts four completions, whose prompts begin with prefix, and returns a function that checks that all are
// complete and correct.
func startLongCalls(t *testing.T, f *fleet, prefix string, tokens int) func() {
	t.Helper()
	const calls = 4
	type reply struct {
		prompt string
		result callResult
	}
	replies := make(chan reply, calls)
	for n := range calls {
		prompt := fmt.Sprintf("%s long %d", prefix, n)
		go func() {
			replies <- reply{prompt, requestCompletion(context.Background(), f.entryHosts[0], "tekst", prompt, tokens)}
		}()
	}
	return func() {
		t.Helper()
		is := is.New(t)
		for range calls {
			r := <-replies
			is.True(r.result.completed)
			is.Equal(r.result.text, expectedText("v1", r.prompt, tokens))
			t.Logf("longest gap %v", r.result.longestGap())
		}
	}
}

// testDrainedEngine guards against calls that stay on a drained engine, and against a move that runs the prefill again
// instead of transferring the KV cache.
func testDrainedEngine(t *testing.T, f *fleet, engines []targetProxy) {
	is := is.New(t)
	check := startLongCalls(t, f, "drained", 250)
	time.Sleep(500 * time.Millisecond)
	leaving := f.busiestReplica(t, engines[2:4])
	other := engines[2]
	if other.name == leaving.name {
		other = engines[3]
	}
	mustPropose(t, f.entryHosts[0], newChange("drain", 0, hostMarkEntry(leaving.name, true)))
	time.Sleep(moveAfter + 500*time.Millisecond) // for the mark to spread and the calls to move
	lines := len(fetchTrace(t, leaving.target).Lines)
	is.Equal(hostReports(t, f.entryHosts[0])[leaving.name].GetState(), "Leaving")
	time.Sleep(500 * time.Millisecond)
	is.Equal(len(fetchTrace(t, leaving.target).Lines), lines) // the engine runs no call any more
	check()
	is.True(countMovedCalls(t, leaving.target, other.target) > 0)
	mustPropose(t, f.entryHosts[0], newChange("undrain", hostMarkRevision(t, f.entryHosts[0], leaving.name), hostMarkEntry(leaving.name, false)))
}

// hostMarkRevision returns the revision of the configuration entry with a host's drain mark.
func hostMarkRevision(t testing.TB, e *entryHost, host string) uint64 {
	t.Helper()
	_, body, err := sendOperatorRequest(e, http.MethodGet, "/v1/entries?Kind=HostMark", nil)
	if err != nil {
		t.Fatal(err)
	}
	var reply struct {
		Entries []struct {
			Revision uint64 `json:",string"`
			HostMark struct{ Host string }
		}
	}
	if err := json.Unmarshal(body, &reply); err != nil {
		t.Fatal(err)
	}
	for _, m := range reply.Entries {
		if m.HostMark.Host == host {
			return m.Revision
		}
	}
	t.Fatalf("no drain mark of host %s", host)
	return 0
}

// countMovedCalls counts the calls that moved from one engine to another within an attempt, and checks that each continued
// with one position right after the last one on the first engine.
func countMovedCalls(t *testing.T, from, to string) int {
	t.Helper()
	type key struct {
		call    string
		attempt uint32
	}
	next := map[key]uint32{}
	for _, l := range fetchTrace(t, from).Lines {
		next[key{l.Call, l.Attempt}] = l.Position + l.Count
	}
	first := map[key]*mangomessage.TraceLine{}
	for _, l := range fetchTrace(t, to).Lines {
		if k := (key{l.Call, l.Attempt}); first[k] == nil {
			first[k] = l
		}
	}
	n := 0
	for k, l := range first {
		if at, ok := next[k]; ok {
			n++
			if l.Position != at || l.Count != 1 {
				t.Errorf("call %s continues at position %d with %d positions, want 1 position at %d", k.call, l.Position, l.Count, at)
			}
		}
	}
	return n
}

// testStoppedEngine guards against calls that break, and an engine that does not exit, when it gets SIGTERM under load.
func testStoppedEngine(t *testing.T, f *fleet, engines []targetProxy) {
	is := is.New(t)
	check := startLongCalls(t, f, "stopped", 100)
	time.Sleep(500 * time.Millisecond)
	stopping := f.busiestReplica(t, engines[4:6])
	f.engines[stopping.name].signal(syscall.SIGTERM)
	is.Equal(f.engines[stopping.name].waitForExit(10*time.Second), 0)
	check()
	f.startEngine(stopping.spec)
}

// testReturnedEngine guards against calls for one version on an engine that was restarted under the same name with another
// version.
func testReturnedEngine(t *testing.T, f *fleet, engines []targetProxy) {
	is := is.New(t)
	check := startLongCalls(t, f, "returned", 100)
	time.Sleep(500 * time.Millisecond)
	p := f.busiestReplica(t, engines[:2])
	f.engines[p.name].kill()
	p.spec.version = "v2"
	f.startEngine(p.spec)
	check()
	is.Equal(countCallsRun(t, p.target), 0) // the restarted engine holds no layers of v1
	for i := 1; i < 3; i++ {
		from, to := stageLayers(i)
		f.startEngine(engineSpec{name: fmt.Sprintf("second-%d", i), centre: "nieuwegein", version: "v2", from: from, to: to})
	}
	f.publishHostList()
	mustPropose(t, f.entryHosts[0], newChange("p2", 0, profileEntry(modelProfile("tekst-v2", "v2"))))
	eventually(t, startTimeout, "v2 answers", func() bool {
		a := requestCompletion(context.Background(), f.entryHosts[0], "tekst-v2", "a returned cat", 5)
		return a.status == http.StatusOK && a.text == expectedText("v2", "a returned cat", 5)
	})
	is.True(countCallsRun(t, p.target) > 0)
}
