package test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"mangopath.org/mangopath/pkg/mangomessage"
)

const (
	// killBound and silenceBound are the targets for the next token after a stage was killed or its connections hang.
	killBound    = time.Second
	silenceBound = 2 * time.Second
)

// proxied is an engine behind a fault proxy.
type proxied struct {
	name, engine, admin string
}

// set changes the faults of the proxy.
func (p proxied) set(t testing.TB, faults map[string]any) {
	t.Helper()
	status, body := post(t, "http://"+p.admin+"/admin/faults", faults)
	if status != http.StatusOK && status != http.StatusNoContent {
		t.Fatalf("proxy faults: %d %s", status, body)
	}
}

// proxiedPipeline starts n replicas of each stage, each behind a proxy of its own.
func (f *fleet) proxiedPipeline(version, centre string, n int, flags ...string) []proxied {
	f.t.Helper()
	var all []proxied
	for i := range 3 {
		from, to := stage(i)
		for r := range n {
			p := proxied{name: fmt.Sprintf("%s-%s-s%d-r%d", centre, version, i, r), admin: address(f.t)}
			via := address(f.t)
			p.engine = f.engine(engineSpec{name: p.name, centre: centre, version: version, from: from, to: to, via: via, flags: flags})
			start(f.t, "proxy-"+p.name, "mangostandin", "proxy", "--listen", via, "--target", p.engine, "--admin", p.admin)
			eventually(f.t, startTimeout, "proxy answers", func() bool { return answers("http://" + via + "/v1/state") })
			all = append(all, p)
		}
	}
	return all
}

// proxiedShelter is one entry host before a pipeline with two replicas a stage behind proxies.
func proxiedShelter(t *testing.T, replicas int) (*fleet, []proxied) {
	t.Helper()
	f := newFleet(t)
	f.entry("a-entry", "nieuwegein")
	engines := f.proxiedPipeline("v1", "nieuwegein", replicas)
	f.service("opvang-1", "nieuwegein")
	f.service("opvang-2", "nieuwegein")
	f.publish()
	f.declareShelter()
	f.waitServing("tekst")
	time.Sleep(time.Second) // lets every replica be probed, so that all can be chosen
	return f, engines
}

// trace returns the layers that an engine ran for a call.
func trace(t testing.TB, engine string) *mangomessage.Trace {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	_, data, _, err := send(ctx, http.MethodGet, "http://"+engine+"/v1/trace", nil, nil)
	if err != nil {
		t.Fatal(err)
	}
	lines := &mangomessage.Trace{}
	if err := json.Unmarshal(data, lines); err != nil {
		t.Fatal(err)
	}
	return lines
}

// checkTraces verifies that no layer ran twice for a position of an attempt and that all layers ran for each
// position that the last stage ran.
func checkTraces(t testing.TB, engines []string) {
	t.Helper()
	type cell struct {
		call     string
		attempt  uint32
		position uint32
	}
	ran := map[cell]map[uint32]int{}
	for _, e := range engines {
		for _, l := range trace(t, e).Lines {
			for p := l.Position; p < l.Position+l.Count; p++ {
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
	for c, byLayer := range ran {
		for layer, n := range byLayer {
			if n != 1 {
				t.Errorf("layer %d ran %d times for %+v", layer, n, c)
			}
		}
		if byLayer[layers-1] == 1 && len(byLayer) != layers {
			t.Errorf("only %d layers ran for %+v", len(byLayer), c)
		}
	}
}

// TestAnswerSurvivesStageFaults breaks one stage in the middle of answers and compares them, token by token, with a
// run without faults. It guards against lost, doubled and mixed tokens and against slow recovery.
func TestAnswerSurvivesStageFaults(t *testing.T) {
	const tokens = 120
	freeze := func(f *fleet, p proxied) { p.set(f.t, map[string]any{"Freeze": true}) }
	for _, c := range []struct {
		name  string
		fault func(f *fleet, p proxied)
		bound time.Duration
		dead  bool
	}{
		{name: "killed", fault: func(f *fleet, p proxied) { f.engines[p.name].kill() }, bound: killBound, dead: true},
		{name: "existing connections hang", fault: freeze, bound: silenceBound},
		{name: "connections cut", fault: func(f *fleet, p proxied) { p.set(f.t, map[string]any{"Cut": true}) }, bound: killBound},
		{name: "one way cut", fault: func(f *fleet, p proxied) { p.set(f.t, map[string]any{"CutReplies": true}) }, bound: silenceBound},
	} {
		for i := range 3 {
			t.Run(fmt.Sprintf("%s at stage %d", c.name, i), func(t *testing.T) {
				is := is.New(t)
				f, engines := proxiedShelter(t, 2)
				const calls = 6
				results := make(chan answer, calls)
				for n := range calls {
					go func() {
						results <- complete(context.Background(), f.entries[0], "tekst", fmt.Sprintf("cat %d", n), tokens)
					}()
				}
				time.Sleep(500 * time.Millisecond) // all answers are under way
				c.fault(f, engines[2*i])
				texts := map[string]bool{}
				for range calls {
					a := <-results
					is.True(a.whole) // answer must end with its end mark
					t.Logf("longest gap %v", a.longestGap())
					is.True(a.longestGap() < c.bound)
					texts[a.text] = true
				}
				for n := range calls {
					is.True(texts[faultFree("v1", fmt.Sprintf("cat %d", n), tokens)])
				}
				var alive []string
				for k, p := range engines {
					if !c.dead || k != 2*i {
						alive = append(alive, p.engine)
					}
				}
				if !c.dead {
					checkTraces(t, alive)
				}
			})
		}
	}
}

// TestAnswerSurvivesLossOfTwoStages guards against a recovery that fails when another stage is lost during it.
func TestAnswerSurvivesLossOfTwoStages(t *testing.T) {
	is := is.New(t)
	f, engines := proxiedShelter(t, 3)
	result := make(chan answer, 1)
	go func() { result <- complete(context.Background(), f.entries[0], "tekst", "two stages", 150) }()
	time.Sleep(400 * time.Millisecond)
	f.engines[engines[0].name].kill()
	f.engines[engines[3].name].kill()
	time.Sleep(100 * time.Millisecond)
	f.engines[engines[6].name].kill()
	f.engines[engines[1].name].kill()
	a := <-result
	is.True(a.whole)
	is.Equal(a.text, faultFree("v1", "two stages", 150))
	t.Logf("longest gap %v", a.longestGap())
}

// TestBrokenAnswerNeverLooksWhole guards against a stream that ends like a whole answer after its upstreams are gone.
func TestBrokenAnswerNeverLooksWhole(t *testing.T) {
	is := is.New(t)
	f, engines := proxiedShelter(t, 1)
	result := make(chan answer, 1)
	go func() { result <- complete(context.Background(), f.entries[0], "tekst", "no way out", 300) }()
	time.Sleep(400 * time.Millisecond)
	for _, p := range engines {
		f.engines[p.name].kill()
	}
	a := <-result
	is.True(!a.whole)
	full := faultFree("v1", "no way out", 300)
	is.True(len(a.text) < len(full) && full[:len(a.text)] == a.text)
}
