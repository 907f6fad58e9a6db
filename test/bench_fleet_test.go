package test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"mangopath.org/mangopath/internal/mangobench"
	"mangopath.org/mangopath/pkg/mangomessage"
)

// clockTicks is the unit of processor time in /proc, per second; Linux reports 100 on all its platforms.
const clockTicksPerSecond = 100

// benchFleet is a deployment of the examples with both routers before the same upstreams.
type benchFleet struct {
	*fleet
	deployment    *mangobench.Deployment
	hostAddresses map[string]string
	naiveRouters  []*process
	naiveURLs     []string
}

func newBenchFleet(t *testing.T, d *mangobench.Deployment) *benchFleet {
	t.Helper()
	f := &benchFleet{fleet: newFleet(t), deployment: d, hostAddresses: map[string]string{}}
	for _, h := range d.Engines {
		f.hostAddresses[h.Name] = freeAddress(t)
		f.startEngine(h.Name)
	}
	for _, h := range d.Services {
		f.hostAddresses[h.Name] = f.startService(h.Name, h.DataCentre)
	}
	for _, h := range d.Engines {
		f.waitEngine(h.Name)
		f.setListedHost(&mangomessage.ListedHost{Name: h.Name, Role: "Engine", DataCentre: h.DataCentre, Address: f.hostAddresses[h.Name], Kind: "a100"})
	}
	for _, h := range d.Daemons {
		f.startEntryHost(h.Name, h.DataCentre, "Host.Region="+d.Region, "Platform.WriteRate=40", "Routing.LinkCosts="+d.LinkCosts, "Log.Level=info")
	}
	f.publishHostList()
	f.proposeEntries()
	f.startNaiveRouters()
	time.Sleep(2 * time.Second) // The host list, the probes and the shares of slots arrive within it.
	return f
}

// startEngine starts or restarts an engine at its address.
func (f *benchFleet) startEngine(name string) {
	f.t.Helper()
	for _, h := range f.deployment.Engines {
		if h.Name != name {
			continue
		}
		m := f.deployment.ModelProfile
		f.engines[name] = startProcess(f.t, name, "mangostandin", "engine", "--address", f.hostAddresses[name], "--host", name, "--kind", "a100",
			"--model", m.Model, "--version", m.Version, "--layers", strconv.Itoa(int(m.Layers)),
			"--from-layer", strconv.Itoa(int(h.FromLayer)), "--to-layer", strconv.Itoa(int(h.ToLayer)),
			"--max-batch", strconv.Itoa(f.deployment.Engine.MaxBatch), "--step-time", f.deployment.Engine.StepTime.String(),
			"--prefill-time", "10us", "--end-probability", "0", "--trace-lines", "0")
	}
}

func (f *benchFleet) waitEngine(name string) {
	f.t.Helper()
	eventually(f.t, startTimeout, name+" answers", func() bool { return respondsOK("http://" + f.hostAddresses[name] + "/v1/state") })
}

// proposeEntries proposes all entries of the example at once.
func (f *benchFleet) proposeEntries() {
	f.t.Helper()
	var changes []*mangomessage.Change
	for i, e := range f.deployment.Entries {
		changes = append(changes, newChange(fmt.Sprintf("bench-%d", i), 0, e))
	}
	eventually(f.t, startTimeout, "book accepted", func() bool {
		status, body := propose(f.entryHosts[0], changes...)
		if status != http.StatusOK {
			f.t.Logf("book: %d %s", status, tail(body, 300))
		}
		return status == http.StatusOK
	})
}

// startNaiveRouters starts one naive router for each entry host.
func (f *benchFleet) startNaiveRouters() {
	f.t.Helper()
	file := filepath.Join(f.dir, "replicas.json")
	data, err := json.Marshal(f.deployment.NaiveSettings(f.hostAddresses))
	if err != nil {
		f.t.Fatal(err)
	}
	if err := os.WriteFile(file, data, 0o600); err != nil {
		f.t.Fatal(err)
	}
	for range f.entryHosts {
		at := freeAddress(f.t)
		f.naiveRouters = append(f.naiveRouters, startProcess(f.t, "naive", "mangostandin", "naive", "--address", at, "--replicas", file))
		f.naiveURLs = append(f.naiveURLs, "http://"+at)
	}
}

// routerInstances returns the base URLs and the processes of a router.
func (f *benchFleet) routerInstances(name string) ([]string, []*process) {
	if name == "naive" {
		return f.naiveURLs, f.naiveRouters
	}
	var urls []string
	var processes []*process
	for _, e := range f.entryHosts {
		urls, processes = append(urls, "http://"+e.callerAddress), append(processes, e.process)
	}
	return urls, processes
}

// cpuSeconds returns the processor time of processes in seconds.
func cpuSeconds(t testing.TB, processes []*process) float64 {
	t.Helper()
	ticks := 0
	for _, p := range processes {
		data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.command.Process.Pid))
		if err != nil {
			t.Fatal(err)
		}
		// The name in parentheses may have spaces; utime and stime are the 12th and 13th field after it.
		_, rest, _ := strings.Cut(string(data), ") ")
		fields := strings.Fields(rest)
		user, _ := strconv.Atoi(fields[11])
		system, _ := strconv.Atoi(fields[12])
		ticks += user + system
	}
	return float64(ticks) / clockTicksPerSecond
}
