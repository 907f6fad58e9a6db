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

// startRandomFault starts one fault of the schedule.
func (s *soak) startRandomFault() {
	faults := []func(){s.killEntry, s.pauseEntry, s.takeStoreDown, s.slowStore, s.dropStoreReplies, s.killEngine, s.drainEngine, s.switchAlias, s.switchAlias}
	faults[s.rand.IntN(len(faults))]()
}

// startFault runs a fault unless one of its kind is on, and ends it after a random time up to most.
func (s *soak) startFault(kind string, most time.Duration, fault, end func()) {
	if s.activeFaults[kind] {
		return
	}
	s.activeFaults[kind] = true
	lasts := 300*time.Millisecond + time.Duration(s.rand.Int64N(int64(most)))
	s.t.Logf("%s %s for %v", time.Now().UTC().Format("15:04:05.000"), kind, lasts.Round(time.Millisecond))
	fault()
	s.scheduledEnds = append(s.scheduledEnds, scheduledEnd{at: time.Now().Add(lasts), end: func() {
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

// killEngine kills one engine at a time and starts it again without state at another address.
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

func (s *soak) drainEngine() {
	name := fmt.Sprintf("nieuwegein-v%d-s%d-r%d", 1+s.rand.IntN(2), s.rand.IntN(3), s.rand.IntN(2))
	s.startFault("drain", 3*time.Second, func() { s.proposeChange("HostMark", name, hostMarkEntry(name, true)) }, func() {
		s.proposeChange("HostMark", name, hostMarkEntry(name, false))
	})
}

// switchAlias lets the alias point to the other version; an outcome that is not known is not checked later.
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

// proposeChange sends one change with the entry's present revision through an entry host that answers; 0 means no answer.
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

// currentRevision returns the revision of an entry on an entry host, 0 when there is none; ok is false without an answer.
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

// resources is what one entry host holds.
type resources struct{ sockets, goroutines, memory float64 }

var goroutinesMetric = regexp.MustCompile(`(?m)^go_goroutines (\S+)`)

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

// checkResources waits until idle connections have ended and fails on growth that stays.
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
