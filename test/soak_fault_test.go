package test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"regexp"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"mangopath.org/mangopath/pkg/mangomessage"
)

// startRandomFault starts a random fault or configuration change; a switch of the alias is twice as likely as the others.
func (s *soak) startRandomFault() {
	faults := []func(){s.killEntry, s.pauseEntry, s.takeStoreDown, s.slowStore, s.dropStoreReplies, s.killEngine, s.drainEngine, s.switchAlias, s.switchAlias}
	faults[s.rand.IntN(len(faults))]()
}

// startFault starts a fault unless one of the same kind is active. It schedules the end after 300 ms and a random time
// below maxExtra.
func (s *soak) startFault(kind string, maxExtra time.Duration, fault, end func()) {
	if s.activeFaults[kind] {
		return
	}
	s.activeFaults[kind] = true
	duration := 300*time.Millisecond + time.Duration(s.rand.Int64N(int64(maxExtra)))
	s.t.Logf("%s %s for %v", time.Now().UTC().Format("15:04:05.000"), kind, duration.Round(time.Millisecond))
	fault()
	s.scheduledEnds = append(s.scheduledEnds, scheduledEnd{at: time.Now().Add(duration), end: func() {
		end()
		s.activeFaults[kind] = false
	}})
}

func (s *soak) randomEntry() *entryHost { return s.f.entryHosts[s.rand.IntN(soakEntries)] }

func (s *soak) killEntry() {
	e := s.randomEntry()
	if s.activeFaults["pause "+e.name] {
		return
	}
	s.startFault("kill "+e.name, 2*time.Second, e.kill, func() { e.process = startProcess(s.t, e.name, "mangopath", "serve", "-c", e.settingsFile) })
}

func (s *soak) pauseEntry() {
	e := s.randomEntry()
	if s.activeFaults["kill "+e.name] {
		return
	}
	s.startFault("pause "+e.name, 5*time.Second, func() { e.signal(syscall.SIGSTOP) }, func() { e.signal(syscall.SIGCONT) })
}

// startStoreFault sets faults of the platform stand-in, which holds the store; off are the values that end them.
func (s *soak) startStoreFault(kind string, on, off map[string]any) {
	s.startFault(kind, 3*time.Second, func() { s.f.setStandInFaults(s.f.platformAddress, on) }, func() { s.f.setStandInFaults(s.f.platformAddress, off) })
}

func (s *soak) takeStoreDown() {
	s.startStoreFault("store down", map[string]any{"Down": true}, map[string]any{"Down": false})
}

func (s *soak) slowStore() {
	s.startStoreFault("store slow", map[string]any{"DelayMs": 400}, map[string]any{"DelayMs": 0})
}

func (s *soak) dropStoreReplies() {
	s.startStoreFault("store loses replies", map[string]any{"DropReplies": 4}, map[string]any{"DropReplies": 0})
}

// killEngine kills a random engine, unless one is down, and later starts it again without state at another address.
func (s *soak) killEngine() {
	version, i, r := 1+s.rand.IntN(2), s.rand.IntN(3), s.rand.IntN(2)
	name := fmt.Sprintf("nieuwegein-v%d-s%d-r%d", version, i, r)
	s.startFault("kill an engine", 2*time.Second, func() {
		s.t.Log("engine " + name)
		s.f.engines[name].kill()
	}, func() {
		from, to := stageLayers(i)
		s.f.startEngine(engineSpec{name: name, centre: "nieuwegein", version: fmt.Sprintf("v%d", version), from: from, to: to})
		s.f.publishHostList()
	})
}

// drainEngine marks a random engine as leaving and later removes the mark.
func (s *soak) drainEngine() {
	name := fmt.Sprintf("nieuwegein-v%d-s%d-r%d", 1+s.rand.IntN(2), s.rand.IntN(3), s.rand.IntN(2))
	s.startFault("drain", 3*time.Second, func() { s.proposeChange("HostMark", name, hostMarkEntry(name, true)) }, func() {
		s.proposeChange("HostMark", name, hostMarkEntry(name, false))
	})
}

// switchAlias points the alias to the other version. If the change is not confirmed, checkResults does not check the
// version in force.
func (s *soak) switchAlias() {
	next := "tekst-v1"
	if s.aliasTarget == next {
		next = "tekst-v2"
	}
	switch status := s.proposeChange("Alias", "tekst", aliasEntry("tekst", next)); status {
	case http.StatusOK:
		s.aliasTarget, s.aliasKnown = next, true
		s.t.Logf("alias on %s", next)
	default:
		s.aliasKnown = false
		s.t.Logf("switch to %s: status %d", next, status)
	}
}

// proposeChange sends a change of one entry, based on its current revision, to a random entry host that is neither killed
// nor paused. It returns the HTTP status, or 0 if no entry host answered.
func (s *soak) proposeChange(kind, name string, entry *mangomessage.Entry) int {
	s.changeCount++
	id := fmt.Sprintf("soak-%d", s.changeCount)
	for range 8 {
		e := s.randomEntry()
		if s.activeFaults["kill "+e.name] || s.activeFaults["pause "+e.name] {
			continue
		}
		expected, ok := currentRevision(e, kind, name)
		if !ok {
			continue
		}
		status, body := propose(e, newChange(id, expected, entry))
		if status != http.StatusOK {
			s.t.Logf("change %s: %d %s", id, status, tail(body, 200))
		}
		return status
	}
	return 0
}

// currentRevision returns the revision of an entry as an entry host knows it, or 0 if the entry does not exist. It returns
// false if the entry host does not answer.
func currentRevision(e *entryHost, kind, name string) (uint64, bool) {
	status, body, err := sendOperatorRequest(e, http.MethodGet, "/v1/entries?Kind="+kind, nil)
	if err != nil || status != http.StatusOK {
		return 0, false
	}
	var reply struct {
		Entries []struct {
			Revision json.Number
			Alias    struct{ Name string }
			HostMark struct{ Host string }
		}
	}
	if err := json.Unmarshal(body, &reply); err != nil {
		return 0, false
	}
	for _, a := range reply.Entries {
		if a.Alias.Name == name || a.HostMark.Host == name {
			n, _ := a.Revision.Int64()
			return uint64(n), true
		}
	}
	return 0, true
}

// resources holds the open sockets, the goroutines and the resident memory in MB of one entry host.
type resources struct{ sockets, goroutines, memory float64 }

var goroutinesMetric = regexp.MustCompile(`(?m)^go_goroutines (\S+)`)

// measureResources returns the resources of each entry host by name.
func measureResources(t *testing.T, f *fleet) map[string]resources {
	t.Helper()
	all := map[string]resources{}
	for _, e := range f.entryHosts {
		dir := fmt.Sprintf("/proc/%d/", e.command.Process.Pid)
		r := resources{memory: procField(t, dir+"status", "VmRSS:") / 1024}
		files, _ := os.ReadDir(dir + "fd")
		for _, file := range files {
			if to, _ := os.Readlink(dir + "fd/" + file.Name()); strings.HasPrefix(to, "socket:") {
				r.sockets++
			}
		}
		_, body, err := sendOperatorRequest(e, http.MethodGet, "/metrics", nil)
		if m := goroutinesMetric.FindSubmatch(body); err == nil && m != nil {
			r.goroutines, _ = strconv.ParseFloat(string(m[1]), 64)
		}
		all[e.name] = r
	}
	return all
}

// checkResources compares the resources with those before the faults. It waits up to 20 s for idle connections to close
// and fails if the growth remains.
func (s *soak) checkResources(before map[string]resources) {
	var grown []string
	var after map[string]resources
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(time.Second) {
		after, grown = measureResources(s.t, s.f), nil
		for name, a := range after {
			b := before[name]
			if a.sockets > 1.5*b.sockets+20 || a.goroutines > 1.5*b.goroutines+40 || a.memory > 2*b.memory+40 {
				grown = append(grown, name)
			}
		}
		if len(grown) == 0 || time.Now().After(end) {
			break
		}
	}
	for _, e := range s.f.entryHosts {
		s.t.Logf("%s: sockets, goroutines, MB before %v after %v", e.name, before[e.name], after[e.name])
	}
	if len(grown) > 0 {
		s.t.Errorf("resources grew on %v", grown)
	}
}
