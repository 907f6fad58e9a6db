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

// clockTicksPerSecond is the resolution of CPU times in /proc/PID/stat (USER_HZ), which is 100 on all Linux platforms.
const clockTicksPerSecond = 100

// benchFleet runs an example deployment with both routers, mangopath and the naive router, in front of the same upstreams.
type benchFleet struct {
	*fleet
	deployment *mangobench.Deployment
	// hostAddresses are the listen addresses of engines and services by host name.
	hostAddresses map[string]string
	// naiveRouters and naiveURLs hold one naive router for each entry host.
	naiveRouters []*process
	naiveURLs    []string
}

// newBenchFleet starts the upstreams, entry hosts and naive routers of a deployment and declares its book.
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
	time.Sleep(2 * time.Second) // Entry hosts read the host list, probe replicas and share out slots within it.
	return f
}

// startEngine starts an engine at its address, for the first time or after it was killed.
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

// waitEngine waits until an engine serves its state.
func (f *benchFleet) waitEngine(name string) {
	f.t.Helper()
	eventually(f.t, startTimeout, name+" answers", func() bool { return respondsOK("http://" + f.hostAddresses[name] + "/v1/state") })
}

// proposeEntries proposes all entries of the deployment's book in one request, again until an entry host accepts them.
func (f *benchFleet) proposeEntries() {
	f.t.Helper()
	var changes []*mangomessage.Change
	for i, e := range f.deployment.Entries {
		changes = append(changes, newChange(fmt.Sprintf("bench-%d", i), 0, e))
	}
	eventually(f.t, startTimeout, "the book is accepted", func() bool {
		status, body := propose(f.entryHosts[0], changes...)
		if status != http.StatusOK {
			f.t.Logf("propose the book: status %d, body %s", status, tail(body, 300))
		}
		return status == http.StatusOK
	})
}

// startNaiveRouters starts as many naive routers as there are entry hosts, all with the same replicas.
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

// routerInstances returns the base URLs and processes of all instances of the named router.
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

// cpuSeconds returns the CPU time, user and system, that processes have used so far.
func cpuSeconds(t testing.TB, processes []*process) float64 {
	t.Helper()
	ticks := 0
	for _, p := range processes {
		data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.command.Process.Pid))
		if err != nil {
			t.Fatal(err)
		}
		// The command name in parentheses may contain spaces; utime and stime are the 12th and 13th fields after it.
		_, rest, _ := strings.Cut(string(data), ") ")
		fields := strings.Fields(rest)
		user, _ := strconv.Atoi(fields[11])
		system, _ := strconv.Atoi(fields[12])
		ticks += user + system
	}
	return float64(ticks) / clockTicksPerSecond
}
