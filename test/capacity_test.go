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
	// settleTime lets first probes, member lists and loaded pages end before the measurement.
	settleTime  = 6 * time.Second
	measureTime = 6 * time.Second
	capacityDC  = "nieuwegein"
)

// size is one measured point; simulated is the number of entry hosts that the test itself plays.
type size struct {
	name                                               string
	daemons, simulated, replicas, customers, profiles  int
	changes                                            float64
	cpu, memory, received, sent, probes, reads, writes float64
	// spread is the time in seconds until a change is in force on all entry hosts.
	spread float64
}

// TestCapacity measures what entry hosts without traffic cost at several sizes and extrapolates to the target.
func TestCapacity(t *testing.T) {
	if os.Getenv("MANGOPATH_CAPACITY") == "" {
		t.Skip("takes minutes; run with make capacity")
	}
	// At their start all daemons read all replicas: their product stays below this process's limit of open files.
	sizes := []*size{
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
		{daemons: 8, replicas: 50, customers: 10, profiles: 1, changes: 0.25},
		{daemons: 8, replicas: 50, customers: 10, profiles: 1, changes: 2},
	}
	for _, s := range sizes {
		s.name = fmt.Sprintf("daemons=%d,replicas=%d,customers=%d,profiles=%d,changes=%g", s.daemons, s.replicas, s.customers, s.profiles, s.changes)
		if !t.Run(s.name, s.measure) {
			return
		}
	}
	report(t, sizes)
}

// TestCapacityAtTarget runs one entry host among 409 that the test plays, at the sizes of the target.
func TestCapacityAtTarget(t *testing.T) {
	if os.Getenv("MANGOPATH_CAPACITY") == "" {
		t.Skip("takes minutes; run with make capacity")
	}
	s := &size{name: "target", daemons: 1, simulated: 409, replicas: 4100, customers: 17000, profiles: 28, changes: 0.25}
	s.measure(t)
	t.Logf("%s", s)
}

// String is a line of the report.
func (s *size) String() string {
	return fmt.Sprintf("%7d %8d %9d %8d %7.2f | %7.3f %7.1f %8.2f %8.2f %8.1f %6.2f %6.2f %6.2f", s.daemons+s.simulated, s.replicas, s.customers,
		s.profiles, s.changes, s.cpu, s.memory, s.received, s.sent, s.probes, s.reads, s.writes, s.spread)
}

// measure starts the processes of a size and fills in what an entry host costs on average.
func (s *size) measure(t *testing.T) {
	f := newFleet(t)
	centres := 1
	if s.simulated > 0 {
		centres = 4
	}
	s.fill(t, f)
	replicas := newReplicas(t, f, s.replicas, centres)
	p := newPlayers(t, f, s.simulated)
	for i := range s.daemons {
		f.startEntryHost(fmt.Sprintf("entry-%03d", i), capacityDC)
	}
	f.publishHostList()
	for _, e := range f.entryHosts {
		eventually(t, startTimeout, "book on "+e.name, func() bool { return configRevision(e) >= uint64(s.profiles+s.customers) })
	}
	if s.simulated > 0 {
		p.play(t, f.entryHosts[0].peerAddress)
	}
	time.Sleep(settleTime)
	if s.simulated > 0 {
		// Connections of the first probes of all replicas are closed after 15 s.
		time.Sleep(3 * settleTime)
	}
	stop, ended := make(chan struct{}), make(chan struct{})
	go s.change(f, stop, ended)
	before, probes, counters, begin := usageOf(t, f), replicas.probes.Load(), storeCounters(t, f), time.Now()
	time.Sleep(measureTime)
	after, seconds := usageOf(t, f), time.Since(begin).Seconds()
	probesAfter, countersAfter := replicas.probes.Load(), storeCounters(t, f)
	close(stop)
	<-ended
	per := seconds * float64(s.daemons)
	s.cpu = 100 * (after.cpu - before.cpu) / per
	s.received, s.sent = (after.received-before.received)/per/1000, (after.sent-before.sent)/per/1000
	s.memory = after.memory / float64(s.daemons) / 1e6
	s.probes = float64(probesAfter-probes) / per
	s.spread = spreadOf(t, f)
	s.reads, s.writes = (countersAfter.Reads-counters.Reads)/seconds, (countersAfter.Writes-counters.Writes)/seconds
}

// fill writes a book with profiles and customers to the store, as a repair does. Operators' requests for 17,000 customers
// take most of a minute, since each of their 133 batches writes nearly all pages.
func (s *size) fill(t *testing.T, f *fleet) {
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

// spreadOf returns the seconds until the last entry host has a change.
func spreadOf(t *testing.T, f *fleet) float64 {
	t.Helper()
	before := configRevision(f.entryHosts[0])
	begin := time.Now()
	status, body := propose(f.entryHosts[0], newChange("spread", 0, aliasEntry("spread", "profile-0")))
	if status != http.StatusOK {
		t.Fatalf("change: %d %s", status, body)
	}
	for _, e := range f.entryHosts {
		eventually(t, 14*time.Second, "change in force on "+e.name, func() bool { return configRevision(e) > before })
	}
	return time.Since(begin).Seconds()
}

// change proposes changes at the rate of the size until it is stopped.
func (s *size) change(f *fleet, stop, ended chan struct{}) {
	defer close(ended)
	if s.changes == 0 {
		return
	}
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(float64(time.Second) / s.changes)):
		}
		propose(f.entryHosts[0], newChange(fmt.Sprintf("m%d", i), 0, hostMarkEntry(fmt.Sprintf("replica-%04d", i%s.replicas), true)))
	}
}

// usage is the sum over the entry hosts: processor seconds, resident bytes, and bytes of all reads and writes.
type usage struct{ cpu, memory, received, sent float64 }

func usageOf(t *testing.T, f *fleet) usage {
	t.Helper()
	var u usage
	for _, e := range f.entryHosts {
		dir := fmt.Sprintf("/proc/%d/", e.command.Process.Pid)
		tasks, _ := filepath.Glob(dir + "task/*/schedstat")
		for _, task := range tasks {
			data, _ := os.ReadFile(task)
			first, _, _ := strings.Cut(string(data), " ")
			ns, _ := strconv.ParseFloat(first, 64)
			u.cpu += ns / 1e9
		}
		u.memory += 1024 * procField(t, dir+"status", "VmRSS:")
		u.received += procField(t, dir+"io", "rchar:")
		u.sent += procField(t, dir+"io", "wchar:")
	}
	return u
}

// procField returns the number after a name in a file of /proc.
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

type counters struct{ Reads, Writes float64 }

func storeCounters(t *testing.T, f *fleet) (c counters) {
	t.Helper()
	_, data, _, err := sendRequest(context.Background(), http.MethodGet, "http://"+f.platformAddress+"/admin/counters", nil, nil)
	if err != nil || json.Unmarshal(data, &c) != nil {
		t.Fatalf("counters: %v %s", err, data)
	}
	return c
}

// replicas answers GET /v1/state for many loopback addresses.
type replicas struct{ probes atomic.Int64 }

func newReplicas(t *testing.T, f *fleet, n, centres int) *replicas {
	t.Helper()
	r := &replicas{}
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp4", ":0")
	if err != nil {
		t.Fatal(err)
	}
	_, port, _ := net.SplitHostPort(l.Addr().String())
	states := map[string]*mangomessage.EngineState{}
	for i := range n {
		at := fmt.Sprintf("127.1.%d.%d:%s", i/250, i%250+1, port)
		h := &mangomessage.ListedHost{Name: fmt.Sprintf("replica-%04d", i), Role: "Engine", DataCentre: centreOf(i, centres), Address: at, Kind: "a100"}
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
		r.probes.Add(1)
		_ = json.NewEncoder(w).Encode(state)
	})}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	return r
}

// centreOf spreads hosts over data centres.
func centreOf(i, centres int) string {
	return []string{capacityDC, "houten", "zeist", "sued-a"}[i%centres]
}
