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

// quickPlacement makes placement act within the times of a test.
var fastPlacementSettings = []string{"Placement.Interval=100ms", "Placement.LeaseTime=2s", "Placement.OrderTimeout=300ms"}

// startEmptyEngines starts engines that hold nothing and returns their names and addresses; each is behind a proxy if proxied.
func (f *fleet) startEmptyEngines(n int, through bool, flags ...string) (names []string, addresses map[string]string, proxies []targetProxy) {
	f.t.Helper()
	addresses = map[string]string{}
	flags = append([]string{"--model", "", "--lag", "0s", "--weights-time", "300ms"}, flags...)
	for i := range n {
		spec := engineSpec{name: fmt.Sprintf("engine-%d", i), centre: "nieuwegein", flags: flags}
		if through {
			spec.proxyAddress = freeAddress(f.t)
		}
		at := f.startEngine(spec)
		if through {
			p := targetProxy{name: spec.name, target: at, admin: freeAddress(f.t)}
			startProcess(f.t, "proxy-"+p.name, "mangostandin", "proxy", "--listen", spec.proxyAddress, "--target", at, "--admin", p.admin)
			eventually(f.t, startTimeout, "proxy answers", func() bool { return respondsOK("http://" + spec.proxyAddress + "/v1/state") })
			proxies = append(proxies, p)
		}
		names, addresses[spec.name] = append(names, spec.name), at
	}
	return names, addresses, proxies
}

// autoPlacedProfile is a profile whose placement is up to the daemons.
func autoPlacedProfile(version string, hosts []string) *mangomessage.Profile {
	p := modelProfile("tekst-v1", version)
	p.Stages = []uint32{0, 4, 8, modelLayers}
	p.Places = []*mangomessage.Place{{DataCentre: "nieuwegein", Hosts: hosts}}
	return p
}

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

// engineSampler samples what engines hold and load.
type engineSampler struct {
	stop chan struct{}
	done chan struct{}
	// loads counts the loads of each engine, most is the highest number at a time and ofStage that for one stage.
	loadCounts                     map[string]int
	maxLoading, maxLoadingPerStage int
	// gaps counts samples without a complete set of replicas of one version, after the first complete one.
	incompleteSamples, samples int
}

func startEngineSampler(addresses map[string]string, names []string) *engineSampler {
	w := &engineSampler{stop: make(chan struct{}), done: make(chan struct{}), loadCounts: map[string]int{}}
	go func() {
		defer close(w.done)
		before := map[string]string{}
		complete := false
		for {
			select {
			case <-w.stop:
				return
			case <-time.After(pollInterval):
				complete = w.sample(addresses, names, before, complete)
			}
		}
	}()
	return w
}

func (w *engineSampler) sample(addresses map[string]string, names []string, before map[string]string, complete bool) bool {
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
			if before[names[i]] == "" {
				w.loadCounts[names[i]]++
			}
		} else if s.GetToLayer() > 0 {
			if ranges[s.Version] == nil {
				ranges[s.Version] = map[uint32]bool{}
			}
			ranges[s.Version][s.FromLayer] = true
		}
		before[names[i]] = s.GetLoading()
	}
	w.samples++
	w.maxLoading = max(w.maxLoading, loading)
	whole := false
	for _, r := range ranges {
		whole = whole || len(r) == 3
	}
	for _, n := range byStage {
		w.maxLoadingPerStage = max(w.maxLoadingPerStage, n)
	}
	if complete && !whole {
		w.incompleteSamples++
	}
	return complete || whole
}

func (w *engineSampler) stopAndWait() {
	close(w.stop)
	<-w.done
}

// newPlacementFleet starts entry hosts over empty engines with a profile whose stages have to be loaded, and waits for it.
func newPlacementFleet(t *testing.T, engines int, through bool, flags, settings []string) (*fleet, []string, map[string]string, []targetProxy) {
	t.Helper()
	f := newFleet(t)
	for i := range 2 {
		f.startEntryHost(entryName(i), "nieuwegein", append(append([]string{}, fastPlacementSettings...), settings...)...)
	}
	names, addresses, proxies := f.startEmptyEngines(engines, through, flags...)
	f.publishHostList()
	mustPropose(t, f.entryHosts[0], newChange("c1", 0, customerEntry("shelter", digestOf(customerKey))))
	return f, names, addresses, proxies
}

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

// waitLeaseHolder waits for the entry host that holds the placement lease.
func waitLeaseHolder(t *testing.T, entries []*entryHost) (held, other *entryHost) {
	t.Helper()
	eventually(t, 10*time.Second, "an entry host places", func() bool {
		for i, e := range entries {
			if placing, _ := placementStatus(e); placing {
				held, other = e, entries[(i+1)%len(entries)]
				return true
			}
		}
		return false
	})
	return held, other
}

// profileRevision returns the revision of the placed profile.
func profileRevision(t *testing.T, e *entryHost) uint64 { return entryRevision(t, e, "tekst-v1") }

// Guards against profiles that ask for layers which nobody loads, against more loads at a time than the weights store
// takes, and against a lease that stays with an entry host that shut down.
func TestEmptyEnginesAreLoadedAndServe(t *testing.T) {
	is := is.New(t)
	f, names, addresses, _ := newPlacementFleet(t, 6, false, nil, []string{"Placement.WeightRate=2"})
	w := startEngineSampler(addresses, names)
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
	w.stopAndWait()
	t.Logf("most loads at a time %d, loads %v", w.maxLoading, w.loadCounts)
	is.True(w.maxLoading <= 2)
	for _, n := range names {
		is.Equal(w.loadCounts[n], 1)
	}
	held, other := waitLeaseHolder(t, f.entryHosts)
	is.True(strings.Contains(held.output.String(), "event=placement "))
	begin = time.Now()
	held.signal(syscall.SIGTERM)
	eventually(t, 1500*time.Millisecond, "lease passed on before it ends by itself", func() bool {
		placing, _ := placementStatus(other)
		return placing
	})
	t.Logf("lease passed on after %v", time.Since(begin))
	is.Equal(held.waitForExit(10*time.Second), 0)
}

// Guards against a holder that was paused past its lease and brings engines back to a profile that is no longer in
// force, for engines that refuse an old fencing number and for those that ignore it.
func TestPausedHolderOrdersNothingOld(t *testing.T) {
	for _, fenced := range []bool{true, false} {
		t.Run(fmt.Sprintf("fenced %v", fenced), func(t *testing.T) {
			settings := []string{"Placement.WeightRate=6"}
			if fenced {
				settings = append(settings, "Placement.FencedKinds=a100")
			}
			f, names, addresses, _ := newPlacementFleet(t, 3, false, []string{fmt.Sprintf("--fenced=%v", fenced)}, settings)
			mustPropose(t, f.entryHosts[0], newChange("p1", 0, profileEntry(autoPlacedProfile("v1", names))))
			f.waitServing("tekst-v1")
			for round, version := range []string{"v2", "v1", "v2"} { // the same order again
				held, other := waitLeaseHolder(t, f.entryHosts)
				_, before := placementStatus(held)
				held.signal(syscall.SIGSTOP)
				mustPropose(t, other, newChange(fmt.Sprintf("r%d", round), profileRevision(t, other), profileEntry(autoPlacedProfile(version, names))))
				took := eventually(t, 15*time.Second, "other entry host serves "+version, func() bool {
					return requestCompletion(context.Background(), other, "tekst-v1", "x", 4).text == expectedText(version, "x", 4)
				})
				held.signal(syscall.SIGCONT)
				_, after := placementStatus(other)
				t.Logf("%s serves after %v, fencing number %s after %s", version, took, after, before)
				eventually(t, changeBound, "resumed entry host serves "+version, func() bool {
					return requestCompletion(context.Background(), held, "tekst-v1", "x", 4).text == expectedText(version, "x", 4)
				})
				f.checkVersionStays("tekst-v1", version, f.entryHosts, 2*time.Second)
				for _, n := range names {
					is.New(t).Equal(fetchEngineState(addresses[n]).GetVersion(), version)
				}
			}
		})
	}
}

// Guards against an order whose reply is lost being given up, or carried out twice.
func TestLostReplyOfOrder(t *testing.T) {
	for _, c := range []struct {
		name   string
		faults map[string]any
		lasts  time.Duration
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
			w := startEngineSampler(addresses, names)
			seen := profileRevision(t, f.entryHosts[0])
			for _, p := range proxies {
				p.setFaults(t, c.faults)
			}
			mustPropose(t, f.entryHosts[0], newChange("p2", seen, profileEntry(autoPlacedProfile("v2", names))))
			if c.lasts > 0 {
				time.Sleep(c.lasts)
				for _, p := range proxies {
					p.setFaults(t, map[string]any{})
				}
			}
			f.waitServing("tekst-v1")
			f.checkVersionStays("tekst-v1", "v2", f.entryHosts, 5*time.Second) // longer than an order counts as pending
			w.stopAndWait()
			lost := 0
			for _, e := range f.entryHosts {
				for line := range strings.Lines(e.output.String()) {
					if strings.Contains(line, "event=placement ") {
						t.Log(line)
					}
				}
				lost += strings.Count(e.output.String(), "placement order without reply")
			}
			t.Logf("orders without reply %d, loads %v", lost, w.loadCounts)
			is.True(lost > 0)
			for _, n := range names {
				is.Equal(w.loadCounts[n], 1)
			}
		})
	}
}

// Guards against a change in place that takes away all replicas of a range while another could stay.
func TestChangeInPlaceRolls(t *testing.T) {
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
	time.Sleep(4 * time.Second) // the last orders of the first load are settled
	w := startEngineSampler(addresses, names)
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
	w.stopAndWait()
	t.Logf("changed after %v, most loads of one stage %d, gaps %d of %d samples, calls refused meanwhile %d",
		time.Since(begin), w.maxLoadingPerStage, w.incompleteSamples, w.samples, refused)
	is.Equal(w.maxLoadingPerStage, 1)
	is.Equal(w.incompleteSamples, 0)
}
