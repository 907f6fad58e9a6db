package test

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"mangopath.org/mangopath/internal/mangochange"
	"mangopath.org/mangopath/internal/mangoprofile"
	"mangopath.org/mangopath/internal/mangostore"
	"mangopath.org/mangopath/pkg/mangomessage"
)

const (
	// settleTime is the wait before a measurement, in which first probes, membership exchanges and the loading of pages
	// end; measureTime is the length of the measurement.
	settleTime         = 6 * time.Second
	measureTime        = 6 * time.Second
	capacityDataCentre = "nieuwegein"
)

// capacityPoint is a size of fleet and the cost of one entry host measured at that size, averaged over the daemons. Daemons
// are real processes; simulatedPeers counts the entry hosts that the test process simulates.
type capacityPoint struct {
	name                                                                                   string
	daemons, simulatedPeers, replicas, customers, profiles                                 int
	changeRate                                                                             float64
	cpuPercent, memoryMB, receivedKBps, sentKBps, probeRate, storeReadRate, storeWriteRate float64
	// propagationTime is the time in seconds until a change is in force on all entry hosts.
	propagationTime float64
}

// TestCapacity measures the cost of entry hosts without traffic at several sizes and extrapolates it to the target size.
func TestCapacity(t *testing.T) {
	if os.Getenv("MANGOPATH_CAPACITY") == "" {
		t.Skip("takes minutes; run with make capacity")
	}
	// Each daemon connects to all replicas when it starts, and this process serves the replicas: daemons times replicas must
	// stay below its limit of open files.
	points := []*capacityPoint{
		{daemons: 2, replicas: 50, customers: 10, profiles: 1},
		{daemons: 4, replicas: 50, customers: 10, profiles: 1},
		{daemons: 8, replicas: 50, customers: 10, profiles: 1},
		{daemons: 16, replicas: 50, customers: 10, profiles: 1},
		{daemons: 32, replicas: 50, customers: 10, profiles: 1},
		{daemons: 8, replicas: 500, customers: 10, profiles: 1},
		{daemons: 8, replicas: 1000, customers: 10, profiles: 1},
		{daemons: 16, replicas: 1000, customers: 10, profiles: 1},
		{daemons: 4, replicas: 4000, customers: 10, profiles: 1},
		{daemons: 8, replicas: 50, customers: 1000, profiles: 1},
		{daemons: 8, replicas: 50, customers: 17000, profiles: 1},
		{daemons: 8, replicas: 50, customers: 10, profiles: 100},
		{daemons: 8, replicas: 50, customers: 10, profiles: 1000},
		{daemons: 8, replicas: 50, customers: 10, profiles: 1, changeRate: 0.25},
		{daemons: 8, replicas: 50, customers: 10, profiles: 1, changeRate: 2},
	}
	for _, s := range points {
		s.name = fmt.Sprintf("daemons=%d,replicas=%d,customers=%d,profiles=%d,changes=%g", s.daemons, s.replicas, s.customers, s.profiles, s.changeRate)
		if !t.Run(s.name, s.measure) {
			return
		}
	}
	logCapacityReport(t, points)
}

// TestCapacityAtTarget measures one entry host at the target size, with 409 simulated peers.
func TestCapacityAtTarget(t *testing.T) {
	if os.Getenv("MANGOPATH_CAPACITY") == "" {
		t.Skip("takes minutes; run with make capacity")
	}
	s := &capacityPoint{name: "target", daemons: 1, simulatedPeers: 409, replicas: 4100, customers: 17000, profiles: 28, changeRate: 0.25}
	s.measure(t)
	t.Logf("%s", s)
}

// String returns the point as a line of the report.
func (s *capacityPoint) String() string {
	return fmt.Sprintf("%7d %8d %9d %8d %7.2f | %7.3f %7.1f %8.2f %8.2f %8.1f %6.2f %6.2f %6.2f", s.daemons+s.simulatedPeers, s.replicas, s.customers,
		s.profiles, s.changeRate, s.cpuPercent, s.memoryMB, s.receivedKBps, s.sentKBps, s.probeRate, s.storeReadRate, s.storeWriteRate, s.propagationTime)
}

// measure starts the processes of a size and records the average cost of an entry host. Reads and writes of the store are for
// all entry hosts together.
func (s *capacityPoint) measure(t *testing.T) {
	f := newFleet(t)
	centres := 1
	if s.simulatedPeers > 0 {
		centres = 4
	}
	s.writeBook(t, f)
	replicas := startSimulatedReplicas(t, f, s.replicas, centres)
	p := startSimulatedPeers(t, f, s.simulatedPeers)
	for i := range s.daemons {
		f.startEntryHost(fmt.Sprintf("entry-%03d", i), capacityDataCentre)
	}
	f.publishHostList()
	for _, e := range f.entryHosts {
		eventually(t, startTimeout, "book on "+e.name, func() bool { return configRevision(e) >= uint64(s.profiles+s.customers) })
	}
	if s.simulatedPeers > 0 {
		p.startExchanges(t, f.entryHosts[0].peerAddress)
	}
	time.Sleep(settleTime)
	if s.simulatedPeers > 0 {
		// Idle connections of the first probes of all replicas are closed only after 15 s.
		time.Sleep(3 * settleTime)
	}
	stop, ended := make(chan struct{}), make(chan struct{})
	go s.proposeChanges(f, stop, ended)
	before, probes, counters, begin := readUsage(t, f), replicas.probeCount.Load(), readStoreCounters(t, f), time.Now()
	time.Sleep(measureTime)
	after, seconds := readUsage(t, f), time.Since(begin).Seconds()
	probesAfter, countersAfter := replicas.probeCount.Load(), readStoreCounters(t, f)
	close(stop)
	<-ended
	entrySeconds := seconds * float64(s.daemons)
	s.cpuPercent = 100 * (after.cpuSeconds - before.cpuSeconds) / entrySeconds
	s.receivedKBps, s.sentKBps = (after.readBytes-before.readBytes)/entrySeconds/1000, (after.writtenBytes-before.writtenBytes)/entrySeconds/1000
	s.memoryMB = after.residentBytes / float64(s.daemons) / 1e6
	s.probeRate = float64(probesAfter-probes) / entrySeconds
	s.propagationTime = measurePropagation(t, f)
	s.storeReadRate, s.storeWriteRate = (countersAfter.Reads-counters.Reads)/seconds, (countersAfter.Writes-counters.Writes)/seconds
}

// writeBook writes a book with the profiles and customers to the store as a repair does. Proposing 17,000 customers through
// an entry host takes most of a minute, since each of the 133 batches writes nearly all pages.
func (s *capacityPoint) writeBook(t *testing.T, f *fleet) {
	t.Helper()
	var entries []*mangomessage.Entry
	for i := range s.profiles {
		entries = append(entries, profileEntry(modelProfile(fmt.Sprintf("profile-%d", i), "v1")))
	}
	for i := range s.customers {
		name := fmt.Sprintf("customer-%d", i)
		entries = append(entries, customerEntry(name, digestOf(name)))
	}
	for i, e := range entries {
		e.Revision, e.ChangeId, e.Author = uint64(i+1), fmt.Sprintf("fill-%d", i), "test"
	}
	book, err := mangoprofile.New().With(entries...)
	if err != nil {
		t.Fatal(err)
	}
	store := mangostore.New(f.platformAddress)
	defer store.Close()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	if err := mangochange.New(store).Repair(ctx, book); err != nil {
		t.Fatal(err)
	}
}

// measurePropagation proposes a change and returns the seconds until it is in force on the last entry host.
func measurePropagation(t *testing.T, f *fleet) float64 {
	t.Helper()
	before := configRevision(f.entryHosts[0])
	begin := time.Now()
	status, body := propose(f.entryHosts[0], newChange("spread", 0, aliasEntry("spread", "profile-0")))
	if status != http.StatusOK {
		t.Fatalf("propose a change: status %d, body %s", status, body)
	}
	for _, e := range f.entryHosts {
		eventually(t, 14*time.Second, "change in force on "+e.name, func() bool { return configRevision(e) > before })
	}
	return time.Since(begin).Seconds()
}

// proposeChanges proposes changes at the point's rate until stop is closed, and then closes ended.
func (s *capacityPoint) proposeChanges(f *fleet, stop, ended chan struct{}) {
	defer close(ended)
	if s.changeRate == 0 {
		return
	}
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(float64(time.Second) / s.changeRate)):
		}
		propose(f.entryHosts[0], newChange(fmt.Sprintf("m%d", i), 0, hostMarkEntry(fmt.Sprintf("replica-%04d", i%s.replicas), true)))
	}
}

// processUsage is the sum over all entry hosts of CPU time, resident memory, and bytes passed through read and write system
// calls, which stand for network traffic.
type processUsage struct{ cpuSeconds, residentBytes, readBytes, writtenBytes float64 }

// readUsage reads the usage of all entry hosts from /proc.
func readUsage(t *testing.T, f *fleet) processUsage {
	t.Helper()
	var u processUsage
	for _, e := range f.entryHosts {
		dir := fmt.Sprintf("/proc/%d/", e.command.Process.Pid)
		tasks, _ := filepath.Glob(dir + "task/*/schedstat")
		for _, task := range tasks {
			data, _ := os.ReadFile(task)
			first, _, _ := strings.Cut(string(data), " ")
			ns, _ := strconv.ParseFloat(first, 64)
			u.cpuSeconds += ns / 1e9
		}
		u.residentBytes += 1024 * procField(t, dir+"status", "VmRSS:")
		u.readBytes += procField(t, dir+"io", "rchar:")
		u.writtenBytes += procField(t, dir+"io", "wchar:")
	}
	return u
}

// procField returns the number that follows a field name in a file of /proc.
func procField(t *testing.T, path, name string) float64 {
	t.Helper()
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(data), name)
	n, err := strconv.ParseFloat(strings.Fields(rest)[0], 64)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// storeCounters are the platform's counts of store operations since its start.
type storeCounters struct{ Reads, Writes float64 }

func readStoreCounters(t *testing.T, f *fleet) (c storeCounters) {
	t.Helper()
	_, data, _, err := sendRequest(context.Background(), http.MethodGet, "http://"+f.platformAddress+"/admin/counters", nil, nil)
	if err != nil || json.Unmarshal(data, &c) != nil {
		t.Fatalf("read the platform's counters: error %v, body %s", err, data)
	}
	return c
}

// simulatedReplicas counts the probes of simulated engines, which one HTTP server answers on many loopback addresses.
type simulatedReplicas struct{ probeCount atomic.Int64 }

// startSimulatedReplicas starts a server that answers GET /v1/state for n engines and adds them to the host list.
func startSimulatedReplicas(t *testing.T, f *fleet, n, centres int) *simulatedReplicas {
	t.Helper()
	r := &simulatedReplicas{}
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp4", ":0")
	if err != nil {
		t.Fatal(err)
	}
	_, port, _ := net.SplitHostPort(l.Addr().String())
	states := map[string]*mangomessage.EngineState{}
	for i := range n {
		at := fmt.Sprintf("127.1.%d.%d:%s", i/250, i%250+1, port)
		h := &mangomessage.ListedHost{Name: fmt.Sprintf("replica-%04d", i), Role: "Engine", DataCentre: dataCentreOf(i, centres), Address: at, Kind: "a100"}
		f.setListedHost(h)
		from, to := stageLayers(i % 3)
		states[at] = &mangomessage.EngineState{
			Host: h.Name, Kind: h.Kind, Model: "tekst-model", Version: "v1", FromLayer: uint32(from), ToLayer: uint32(to), MaxBatch: 8, StepMicros: 5000,
		}
	}
	server := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		state, ok := states[q.Context().Value(http.LocalAddrContextKey).(net.Addr).String()]
		if !ok || q.URL.Path != "/v1/state" {
			http.NotFound(w, q)
			return
		}
		r.probeCount.Add(1)
		_ = json.NewEncoder(w).Encode(state)
	})}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	return r
}

// dataCentreOf returns the data centre of the i-th host; hosts are spread evenly over the given number of centres.
func dataCentreOf(i, centres int) string {
	return []string{capacityDataCentre, "houten", "zeist", "sued-a"}[i%centres]
}
