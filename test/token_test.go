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
	"google.golang.org/protobuf/encoding/protojson"

	"mangopath.org/mangopath/pkg/mangomessage"
)

const (
	// maxGapAfterKill and maxGapAfterSilence bound the time to the next token after an engine was killed, and after an
	// engine or its connections stopped responding.
	maxGapAfterKill    = time.Second
	maxGapAfterSilence = 2 * time.Second
)

// targetProxy is a proxy that can inject network faults, in front of an engine or another program. target is the address of
// that program, admin the one that takes the faults.
type targetProxy struct {
	name, target, admin string
	spec                engineSpec
}

// setFaults replaces the faults of the proxy; an empty map ends all of them.
func (p targetProxy) setFaults(t testing.TB, faults map[string]any) {
	t.Helper()
	status, body := postJSON(t, "http://"+p.admin+"/admin/faults", faults)
	if status != http.StatusOK && status != http.StatusNoContent {
		t.Fatalf("proxy faults: %d %s", status, body)
	}
}

// proxiedPipeline starts n replicas of each stage, each behind a proxy of its own.
func (f *fleet) proxiedPipeline(version, centre string, n int, flags ...string) []targetProxy {
	f.t.Helper()
	var all []targetProxy
	for i := range 3 {
		from, to := stageLayers(i)
		for r := range n {
			name, via := fmt.Sprintf("%s-%s-s%d-r%d", centre, version, i, r), freeAddress(f.t)
			spec := engineSpec{name: name, centre: centre, version: version, from: from, to: to, proxyAddress: via, flags: flags}
			spec.address = f.startEngine(spec)
			p := targetProxy{name: name, target: spec.address, admin: freeAddress(f.t), spec: spec}
			startProcess(f.t, "proxy-"+p.name, "mangostandin", "proxy", "--listen", via, "--target", p.target, "--admin", p.admin)
			eventually(f.t, startTimeout, "proxy answers", func() bool { return respondsOK("http://" + via + "/v1/state") })
			all = append(all, p)
		}
	}
	return all
}

// newEngineProxyFleet starts one entry host, a pipeline of three stages whose engines are behind fault proxies, and two service
// replicas.
func newEngineProxyFleet(t *testing.T, replicas int, settings ...string) (*fleet, []targetProxy) {
	t.Helper()
	f := newFleet(t)
	f.startEntryHost("a-entry", "nieuwegein", settings...)
	engines := f.proxiedPipeline("v1", "nieuwegein", replicas)
	f.startService("opvang-1", "nieuwegein")
	f.startService("opvang-2", "nieuwegein")
	f.publishHostList()
	f.declareStandardProfiles()
	f.waitServing("tekst")
	time.Sleep(time.Second) // until every replica is probed, so that all can be chosen
	return f, engines
}

// fetchTrace returns the trace of an engine: which layers it ran, for which positions of which calls.
func fetchTrace(t testing.TB, engine string) *mangomessage.Trace {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	_, data, _, err := sendRequest(ctx, http.MethodGet, "http://"+engine+"/v1/trace", nil, nil)
	if err != nil {
		t.Fatal(err)
	}
	lines := &mangomessage.Trace{}
	if err := json.Unmarshal(data, lines); err != nil {
		t.Fatal(err)
	}
	return lines
}

// tracedCalls returns the calls that engines ran so far.
func tracedCalls(t testing.TB, engines []string) map[string]bool {
	t.Helper()
	calls := map[string]bool{}
	for _, e := range engines {
		for _, l := range fetchTrace(t, e).Lines {
			calls[l.Call] = true
		}
	}
	return calls
}

// checkTraces checks, for calls that are not in old, that no layer ran twice for a position of an attempt, and that all
// layers ran for each position that the last stage ran. Layers of lostStage, whose engine died with its trace, may be
// missing; lostStage is -1 if no engine died.
func checkTraces(t testing.TB, engines []string, old map[string]bool, lostStage int) {
	t.Helper()
	type cell struct {
		call              string
		attempt, position uint32
	}
	ran := map[cell]map[uint32]int{}
	for _, e := range engines {
		for _, l := range fetchTrace(t, e).Lines {
			for p := l.Position; p < l.Position+l.Count && !old[l.Call]; p++ {
				c := cell{l.Call, l.Attempt, p}
				if ran[c] == nil {
					ran[c] = map[uint32]int{}
				}
				for layer := l.FromLayer; layer < l.ToLayer; layer++ {
					ran[c][layer]++
				}
			}
		}
	}
	if len(ran) == 0 {
		t.Error("the traces have no new call")
	}
	for c, byLayer := range ran {
		for layer := range uint32(modelLayers) {
			n := byLayer[layer]
			mayMiss := byLayer[modelLayers-1] == 0 || int(layer)/(modelLayers/3) == lostStage
			if n > 1 || n == 0 && !mayMiss {
				t.Errorf("layer %d ran %d times for %+v", layer, n, c)
			}
		}
	}
}

// hostReports returns what an entry host knows about each host, by name.
func hostReports(t testing.TB, e *entryHost) map[string]*mangomessage.HostReport {
	t.Helper()
	_, data, err := sendOperatorRequest(e, http.MethodGet, "/v1/hosts", nil)
	if err != nil {
		t.Fatal(err)
	}
	reports := &mangomessage.HostReports{}
	if err := protojson.Unmarshal(data, reports); err != nil {
		t.Fatal(err)
	}
	byName := map[string]*mangomessage.HostReport{}
	for _, h := range reports.Hosts {
		byName[h.Name] = h
	}
	return byName
}

// killBehindProxy kills an engine and makes its proxy refuse connections, as the address of a dead process does.
func (f *fleet) killBehindProxy(p targetProxy) {
	f.t.Helper()
	f.engines[p.name].kill()
	p.setFaults(f.t, map[string]any{"Cut": true})
}

// busiestReplica waits until a call runs on a stage, and returns the replica with the most calls in flight.
func (f *fleet) busiestReplica(t testing.TB, stage []targetProxy) targetProxy {
	t.Helper()
	best := stage[0]
	eventually(t, startTimeout, "a call runs on the stage", func() bool {
		reports := hostReports(t, f.entryHosts[0])
		for _, p := range stage {
			if reports[p.name].GetInFlight() > reports[best.name].GetInFlight() {
				best = p
			}
		}
		return reports[best.name].GetInFlight() > 0
	})
	return best
}

// stageFault is a fault of one replica that begin starts and end repairs. maxGap bounds the time between two tokens
// meanwhile.
type stageFault struct {
	name   string
	stages []int
	maxGap time.Duration
	begin  func(f *fleet, p targetProxy)
	end    func(f *fleet, p targetProxy)
	// traceLost is set if the engine dies and loses its trace, slow if the replica stays usable.
	traceLost, slow bool
}

// proxyFault returns a fault that the proxy injects.
func proxyFault(name string, bound time.Duration, faults map[string]any, stages ...int) stageFault {
	return stageFault{
		name: name, stages: stages, maxGap: bound,
		begin: func(f *fleet, p targetProxy) { p.setFaults(f.t, faults) },
		end:   func(f *fleet, p targetProxy) { p.setFaults(f.t, map[string]any{}) },
	}
}

// stageFaults returns the faults of TestAnswerSurvivesStageFaults.
func stageFaults() []stageFault {
	killed := stageFault{
		name: "killed", stages: []int{0, 1, 2}, maxGap: maxGapAfterKill, traceLost: true,
		begin: (*fleet).killBehindProxy,
		end: func(f *fleet, p targetProxy) {
			f.startEngine(p.spec)
			p.setFaults(f.t, map[string]any{})
		},
	}
	paused := stageFault{
		name: "process paused", stages: []int{1, 2}, maxGap: maxGapAfterSilence,
		begin: func(f *fleet, p targetProxy) { f.engines[p.name].signal(syscall.SIGSTOP) },
		end:   func(f *fleet, p targetProxy) { f.engines[p.name].signal(syscall.SIGCONT) },
	}
	faults := []stageFault{
		killed, paused,
		proxyFault("existing connections hang", maxGapAfterSilence, map[string]any{"Freeze": true}, 0, 1, 2),
		proxyFault("connections cut", maxGapAfterKill, map[string]any{"Cut": true}, 0, 2),
		proxyFault("replies cut", maxGapAfterSilence, map[string]any{"CutToCaller": true}, 0, 2),
		proxyFault("requests cut", maxGapAfterSilence, map[string]any{"CutToTarget": true}, 1),
		proxyFault("replies dropped", maxGapAfterKill, map[string]any{"DropReplies": 4}, 1),
		proxyFault("replies late", maxGapAfterSilence, map[string]any{"DelayMs": 700}, 1),
	}
	for _, slow := range []stageFault{
		proxyFault("link slowed", maxGapAfterSilence, map[string]any{"DelayMs": 60}, 0, 2),
		proxyFault("bandwidth slowed", maxGapAfterSilence, map[string]any{"Bandwidth": 4000}, 1),
	} {
		slow.slow = true
		faults = append(faults, slow)
	}
	return faults
}

// TestAnswerSurvivesStageFaults injects a fault into one stage while answers run, and compares their texts with those of a
// run without faults. It guards against lost, repeated and mixed tokens, layers that run twice in an attempt, and slow
// recovery.
func TestAnswerSurvivesStageFaults(t *testing.T) {
	f, engines := newEngineProxyFleet(t, 2)
	for _, c := range stageFaults() {
		for _, i := range c.stages {
			t.Run(fmt.Sprintf("%s at stage %d", c.name, i), func(t *testing.T) { checkStageFault(t, f, engines, c, i) })
		}
	}
}

// checkStageFault injects fault c into the busiest replica of stage i while answers run.
func checkStageFault(t *testing.T, f *fleet, engines []targetProxy, c stageFault, i int) {
	const calls = 6
	is := is.New(t)
	tokens, lostStage := 80, -1
	if c.slow {
		tokens = 40 // the rest of the answers goes on over the slow link
	}
	if c.traceLost {
		lostStage = i
	}
	var targets []string
	for _, p := range engines {
		targets = append(targets, p.target)
	}
	oldCalls := tracedCalls(t, targets)
	type reply struct {
		prompt string
		answer callResult
	}
	replies := make(chan reply, calls)
	for n := range calls {
		prompt := fmt.Sprintf("%s %d cat %d", c.name, i, n)
		go func() {
			replies <- reply{prompt, requestCompletion(context.Background(), f.entryHosts[0], "tekst", prompt, tokens)}
		}()
	}
	time.Sleep(400 * time.Millisecond) // until all answers are under way
	faulty := f.busiestReplica(t, engines[2*i:2*i+2])
	c.begin(f, faulty)
	var longest time.Duration
	for range calls {
		r := <-replies
		is.True(r.answer.completed) // the stream must end with its end mark
		is.Equal(r.answer.text, expectedText("v1", r.prompt, tokens))
		longest = max(longest, r.answer.longestGap())
	}
	t.Logf("recovery fault=%q stage=%d longest_gap_ms=%d", c.name, i, longest.Milliseconds())
	is.True(longest < c.maxGap) // the next token arrived in time
	if c.slow {
		before := countCallsRun(t, faulty.target)
		for n := range 8 {
			a := requestCompletion(context.Background(), f.entryHosts[0], "tekst", fmt.Sprintf("%s %d later %d", c.name, i, n), 2)
			is.True(a.completed)
		}
		is.Equal(countCallsRun(t, faulty.target), before) // new calls avoid the slow replica
	}
	c.end(f, faulty)
	eventually(t, startTimeout, "repaired host is live", func() bool {
		return hostReports(t, f.entryHosts[0])[faulty.name].GetState() == "Live"
	})
	checkTraces(t, targets, oldCalls, lostStage)
}

// TestAnswerSurvivesLossOfTwoStages guards against a recovery that fails when the engines of two stages die at once and
// that of the third stops answering during the recovery.
func TestAnswerSurvivesLossOfTwoStages(t *testing.T) {
	is := is.New(t)
	f, engines := newEngineProxyFleet(t, 3)
	result := make(chan callResult, 1)
	go func() { result <- requestCompletion(context.Background(), f.entryHosts[0], "tekst", "two stages", 150) }()
	time.Sleep(400 * time.Millisecond)
	var busiest []targetProxy
	for i := range 3 {
		busiest = append(busiest, f.busiestReplica(t, engines[3*i:3*i+3]))
	}
	f.engines[busiest[0].name].kill()
	f.engines[busiest[1].name].kill()
	time.Sleep(30 * time.Millisecond) // until the recovery is under way
	busiest[2].setFaults(t, map[string]any{"CutToCaller": true})
	a := <-result
	is.True(a.completed)
	is.Equal(a.text, expectedText("v1", "two stages", 150))
	t.Logf("longest gap %v", a.longestGap())
	is.True(a.longestGap() < maxGapAfterSilence)
}

// TestAnswerSurvivesRepeatedLoss kills twice the hosts on which an answer runs. It guards against slow recovery, and
// against a request that is taken for the cause of the crashes because it ran on these hosts both times.
func TestAnswerSurvivesRepeatedLoss(t *testing.T) {
	is := is.New(t)
	f, engines := newEngineProxyFleet(t, 3)
	result := make(chan callResult, 1)
	go func() { result <- requestCompletion(context.Background(), f.entryHosts[0], "tekst", "lost twice", 150) }()
	time.Sleep(300 * time.Millisecond)
	for _, stages := range [][]int{{0, 1}, {0, 2}} {
		var busiest []targetProxy
		for _, i := range stages {
			busiest = append(busiest, f.busiestReplica(t, engines[3*i:3*i+3]))
		}
		for _, p := range busiest {
			f.killBehindProxy(p)
		}
		time.Sleep(800 * time.Millisecond) // until the recovered attempt has run for longer than the one before
	}
	a := <-result
	is.True(a.completed)
	is.Equal(a.text, expectedText("v1", "lost twice", 150))
	t.Logf("longest gap %v", a.longestGap())
	is.True(a.longestGap() < maxGapAfterKill)
}

// TestBrokenAnswerNeverLooksWhole guards against a stream that ends like a complete answer although its upstreams are gone.
func TestBrokenAnswerNeverLooksWhole(t *testing.T) {
	is := is.New(t)
	f, engines := newEngineProxyFleet(t, 1)
	result := make(chan callResult, 1)
	go func() { result <- requestCompletion(context.Background(), f.entryHosts[0], "tekst", "no way out", 300) }()
	time.Sleep(400 * time.Millisecond)
	for _, p := range engines {
		f.engines[p.name].kill()
	}
	a := <-result
	is.True(!a.completed)
	full := expectedText("v1", "no way out", 300)
	is.True(len(a.text) < len(full) && full[:len(a.text)] == a.text)
}
