package test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"mangopath.org/mangopath/internal/mangobench"
	"mangopath.org/mangopath/internal/mangoload"
	"mangopath.org/mangopath/internal/mangonaive"
)

const (
	// recoveryCalls is the number of concurrent calls that a fault affects, recoveryTokens the tokens of each.
	recoveryCalls  = 6
	recoveryTokens = 100
	// outageCallRate is the load, in calls per second, around the outage of a stage. outagePhase is the length of each of
	// the three phases before, during and after the outage.
	outageCallRate = 20
	outagePhase    = 5 * time.Second
)

// recoveryFleet runs two entry hosts and two naive routers in front of two replicas of each stage. Each replica is behind a
// fault proxy.
type recoveryFleet struct {
	*fleet
	// proxiedEngines are ordered by stage, two for each.
	proxiedEngines []targetProxy
	naiveRouters   []*process
	// routerURLs are the base URLs of the instances by router, mangopath or naive.
	routerURLs map[string][]string
}

// newRecoveryFleet starts the fleet and waits until both routers serve the profile "tekst".
func newRecoveryFleet(t *testing.T) *recoveryFleet {
	t.Helper()
	f := &recoveryFleet{fleet: newFleet(t), routerURLs: map[string][]string{}}
	for _, name := range []string{"a-entry", "b-entry"} {
		f.routerURLs["mangopath"] = append(f.routerURLs["mangopath"], "http://"+f.startEntryHost(name, "nieuwegein").callerAddress)
	}
	f.proxiedEngines = f.proxiedPipeline("v1", "nieuwegein", 2)
	f.startService("opvang-1", "nieuwegein")
	f.startService("opvang-2", "nieuwegein")
	f.publishHostList()
	f.declareStandardProfiles()
	f.waitServing("tekst")
	profile := mangonaive.Profile{Name: "tekst", Model: "tekst-model", Version: "v1"}
	for i := range 3 {
		from, to := stageLayers(i)
		s := mangonaive.Stage{FromLayer: uint32(from), ToLayer: uint32(to)}
		for _, p := range f.proxiedEngines[2*i : 2*i+2] {
			s.Replicas = append(s.Replicas, f.listedAddress(p.name))
		}
		profile.Stages = append(profile.Stages, s)
	}
	file := filepath.Join(f.dir, "replicas.json")
	data, _ := json.Marshal(mangonaive.Settings{Profiles: []mangonaive.Profile{profile}, TimeoutMs: 2000, Retries: 2})
	if err := os.WriteFile(file, data, 0o600); err != nil {
		t.Fatal(err)
	}
	for range 2 {
		at := freeAddress(t)
		f.naiveRouters = append(f.naiveRouters, startProcess(t, "naive", "mangostandin", "naive", "--address", at, "--replicas", file))
		f.routerURLs["naive"] = append(f.routerURLs["naive"], "http://"+at)
		eventually(t, startTimeout, "the naive router answers a completion", func() bool {
			return requestCompletionAs(context.Background(), "http://"+at, "", "tekst", "warm up", 2).completed
		})
	}
	time.Sleep(time.Second) // gives the entry hosts time to probe every replica, so that each can be selected
	return f
}

// listedAddress returns the address of a host in the host list, which for an engine is that of its fault proxy.
func (f *recoveryFleet) listedAddress(name string) string {
	for _, h := range f.hostList {
		if h.Name == name {
			return h.Address
		}
	}
	return ""
}

// benchRecovery measures how both routers recover from the same faults: an engine that is killed, hangs or becomes slow, a
// router instance that is killed, and a stage without replicas.
func benchRecovery(t *testing.T, report *mangobench.Report) {
	faults := []struct {
		name  string
		fault func(f *recoveryFleet)
	}{
		{"stage killed", func(f *recoveryFleet) { f.fleet.engines[f.proxiedEngines[0].name].kill() }},
		{"stage's connections hang", func(f *recoveryFleet) { f.proxiedEngines[0].setFaults(f.t, map[string]any{"Freeze": true}) }},
		// 30 ms is 100 times a one-way latency of 0.3 ms.
		{"link 100x slower", func(f *recoveryFleet) { f.proxiedEngines[0].setFaults(f.t, map[string]any{"DelayMs": 30}) }},
	}
	for _, c := range faults {
		t.Run(c.name, func(t *testing.T) {
			f := newRecoveryFleet(t)
			results := map[string]chan callResult{}
			for router, urls := range f.routerURLs {
				results[router] = f.startCalls(urls[0])
			}
			time.Sleep(500 * time.Millisecond)
			c.fault(f)
			for _, router := range []string{"mangopath", "naive"} {
				longest, whole := time.Duration(0), 0.0
				for range recoveryCalls {
					a := <-results[router]
					longest = max(longest, a.longestGap())
					if a.completed {
						whole++
					}
				}
				report.Recovery = append(report.Recovery, mangobench.Recovery{
					Router: router, Fault: c.name, Measure: "longest time to a next token, s", Value: longest.Seconds(), Whole: whole / recoveryCalls,
				})
			}
		})
	}
	t.Run("entry host", func(t *testing.T) { benchEntryLoss(newRecoveryFleet(t), report) })
	t.Run("stage without replicas", func(t *testing.T) { benchStageOutage(newRecoveryFleet(t), report) })
}

// startCalls starts recoveryCalls completions at a router and returns the channel that receives their answers.
func (f *recoveryFleet) startCalls(url string) chan callResult {
	results := make(chan callResult, recoveryCalls)
	for i := range recoveryCalls {
		go func() {
			results <- requestCompletionAs(context.Background(), url, customerKey, "tekst", fmt.Sprintf("cat %d", i), recoveryTokens)
		}()
	}
	return results
}

// benchEntryLoss kills the router instance that serves the calls and measures how soon a caller that retries at the other
// instance gets a token.
func benchEntryLoss(f *recoveryFleet, report *mangobench.Report) {
	for router, first := range map[string]*process{"mangopath": f.entryHosts[0].process, "naive": f.naiveRouters[0]} {
		lost := f.startCalls(f.routerURLs[router][0])
		time.Sleep(500 * time.Millisecond)
		killed := time.Now()
		first.signal(syscall.SIGKILL)
		whole := 0.0
		var next time.Duration
		for range recoveryCalls {
			<-lost
			a := requestCompletionAs(context.Background(), f.routerURLs[router][1], customerKey, "tekst", "again", 4)
			if a.completed {
				whole++
			}
			if next == 0 && len(a.tokenTimes) > 0 {
				next = a.tokenTimes[0].Sub(killed)
			}
		}
		report.Recovery = append(report.Recovery, mangobench.Recovery{
			Router: router, Fault: "entry host killed", Measure: "next token elsewhere, s", Value: next.Seconds(), Whole: whole / recoveryCalls,
		})
	}
}

// benchStageOutage counts the new connections to upstreams before, during and after an outage of all replicas of a stage, to
// show whether a router's retries turn into a connection storm.
func benchStageOutage(f *recoveryFleet, report *mangobench.Report) {
	for _, router := range []string{"mangopath", "naive"} {
		done := make(chan mangoload.Result, 1)
		plan := mangoload.Plan{
			Targets: f.routerURLs[router], Customers: []mangoload.Customer{{Name: "shelter", Key: customerKey}},
			DurationMs: (3 * outagePhase).Milliseconds(), Seed: 1,
			Kinds: []mangoload.CallKind{{Name: "tekst", Profile: "tekst", Rate: outageCallRate, PromptWords: 5, MaxTokens: 10, DeadlineMs: 4000}},
		}
		go func() { done <- mangoload.New(plan).Run(context.Background()) }()
		phases := []string{"before", "during", "after"}
		for i, phase := range phases {
			begin := f.acceptedConnections()
			if i == 1 {
				f.killFirstStage()
			}
			time.Sleep(outagePhase)
			report.Recovery = append(report.Recovery, mangobench.Recovery{
				Router: router, Fault: "no replica of a stage for 5 s", Measure: "connections to upstreams per second, " + phase,
				Value: float64(f.acceptedConnections()-begin) / outagePhase.Seconds(), Whole: -1,
			})
			if i == 1 {
				f.restartFirstStage()
			}
		}
		result := <-done
		report.Recovery[len(report.Recovery)-1].Whole = result.Total.GoodputShare
	}
}

// killFirstStage kills both replicas of the first stage.
func (f *recoveryFleet) killFirstStage() {
	for _, p := range f.proxiedEngines[:2] {
		f.fleet.engines[p.name].kill()
	}
}

// restartFirstStage starts both replicas of the first stage again at their addresses.
func (f *recoveryFleet) restartFirstStage() {
	for _, p := range f.proxiedEngines[:2] {
		f.engines[p.name] = startProcess(f.t, p.name, "mangostandin", "engine", "--address", p.target, "--host", p.name, "--kind", "a100",
			"--model", "tekst-model", "--version", "v1", "--from-layer", "0", "--to-layer", "4", "--max-batch", "8",
			"--step-time", "5ms", "--prefill-time", "100us", "--lag", "200ms", "--end-probability", "0")
	}
}

// acceptedConnections returns how many connections the fault proxies of all engines have accepted so far.
func (f *recoveryFleet) acceptedConnections() uint64 {
	sum := uint64(0)
	for _, p := range f.proxiedEngines {
		_, data, _, err := sendRequest(context.Background(), http.MethodGet, "http://"+p.admin+"/admin/state", nil, nil)
		var state struct{ Accepted uint64 }
		if err != nil || json.Unmarshal(data, &state) != nil {
			f.t.Fatalf("read the state of a fault proxy: error %v, body %s", err, data)
		}
		sum += state.Accepted
	}
	return sum
}
