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
	// operatorToken is the token of the operator API; customerKey is the API key of the customer "shelter".
	operatorToken = "operator-token"
	customerKey   = "key-shelter"
	// modelLayers is the number of layers of the test model.
	modelLayers = 12
)

// fleet is the deployment of one test: the platform stand-in, upstreams and entry hosts, each a process of its own.
type fleet struct {
	t               testing.TB
	dir             string
	platformAddress string
	hostList        []*mangomessage.ListedHost
	engines         map[string]*process
	services        map[string]*process
	entryHosts      []*entryHost
	platformProcess *process
}

// entryHost is the process of a router, with its listening addresses for callers, operators and peers.
type entryHost struct {
	*process
	name            string
	centre          string
	callerAddress   string
	operatorAddress string
	peerAddress     string
	settingsFile    string
}

// newFleet starts a fleet that has only the platform stand-in.
func newFleet(t testing.TB, flags ...string) *fleet {
	t.Helper()
	f := &fleet{t: t, dir: t.TempDir(), platformAddress: freeAddress(t), engines: map[string]*process{}, services: map[string]*process{}}
	args := append([]string{"platform", "--address", f.platformAddress, "--host-list-delay", "200ms"}, flags...)
	f.platformProcess = startProcess(t, "platform", "mangostandin", args...)
	eventually(t, startTimeout, "platform answers", func() bool { return respondsOK("http://" + f.platformAddress + "/v1/hosts") })
	return f
}

// postJSON posts a message as JSON and returns the status and the body.
func postJSON(t testing.TB, url string, message any) (int, []byte) {
	t.Helper()
	body, err := json.Marshal(message)
	if err != nil {
		t.Fatal(err)
	}
	status, reply, _, err := sendRequest(context.Background(), http.MethodPost, url, nil, body)
	if err != nil {
		t.Fatalf("post %s: %v", url, err)
	}
	return status, reply
}

// sendRequest sends one request on a connection of its own and returns the status, the body and the header of the reply.
func sendRequest(ctx context.Context, method, url string, header http.Header, body []byte) (int, []byte, http.Header, error) {
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

// publishHostList sends the host list to the platform, which shows it after the host list delay set in newFleet.
func (f *fleet) publishHostList() {
	f.t.Helper()
	status, body := postJSON(f.t, "http://"+f.platformAddress+"/admin/hosts", &mangomessage.HostList{Hosts: f.hostList})
	if status != http.StatusOK && status != http.StatusNoContent {
		f.t.Fatalf("publish the host list: status %d, body %s", status, body)
	}
}

// setListedHost adds a host to the host list or replaces the host of that name. It does not publish the list.
func (f *fleet) setListedHost(h *mangomessage.ListedHost) {
	for i, old := range f.hostList {
		if old.Name == h.Name {
			f.hostList[i] = h
			return
		}
	}
	f.hostList = append(f.hostList, h)
}

// setStandInFaults replaces the injected faults of the stand-in at an address.
func (f *fleet) setStandInFaults(address string, faults map[string]any) {
	f.t.Helper()
	status, body := postJSON(f.t, "http://"+address+"/admin/faults", faults)
	if status != http.StatusOK && status != http.StatusNoContent {
		f.t.Fatalf("set faults: status %d, body %s", status, body)
	}
}

// engineSpec describes an engine stand-in that serves the layers from (inclusive) to (exclusive) of a model version.
type engineSpec struct {
	name, centre, version string
	from, to              int
	flags                 []string
	// proxyAddress is listed in place of address when a fault proxy stands in front of the engine.
	proxyAddress string
	// address is the address to listen on; empty means a free one.
	address string
}

// startEngine starts an engine, adds it to the host list and returns its own address.
func (f *fleet) startEngine(spec engineSpec) string {
	f.t.Helper()
	at := spec.address
	if at == "" {
		at = freeAddress(f.t)
	}
	args := append([]string{
		"engine", "--address", at, "--host", spec.name, "--kind", "a100", "--model", "tekst-model",
		"--version", spec.version, "--from-layer", strconv.Itoa(spec.from), "--to-layer", strconv.Itoa(spec.to),
		"--max-batch", "8", "--step-time", "5ms", "--prefill-time", "100us", "--lag", "200ms", "--end-probability", "0",
	}, spec.flags...)
	f.engines[spec.name] = startProcess(f.t, spec.name, "mangostandin", args...)
	eventually(f.t, startTimeout, spec.name+" answers", func() bool { return respondsOK("http://" + at + "/v1/state") })
	listedAddress := at
	if spec.proxyAddress != "" {
		listedAddress = spec.proxyAddress
	}
	f.setListedHost(&mangomessage.ListedHost{Name: spec.name, Role: "Engine", DataCentre: spec.centre, Address: listedAddress, Kind: "a100"})
	return at
}

// startService starts a plain service, adds it to the host list and returns its address.
func (f *fleet) startService(name, centre string, flags ...string) string {
	f.t.Helper()
	at := freeAddress(f.t)
	f.services[name] = startProcess(f.t, name, "mangostandin", append([]string{"service", "--address", at, "--host", name, "--delay", "5ms"}, flags...)...)
	eventually(f.t, startTimeout, name+" answers", func() bool { return respondsOK("http://" + at + "/admin/executions") })
	f.setListedHost(&mangomessage.ListedHost{Name: name, Role: "Service", DataCentre: centre, Address: at, Kind: "service"})
	return at
}

// startEntryHost starts an entry host and adds it to the host list. The changes to its settings are as in writeSettings.
func (f *fleet) startEntryHost(name, centre string, change ...string) *entryHost {
	f.t.Helper()
	e := &entryHost{name: name, centre: centre, callerAddress: freeAddress(f.t), operatorAddress: freeAddress(f.t), peerAddress: freeAddress(f.t)}
	e.settingsFile = filepath.Join(f.dir, name+".ini")
	f.writeSettings(e, change...)
	f.runEntryHost(e)
	f.entryHosts = append(f.entryHosts, e)
	f.setListedHost(&mangomessage.ListedHost{Name: name, Role: "Entry", DataCentre: centre, Address: e.peerAddress})
	return e
}

// writeSettings writes the settings file of an entry host. Each change is Section.Key=Value; an empty value omits the key.
func (f *fleet) writeSettings(e *entryHost, change ...string) {
	f.t.Helper()
	var seeds []string
	for _, other := range f.entryHosts {
		seeds = append(seeds, other.peerAddress)
	}
	values := map[string]map[string]string{
		"Host":      {"Name": e.name, "DataCentre": e.centre, "Region": "nl-centrum"},
		"Callers":   {"Address": e.callerAddress, "DrainDelay": "300ms"},
		"Operators": {"Address": e.operatorAddress, "Token": operatorToken},
		"Peers":     {"Address": e.peerAddress, "SharedKey": "peer-key", "Seeds": strings.Join(seeds, ",")},
		"Platform":  {"Address": f.platformAddress},
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
	if err := os.WriteFile(e.settingsFile, []byte(text.String()), 0o600); err != nil {
		f.t.Fatal(err)
	}
}

// runEntryHost starts the process of an entry host and waits until its readiness check passes.
func (f *fleet) runEntryHost(e *entryHost) {
	f.t.Helper()
	e.process = startProcess(f.t, e.name, "mangopath", "serve", "-c", e.settingsFile)
	eventually(f.t, startTimeout, e.name+" ready", func() bool { return respondsOK("http://" + e.operatorAddress + "/readyz") })
}

// stageLayers returns the layers of stage i, from (inclusive) to (exclusive), in a pipeline of three equal stages.
func stageLayers(i int) (from, to int) { return i * modelLayers / 3, (i + 1) * modelLayers / 3 }

// startPipeline starts n replicas of each of the three stages of a version in a data centre.
func (f *fleet) startPipeline(version, centre string, n int, flags ...string) {
	f.t.Helper()
	for i := range 3 {
		from, to := stageLayers(i)
		for r := range n {
			name := fmt.Sprintf("%s-%s-s%d-r%d", centre, version, i, r)
			f.startEngine(engineSpec{name: name, centre: centre, version: version, from: from, to: to, flags: flags})
		}
	}
}

// waitServing waits until each entry host serves a completion by a model name, that is, until it has the host list and has
// probed the engines.
func (f *fleet) waitServing(name string) {
	f.t.Helper()
	for _, e := range f.entryHosts {
		eventually(f.t, startTimeout, e.name+" serves "+name, func() bool {
			a := requestCompletion(context.Background(), e, name, "warm up", 2)
			return a.err == nil && a.status == http.StatusOK
		})
	}
}
