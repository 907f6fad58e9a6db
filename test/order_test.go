package test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"mangopath.org/mangopath/pkg/mangomessage"
)

// fastPlacementSettings shorten the interval and the time limits of placement, so that a test sees its effects in seconds.
var fastPlacementSettings = []string{"Placement.Interval=100ms", "Placement.LeaseTime=2s", "Placement.OrderTimeout=300ms"}

// startEmptyEngines starts n engines without a model, each behind a fault proxy if proxied is set. It returns the names,
// the addresses of the engines by name, and the proxies.
func (f *fleet) startEmptyEngines(n int, proxied bool, flags ...string) (names []string, addresses map[string]string, proxies []targetProxy) {
	f.t.Helper()
	addresses = map[string]string{}
	flags = append([]string{"--model", "", "--lag", "0s", "--weights-time", "300ms"}, flags...)
	for i := range n {
		spec := engineSpec{name: fmt.Sprintf("engine-%d", i), centre: "nieuwegein", flags: flags}
		if proxied {
			spec.proxyAddress = freeAddress(f.t)
		}
		at := f.startEngine(spec)
		if proxied {
			p := targetProxy{name: spec.name, target: at, admin: freeAddress(f.t)}
			startProcess(f.t, "proxy-"+p.name, "mangostandin", "proxy", "--listen", spec.proxyAddress, "--target", at, "--admin", p.admin)
			eventually(f.t, startTimeout, "proxy answers", func() bool { return respondsOK("http://" + spec.proxyAddress + "/v1/state") })
			proxies = append(proxies, p)
		}
		names, addresses[spec.name] = append(names, spec.name), at
	}
	return names, addresses, proxies
}

// autoPlacedProfile returns a profile of three stages, for which the daemons choose the layers of each host.
func autoPlacedProfile(version string, hosts []string) *mangomessage.Profile {
	p := modelProfile("tekst-v1", version)
	p.Stages = []uint32{0, 4, 8, modelLayers}
	p.Places = []*mangomessage.Place{{DataCentre: "nieuwegein", Hosts: hosts}}
	return p
}

// fetchEngineState returns the state that an engine reports, or nil if it does not answer.
func fetchEngineState(address string) *mangomessage.EngineState {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	s := &mangomessage.EngineState{}
	_, data, _, err := sendRequest(ctx, http.MethodGet, "http://"+address+"/v1/state", nil, nil)
	if err != nil || json.Unmarshal(data, s) != nil {
		return nil
	}
	return s
}

// engineSampler polls engines and records which layers they hold and which loads they run.
type engineSampler struct {
	stop chan struct{}
	done chan struct{}
	// loadCounts counts the loads that each engine started. maxLoading is the highest number of simultaneous loads,
	// maxLoadingPerStage the highest within one stage.
	loadCounts                     map[string]int
	maxLoading, maxLoadingPerStage int
	// incompleteSamples counts the samples in which no version had a loaded engine for every stage, after the first sample
	// in which one had.
	incompleteSamples, samples int
}

// startEngineSampler samples engines at short intervals until stopAndWait is called.
func startEngineSampler(addresses map[string]string, names []string) *engineSampler {
	es := &engineSampler{stop: make(chan struct{}), done: make(chan struct{}), loadCounts: map[string]int{}}
	go func() {
		defer close(es.done)
		lastLoading := map[string]string{}
		everComplete := false
		for {
			select {
			case <-es.stop:
				return
			case <-time.After(pollInterval):
				everComplete = es.sample(addresses, names, lastLoading, everComplete)
			}
		}
	}()
	return es
}

// sample polls each engine once; it takes engine i for a replica of stage i%3. lastLoading has what each engine loaded in
// the last sample, everComplete says that a sample had a replica of every stage. It returns the new everComplete.
func (es *engineSampler) sample(addresses map[string]string, names []string, lastLoading map[string]string, everComplete bool) bool {
	states := make([]*mangomessage.EngineState, len(names))
	var group sync.WaitGroup
	for i, n := range names {
		group.Go(func() { states[i] = fetchEngineState(addresses[n]) })
	}
	group.Wait()
	loading, byStage, ranges := 0, map[int]int{}, map[string]map[uint32]bool{}
	for i, s := range states {
		if s.GetLoading() != "" {
			loading++
			byStage[i%3]++
			if lastLoading[names[i]] == "" {
				es.loadCounts[names[i]]++
			}
		} else if s.GetToLayer() > 0 {
			if ranges[s.Version] == nil {
				ranges[s.Version] = map[uint32]bool{}
			}
			ranges[s.Version][s.FromLayer] = true
		}
		lastLoading[names[i]] = s.GetLoading()
	}
	es.samples++
	es.maxLoading = max(es.maxLoading, loading)
	completeNow := false
	for _, r := range ranges {
		completeNow = completeNow || len(r) == 3
	}
	for _, n := range byStage {
		es.maxLoadingPerStage = max(es.maxLoadingPerStage, n)
	}
	if everComplete && !completeNow {
		es.incompleteSamples++
	}
	return everComplete || completeNow
}

// stopAndWait ends the sampling; the fields may be read afterwards.
func (es *engineSampler) stopAndWait() {
	close(es.stop)
	<-es.done
}

// newPlacementFleet starts two entry hosts with placement and empty engines, and declares a customer but no profile.
func newPlacementFleet(t *testing.T, engines int, proxied bool, flags, settings []string) (*fleet, []string, map[string]string, []targetProxy) {
	t.Helper()
	f := newFleet(t)
	for i := range 2 {
		f.startEntryHost(entryName(i), "nieuwegein", append(append([]string{}, fastPlacementSettings...), settings...)...)
	}
	names, addresses, proxies := f.startEmptyEngines(engines, proxied, flags...)
	f.publishHostList()
	mustPropose(t, f.entryHosts[0], newChange("c1", 0, customerEntry("shelter", digestOf(customerKey))))
	return f, names, addresses, proxies
}

// placementStatus returns whether an entry host holds the placement lease, and the fencing number that it knows.
func placementStatus(e *entryHost) (placing bool, number json.Number) {
	_, body, err := sendOperatorRequest(e, http.MethodGet, "/v1/status", nil)
	var s struct {
		Placing       bool
		FencingNumber json.Number
	}
	if err != nil || json.Unmarshal(body, &s) != nil {
		return false, ""
	}
	return s.Placing, s.FencingNumber
}

// waitLeaseHolder waits until an entry host holds the placement lease, and returns it and the other entry host.
func waitLeaseHolder(t *testing.T, entries []*entryHost) (holder, other *entryHost) {
	t.Helper()
	eventually(t, 10*time.Second, "an entry host holds the placement lease", func() bool {
		for i, e := range entries {
			if placing, _ := placementStatus(e); placing {
				holder, other = e, entries[(i+1)%len(entries)]
				return true
			}
		}
		return false
	})
	return holder, other
}

// profileRevision returns the revision of the profile tekst-v1.
func profileRevision(t *testing.T, e *entryHost) uint64 { return entryRevision(t, e, "tekst-v1") }

// Guards against a profile whose layers no engine loads, against more simultaneous loads than Placement.WeightRate allows,
// and against a placement lease that an entry host keeps after it shut down.
func TestEmptyEnginesAreLoadedAndServe(t *testing.T) {
	is := is.New(t)
	f, names, addresses, _ := newPlacementFleet(t, 6, false, nil, []string{"Placement.WeightRate=2"})
	es := startEngineSampler(addresses, names)
	begin := time.Now()
	mustPropose(t, f.entryHosts[0], newChange("p1", 0, profileEntry(autoPlacedProfile("v1", names))))
	eventually(t, 20*time.Second, "all engines loaded", func() bool {
		for _, n := range names {
			if fetchEngineState(addresses[n]).GetVersion() != "v1" {
				return false
			}
		}
		return true
	})
	t.Logf("loaded after %v", time.Since(begin))
	for _, e := range f.entryHosts {
		eventually(t, 5*time.Second, e.name+" serves", func() bool {
			return requestCompletion(context.Background(), e, "tekst-v1", "x", 4).text == expectedText("v1", "x", 4)
		})
	}
	es.stopAndWait()
	t.Logf("most simultaneous loads %d, loads by engine %v", es.maxLoading, es.loadCounts)
	is.True(es.maxLoading <= 2)
	for _, n := range names {
		is.Equal(es.loadCounts[n], 1)
	}
	holder, other := waitLeaseHolder(t, f.entryHosts)
	is.True(strings.Contains(holder.output.String(), "event=placement "))
	begin = time.Now()
	holder.signal(syscall.SIGTERM)
	eventually(t, 1500*time.Millisecond, "lease passed on before it expires", func() bool {
		placing, _ := placementStatus(other)
		return placing
	})
	t.Logf("lease passed on after %v", time.Since(begin))
	is.Equal(holder.waitForExit(10*time.Second), 0)
}

// Guards against a lease holder that was paused until its lease expired and, once resumed, makes engines load a version
// that is no longer in force. It covers engines that refuse an old fencing number and engines that ignore it.
func TestPausedLeaseHolderSendsNoOutdatedOrder(t *testing.T) {
	for _, fenced := range []bool{true, false} {
		t.Run(fmt.Sprintf("fenced %v", fenced), func(t *testing.T) {
			settings := []string{"Placement.WeightRate=6"}
			if fenced {
				settings = append(settings, "Placement.FencedKinds=a100")
			}
			f, names, addresses, _ := newPlacementFleet(t, 3, false, []string{fmt.Sprintf("--fenced=%v", fenced)}, settings)
			mustPropose(t, f.entryHosts[0], newChange("p1", 0, profileEntry(autoPlacedProfile("v1", names))))
			f.waitServing("tekst-v1")
			for round, version := range []string{"v2", "v1", "v2"} { // the third round repeats the orders of the first
				holder, other := waitLeaseHolder(t, f.entryHosts)
				_, before := placementStatus(holder)
				holder.signal(syscall.SIGSTOP)
				mustPropose(t, other, newChange(fmt.Sprintf("r%d", round), profileRevision(t, other), profileEntry(autoPlacedProfile(version, names))))
				took := eventually(t, 15*time.Second, "other entry host serves "+version, func() bool {
					return requestCompletion(context.Background(), other, "tekst-v1", "x", 4).text == expectedText(version, "x", 4)
				})
				holder.signal(syscall.SIGCONT)
				_, after := placementStatus(other)
				t.Logf("%s serves after %v, fencing number %s after %s", version, took, after, before)
				eventually(t, changeBound, "resumed entry host serves "+version, func() bool {
					return requestCompletion(context.Background(), holder, "tekst-v1", "x", 4).text == expectedText(version, "x", 4)
				})
				f.checkVersionStays("tekst-v1", version, f.entryHosts, 2*time.Second)
				for _, n := range names {
					is.New(t).Equal(fetchEngineState(addresses[n]).GetVersion(), version)
				}
			}
		})
	}
}

// Guards against a placement order that is given up or carried out twice when its reply is lost.
func TestPlacementOrderWithLostReply(t *testing.T) {
	for _, c := range []struct {
		name     string
		faults   map[string]any
		duration time.Duration
	}{
		// Probes of the engines use up some of the drops before the order is sent.
		{"replies dropped", map[string]any{"DropReplies": 6}, 0},
		{"replies held back", map[string]any{"CutToCaller": true}, time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f, names, addresses, proxies := newPlacementFleet(t, 3, true, nil, []string{"Placement.WeightRate=3"})
			mustPropose(t, f.entryHosts[0], newChange("p1", 0, profileEntry(autoPlacedProfile("v1", names))))
			f.waitServing("tekst-v1")
			es := startEngineSampler(addresses, names)
			seen := profileRevision(t, f.entryHosts[0])
			for _, p := range proxies {
				p.setFaults(t, c.faults)
			}
			mustPropose(t, f.entryHosts[0], newChange("p2", seen, profileEntry(autoPlacedProfile("v2", names))))
			if c.duration > 0 {
				time.Sleep(c.duration)
				for _, p := range proxies {
					p.setFaults(t, map[string]any{})
				}
			}
			f.waitServing("tekst-v1")
			f.checkVersionStays("tekst-v1", "v2", f.entryHosts, 5*time.Second) // longer than an order without reply counts as pending
			es.stopAndWait()
			unanswered := 0
			for _, e := range f.entryHosts {
				for line := range strings.Lines(e.output.String()) {
					if strings.Contains(line, "event=placement ") {
						t.Log(line)
					}
				}
				unanswered += strings.Count(e.output.String(), "placement order without reply")
			}
			t.Logf("orders without reply %d, loads by engine %v", unanswered, es.loadCounts)
			is.True(unanswered > 0)
			for _, n := range names {
				is.Equal(es.loadCounts[n], 1)
			}
		})
	}
}

// Guards against a change of version on the same engines that reloads all replicas of a stage at once, although one of
// them could go on serving.
func TestVersionChangeInPlaceKeepsStagesAvailable(t *testing.T) {
	is := is.New(t)
	f, names, addresses, _ := newPlacementFleet(t, 6, false, nil, []string{"Placement.WeightRate=6"})
	mustPropose(t, f.entryHosts[0], newChange("p1", 0, profileEntry(autoPlacedProfile("v1", names))))
	f.waitServing("tekst-v1")
	eventually(t, 20*time.Second, "all engines loaded", func() bool {
		for _, n := range names {
			if fetchEngineState(addresses[n]).GetVersion() != "v1" {
				return false
			}
		}
		return true
	})
	time.Sleep(4 * time.Second) // until the last orders of the first load are settled
	es := startEngineSampler(addresses, names)
	mustPropose(t, f.entryHosts[0], newChange("p2", profileRevision(t, f.entryHosts[0]), profileEntry(autoPlacedProfile("v2", names))))
	begin, refused := time.Now(), 0
	eventually(t, 30*time.Second, "all engines changed", func() bool {
		for _, e := range f.entryHosts {
			if a := requestCompletion(context.Background(), e, "tekst-v1", "x", 2); !a.completed {
				refused++
			}
		}
		for _, n := range names {
			if fetchEngineState(addresses[n]).GetVersion() != "v2" {
				return false
			}
		}
		return true
	})
	es.stopAndWait()
	t.Logf("changed after %v, most simultaneous loads of one stage %d, incomplete samples %d of %d, calls refused meanwhile %d",
		time.Since(begin), es.maxLoadingPerStage, es.incompleteSamples, es.samples, refused)
	is.Equal(es.maxLoadingPerStage, 1)
	is.Equal(es.incompleteSamples, 0)
}
