package test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"mangopath.org/mangopath/internal/mangobench"
	"mangopath.org/mangopath/internal/mangoload"
)

const (
	// 13 replicas of a stage at this speed give 1,950 tokens/s. A token takes 60 ms and more, so that a call needs half of
	// its deadline, as one at the design's 56 ms a token does in the book; 30 ms steps took three quarters.
	benchMaxBatch = 3
	benchStepTime = 20 * time.Millisecond
	// runTimeout is above the length of a plan with the time for its last calls to end.
	loadRunTimeout = 40 * time.Second
	// settle lets queues and caches of the run before empty.
	benchSettleTime = 500 * time.Millisecond
	// faultAt is in the counted part of a run; outage is the time until the killed engine is back.
	engineKillDelay = 3 * time.Second
	engineOutage    = 2 * time.Second
)

// benchScope is the part of the benchmark to run, from the environment.
type benchScope struct {
	deployments, routers, parts []string
	loads                       []float64
}

func envList(name, standard string) []string {
	value := os.Getenv(name)
	if value == "" {
		value = standard
	}
	return strings.Split(value, ",")
}

func readBenchScope(t *testing.T) benchScope {
	t.Helper()
	if os.Getenv("MANGOPATH_BENCH") == "" {
		t.Skip("set MANGOPATH_BENCH=1 to run the benchmark")
	}
	s := benchScope{
		deployments: envList("MANGOPATH_BENCH_DEPLOYMENTS", "baasje-gezocht,isartal"),
		routers:     envList("MANGOPATH_BENCH_ROUTERS", "mangopath,naive"),
		parts:       envList("MANGOPATH_BENCH_PARTS", "load,added,recovery"),
	}
	for _, w := range envList("MANGOPATH_BENCH_LOADS", "0.7,1,1.5,2") {
		load, err := strconv.ParseFloat(w, 64)
		if err != nil {
			t.Fatal(err)
		}
		s.loads = append(s.loads, load)
	}
	return s
}

func (s benchScope) has(part string) bool {
	for _, p := range s.parts {
		if p == part {
			return true
		}
	}
	return false
}

// TestBench measures both routers on the deployments of the examples. It guards the objectives of the design's section
// 15 by its tables; the figures depend on the machine, so it fails only when a router cannot be measured.
func TestBench(t *testing.T) {
	scope := readBenchScope(t)
	report := &mangobench.Report{}
	if scope.has("load") {
		for _, name := range scope.deployments {
			t.Run(name, func(t *testing.T) { benchDeployment(t, scope, name, report) })
		}
	}
	if scope.has("added") {
		t.Run("added", func(t *testing.T) { benchAddedLatency(t, report) })
	}
	if scope.has("recovery") {
		t.Run("recovery", func(t *testing.T) { benchRecovery(t, report) })
	}
	table, err := report.Write(filepath.Join("..", "out"))
	if err != nil {
		t.Fatal(err)
	}
	fmt.Println(table)
}

func benchDeployment(t *testing.T, scope benchScope, name string, report *mangobench.Report) {
	d, err := mangobench.ReadDeployment(filepath.Join("..", "examples", name), mangobench.EngineSpeed{MaxBatch: benchMaxBatch, StepTime: benchStepTime})
	if err != nil {
		t.Fatal(err)
	}
	f := newBenchFleet(t, d)
	f.waitEntriesServing()
	for _, load := range scope.loads {
		for _, router := range scope.routers {
			row := f.measure(router, load)
			report.Rows = append(report.Rows, row)
			t.Logf("%s %s %.1f: goodput %.3f small %.3f refused %.3f", name, router, load, row.Goodput, row.SmallOnTime, row.Refused)
		}
	}
}

// measure runs the plan of one load on one router.
func (f *benchFleet) measure(router string, load float64) mangobench.Row {
	f.t.Helper()
	time.Sleep(benchSettleTime)
	urls, processes := f.routerInstances(router)
	plan := f.deployment.LoadPlan(urls, load, f.loadShape())
	faults := make(chan struct{})
	go func() {
		defer close(faults)
		f.restartSpareEngine()
	}()
	before := cpuSeconds(f.t, processes)
	result := f.runLoadGenerator(plan)
	processor := cpuSeconds(f.t, processes) - before
	<-faults
	if f.hasSteadyLoad() {
		f.waitEngine(f.deployment.SpareEngine())
	}
	return mangobench.NewRow(f.deployment, router, load, plan, result, processor)
}

// hasSteadyLoad says whether the deployment has a steady load with faults rather than peaks.
func (f *benchFleet) hasSteadyLoad() bool { return f.deployment.Name == "baasje-gezocht" }

func (f *benchFleet) loadShape() mangobench.LoadShape {
	if f.hasSteadyLoad() {
		return mangobench.LoadShape{}
	}
	return mangobench.LoadShape{Peaks: &mangoload.Peaks{PeriodMs: 2500, LengthMs: 500, Factor: 2}}
}

// restartSpareEngine kills an engine whose loss leaves the bound as it is, and starts it again.
func (f *benchFleet) restartSpareEngine() {
	if !f.hasSteadyLoad() {
		return
	}
	name := f.deployment.SpareEngine()
	time.Sleep(engineKillDelay)
	f.engines[name].signal(syscall.SIGKILL)
	<-f.engines[name].exited
	time.Sleep(engineOutage)
	f.startEngine(name)
}

// runLoadGenerator runs the load generator in a process of its own.
func (f *benchFleet) runLoadGenerator(plan mangoload.Plan) mangoload.Result {
	f.t.Helper()
	file := filepath.Join(f.dir, "plan.json")
	data, err := json.Marshal(plan)
	if err != nil {
		f.t.Fatal(err)
	}
	if err := os.WriteFile(file, data, 0o600); err != nil {
		f.t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), loadRunTimeout)
	defer cancel()
	var out, errs bytes.Buffer
	command := exec.CommandContext(ctx, filepath.Join(binaryDir, "mangostandin"), "load", "--plan", file)
	command.Stdout, command.Stderr = &out, &errs
	if err := command.Run(); err != nil {
		f.t.Fatalf("load: %v: %s", err, errs.String())
	}
	var result mangoload.Result
	if err := json.Unmarshal(out.Bytes(), &result); err != nil {
		f.t.Fatal(err)
	}
	return result
}
