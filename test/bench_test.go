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
	// benchMaxBatch and benchStepTime set the speed of an engine: the 13 replicas of a stage give 1,950 tokens/s. A token
	// takes at least 60 ms, so that a call uses half of its deadline, as a call at the 56 ms per token of the design does
	// with the deadlines of the book. With steps of 30 ms calls used three quarters.
	benchMaxBatch = 3
	benchStepTime = 20 * time.Millisecond
	// loadRunTimeout bounds a run of the load generator. It exceeds the duration of a plan and the time that its last
	// calls take to end.
	loadRunTimeout = 40 * time.Second
	// benchSettleTime is the pause before each run, in which the queues and caches of the previous run drain.
	benchSettleTime = 500 * time.Millisecond
	// engineKillDelay is the time from the start of a run until an engine is killed, within the counted part of the run;
	// engineOutage is the time from then until the engine is started again.
	engineKillDelay = 3 * time.Second
	engineOutage    = 2 * time.Second
)

// benchScope selects the deployments, routers, parts and loads to measure, as set by environment variables. Loads are
// multiples of the throughput bound of a deployment.
type benchScope struct {
	deployments, routers, parts []string
	loads                       []float64
}

// envList returns the comma-separated values of an environment variable, or those of the default when it is unset or empty.
func envList(name, defaultValue string) []string {
	value := os.Getenv(name)
	if value == "" {
		value = defaultValue
	}
	return strings.Split(value, ",")
}

// readBenchScope reads the scope from the environment and skips the test unless MANGOPATH_BENCH is set.
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

// TestBench measures both routers on the example deployments and writes tables to compare with the objectives in section 15
// of the design. The figures depend on the machine, so the test fails only if a router cannot be measured.
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

// benchDeployment measures each router at each load on one example deployment.
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
			t.Logf("deployment %s, router %s, load %.1f: goodput %.3f, small customers on time %.3f, refused %.3f", name, router, load, row.Goodput, row.SmallOnTime, row.Refused)
		}
	}
}

// measure runs the load generator against one router at one load, with faults if the deployment has them.
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
	cpu := cpuSeconds(f.t, processes) - before
	<-faults
	if f.hasSteadyLoad() {
		f.waitEngine(f.deployment.SpareEngine())
	}
	return mangobench.NewRow(f.deployment, router, load, plan, result, cpu)
}

// hasSteadyLoad reports whether the deployment is measured under a steady load with an engine failure, rather than under
// load peaks without one.
func (f *benchFleet) hasSteadyLoad() bool { return f.deployment.Name == "baasje-gezocht" }

// loadShape returns how the load of the deployment varies: steady, or doubled for 500 ms in every 2.5 s.
func (f *benchFleet) loadShape() mangobench.LoadShape {
	if f.hasSteadyLoad() {
		return mangobench.LoadShape{}
	}
	return mangobench.LoadShape{Peaks: &mangoload.Peaks{PeriodMs: 2500, LengthMs: 500, Factor: 2}}
}

// restartSpareEngine kills an engine whose loss doesn't lower the throughput bound and starts it again after the outage. It
// does nothing for deployments that are measured with load peaks.
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

// runLoadGenerator runs a plan in a separate process and returns its result.
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
		f.t.Fatalf("run the load generator: %v: %s", err, errs.String())
	}
	var result mangoload.Result
	if err := json.Unmarshal(out.Bytes(), &result); err != nil {
		f.t.Fatal(err)
	}
	return result
}
