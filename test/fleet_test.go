package test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"mangopath.org/mangopath/pkg/mangomessage"
)

const (
	operatorToken = "operator-token"
	customerKey   = "key-shelter"
	// keyDigest is the SHA-256 digest of customerKey.
	layers = 12
)

// fleet is a platform, upstreams and entry hosts of one test.
type fleet struct {
	t        testing.TB
	dir      string
	platform string
	hosts    []*mangomessage.ListedHost
	engines  map[string]*process
	services map[string]*process
	entries  []*entry
	plat     *process
}

// entry is an entry host.
type entry struct {
	*process
	name      string
	centre    string
	callers   string
	operators string
	peers     string
	settings  string
}

// newFleet starts a platform stand-in.
func newFleet(t testing.TB, flags ...string) *fleet {
	t.Helper()
	f := &fleet{t: t, dir: t.TempDir(), platform: address(t), engines: map[string]*process{}, services: map[string]*process{}}
	args := append([]string{"platform", "--address", f.platform, "--host-list-delay", "200ms"}, flags...)
	f.plat = start(t, "platform", "mangostandin", args...)
	eventually(t, startTimeout, "platform answers", func() bool { return answers("http://" + f.platform + "/v1/hosts") })
	return f
}

// post sends a JSON message and returns the status and the body.
func post(t testing.TB, url string, message any) (int, []byte) {
	t.Helper()
	body, err := json.Marshal(message)
	if err != nil {
		t.Fatal(err)
	}
	status, reply, _, err := send(context.Background(), http.MethodPost, url, nil, body)
	if err != nil {
		t.Fatalf("post %s: %v", url, err)
	}
	return status, reply
}

// send sends one request on a connection of its own.
func send(ctx context.Context, method, url string, header http.Header, body []byte) (int, []byte, http.Header, error) {
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil, nil, err
	}
	request.GetBody = nil
	request.Close = true
	for k, v := range header {
		request.Header[k] = v
	}
	reply, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, nil, nil, err
	}
	defer func() { _ = reply.Body.Close() }()
	data, err := io.ReadAll(reply.Body)
	return reply.StatusCode, data, reply.Header, err
}

// publish makes the host list visible after the platform's delay.
func (f *fleet) publish() {
	f.t.Helper()
	status, body := post(f.t, "http://"+f.platform+"/admin/hosts", &mangomessage.HostList{Hosts: f.hosts})
	if status != http.StatusOK && status != http.StatusNoContent {
		f.t.Fatalf("host list: %d %s", status, body)
	}
}

// list adds or replaces a line of the host list.
func (f *fleet) list(h *mangomessage.ListedHost) {
	for i, old := range f.hosts {
		if old.Name == h.Name {
			f.hosts[i] = h
			return
		}
	}
	f.hosts = append(f.hosts, h)
}

// faults sets faults of a stand-in.
func (f *fleet) faults(address string, faults map[string]any) {
	f.t.Helper()
	status, body := post(f.t, "http://"+address+"/admin/faults", faults)
	if status != http.StatusOK && status != http.StatusNoContent {
		f.t.Fatalf("faults: %d %s", status, body)
	}
}

// engineSpec describes an engine of a fleet.
type engineSpec struct {
	name, centre, version string
	from, to              int
	flags                 []string
	// via puts a fault proxy between entry hosts and the engine.
	via string
	// at is the address; an empty one picks a free one.
	at string
}

// engine starts an engine and lists it.
func (f *fleet) engine(spec engineSpec) string {
	f.t.Helper()
	at := spec.at
	if at == "" {
		at = address(f.t)
	}
	args := append([]string{
		"engine", "--address", at, "--host", spec.name, "--kind", "a100", "--model", "tekst-model",
		"--version", spec.version, "--from-layer", strconv.Itoa(spec.from), "--to-layer", strconv.Itoa(spec.to),
		"--max-batch", "8", "--step-time", "5ms", "--prefill-time", "100us", "--lag", "200ms", "--end-probability", "0",
	}, spec.flags...)
	f.engines[spec.name] = start(f.t, spec.name, "mangostandin", args...)
	eventually(f.t, startTimeout, spec.name+" answers", func() bool { return answers("http://" + at + "/v1/state") })
	listed := at
	if spec.via != "" {
		listed = spec.via
	}
	f.list(&mangomessage.ListedHost{Name: spec.name, Role: "Engine", DataCentre: spec.centre, Address: listed, Kind: "a100"})
	return at
}

// service starts a plain service and lists it.
func (f *fleet) service(name, centre string, flags ...string) string {
	f.t.Helper()
	at := address(f.t)
	f.services[name] = start(f.t, name, "mangostandin", append([]string{"service", "--address", at, "--host", name, "--delay", "5ms"}, flags...)...)
	eventually(f.t, startTimeout, name+" answers", func() bool { return answers("http://" + at + "/admin/executions") })
	f.list(&mangomessage.ListedHost{Name: name, Role: "Service", DataCentre: centre, Address: at, Kind: "service"})
	return at
}

// entry starts an entry host; store is the address through which it reaches the platform.
func (f *fleet) entry(name, centre string, change ...string) *entry {
	f.t.Helper()
	e := &entry{name: name, centre: centre, callers: address(f.t), operators: address(f.t), peers: address(f.t)}
	e.settings = filepath.Join(f.dir, name+".ini")
	f.configure(e, change...)
	f.run(e)
	f.entries = append(f.entries, e)
	f.list(&mangomessage.ListedHost{Name: name, Role: "Entry", DataCentre: centre, Address: e.peers})
	return e
}

// configure writes the settings of an entry host; each change is Section.Key=Value.
func (f *fleet) configure(e *entry, change ...string) {
	f.t.Helper()
	var seeds []string
	for _, other := range f.entries {
		seeds = append(seeds, other.peers)
	}
	values := map[string]map[string]string{
		"Host":      {"Name": e.name, "DataCentre": e.centre, "Region": "nl-centrum"},
		"Callers":   {"Address": e.callers, "DrainDelay": "300ms"},
		"Operators": {"Address": e.operators, "Token": operatorToken},
		"Peers":     {"Address": e.peers, "SharedKey": "peer-key", "Seeds": strings.Join(seeds, ",")},
		"Platform":  {"Address": f.platform},
	}
	for _, c := range change {
		key, value, _ := strings.Cut(c, "=")
		section, key, _ := strings.Cut(key, ".")
		if values[section] == nil {
			values[section] = map[string]string{}
		}
		values[section][key] = value
	}
	var text strings.Builder
	for section, keys := range values {
		fmt.Fprintf(&text, "[%s]\n", section)
		for k, v := range keys {
			if v != "" {
				fmt.Fprintf(&text, "%s = %s\n", k, v)
			}
		}
	}
	if err := os.WriteFile(e.settings, []byte(text.String()), 0o600); err != nil {
		f.t.Fatal(err)
	}
}

// run starts the process of an entry host and waits until it is ready.
func (f *fleet) run(e *entry) {
	f.t.Helper()
	e.process = start(f.t, e.name, "mangopath", "serve", "-c", e.settings)
	eventually(f.t, startTimeout, e.name+" ready", func() bool { return answers("http://" + e.operators + "/readyz") })
}

// replica names an engine of version v1 and its stage in the default pipeline of three stages.
func stage(i int) (from, to int) { return i * layers / 3, (i + 1) * layers / 3 }

// pipeline starts n replicas of each of the three stages of a version in a data centre.
func (f *fleet) pipeline(version, centre string, n int, flags ...string) {
	f.t.Helper()
	for i := range 3 {
		from, to := stage(i)
		for r := range n {
			name := fmt.Sprintf("%s-%s-s%d-r%d", centre, version, i, r)
			f.engine(engineSpec{name: name, centre: centre, version: version, from: from, to: to, flags: flags})
		}
	}
}

// waitServing waits until each entry host answers a completion, so that probes and lists have arrived.
func (f *fleet) waitServing(name string) {
	f.t.Helper()
	for _, e := range f.entries {
		eventually(f.t, startTimeout, e.name+" serves "+name, func() bool {
			a := complete(context.Background(), e, name, "warm up", 2)
			return a.err == nil && a.status == http.StatusOK
		})
	}
}
