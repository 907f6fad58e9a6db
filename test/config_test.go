package test

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// changeBound is the time within which an accepted change must be in force on every reachable entry host.
const changeBound = 5 * time.Second

// configRevision returns the configuration revision that an entry host reports, 0 when it does not answer.
func configRevision(e *entryHost) uint64 {
	status, body, err := sendOperatorRequest(e, http.MethodGet, "/v1/status", nil)
	if err != nil || status != http.StatusOK {
		return 0
	}
	var s struct{ Revision json.Number }
	if err := json.Unmarshal(body, &s); err != nil {
		return 0
	}
	n, _ := s.Revision.Int64()
	return uint64(n)
}

// waitForVersion waits until all given entry hosts serve an alias with a version of the model and returns how long that
// took.
func waitForVersion(t testing.TB, hosts []*entryHost, name, version string) time.Duration {
	t.Helper()
	return eventually(t, changeBound, name+" serves "+version, func() bool {
		for _, e := range hosts {
			if requestCompletion(context.Background(), e, name, "check", 4).text != expectedText(version, "check", 4) {
				return false
			}
		}
		return true
	})
}

// newTwoVersionFleet starts entry hosts and a pipeline of each of two model versions, with the alias "tekst" on v1.
func newTwoVersionFleet(t *testing.T, entries int) *fleet {
	t.Helper()
	f := newStandardFleet(t, entries, 1)
	f.startPipeline("v2", "nieuwegein", 1)
	f.publishHostList()
	mustPropose(t, f.entryHosts[0], newChange("v2", 0, profileEntry(modelProfile("tekst-v2", "v2"))))
	f.waitServing("tekst-v2")
	return f
}

// aliasRevision returns the revision of the configuration entry of an alias.
func aliasRevision(t testing.TB, e *entryHost, name string) uint64 {
	t.Helper()
	status, body, err := sendOperatorRequest(e, http.MethodGet, "/v1/entries?Kind=Alias", nil)
	if err != nil || status != http.StatusOK {
		t.Fatalf("entries: %d %v", status, err)
	}
	var reply struct {
		Entries []struct {
			Revision json.Number
			Alias    struct{ Name string }
		}
	}
	if err := json.Unmarshal(body, &reply); err != nil {
		t.Fatal(err)
	}
	for _, a := range reply.Entries {
		if a.Alias.Name == name {
			n, _ := a.Revision.Int64()
			return uint64(n)
		}
	}
	t.Fatalf("no alias %s in %s", name, body)
	return 0
}

// Guards against a change that reaches some entry hosts late, and against operators who overwrite each other's changes.
func TestSwitchIsInForceEverywhere(t *testing.T) {
	is := is.New(t)
	f := newTwoVersionFleet(t, 8)
	expected := aliasRevision(t, f.entryHosts[0], "tekst")
	status, _ := propose(f.entryHosts[3], newChange("s1", expected, aliasEntry("tekst", "tekst-v2")))
	is.Equal(status, http.StatusOK)
	t.Logf("in force on 8 entry hosts after %v", waitForVersion(t, f.entryHosts, "tekst", "v2"))
	status, body := propose(f.entryHosts[5], newChange("s2", expected, aliasEntry("tekst", "tekst-v1")))
	is.Equal(status, http.StatusConflict) // the second operator expects the revision before s1
	is.True(strings.Contains(body, "s1"))
	status, _ = propose(f.entryHosts[6], newChange("s1", expected, aliasEntry("tekst", "tekst-v2")))
	is.Equal(status, http.StatusOK) // a repeated change id is answered as the accepted change
}

// Guards against an accepted change that is lost or undone by faults of the store or the loss of the entry host that wrote
// it.
func TestSwitchUnderStoreFaults(t *testing.T) {
	for _, c := range []struct {
		name   string
		before func(f *fleet)
		after  func(f *fleet)
	}{
		{name: "reply to the write lost", before: func(f *fleet) { f.setStandInFaults(f.platformAddress, map[string]any{"DropReplies": 2}) }},
		{name: "store down right after the change", after: func(f *fleet) { f.setStandInFaults(f.platformAddress, map[string]any{"Down": true}) }},
		{name: "store slow", before: func(f *fleet) { f.setStandInFaults(f.platformAddress, map[string]any{"DelayMs": 200}) }},
		{name: "entry host killed right after the change", after: func(f *fleet) { f.entryHosts[0].kill() }},
		{name: "store restored to an older state", before: func(f *fleet) {
			postJSON(f.t, "http://"+f.platformAddress+"/admin/snapshot", nil)
		}, after: func(f *fleet) {
			// The start of the fleet makes 6 changes, this is the 7th.
			eventually(f.t, changeBound, "peer has the change", func() bool { return configRevision(f.entryHosts[1]) >= 7 })
			postJSON(f.t, "http://"+f.platformAddress+"/admin/restore", nil)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newTwoVersionFleet(t, 3)
			expected := aliasRevision(t, f.entryHosts[0], "tekst")
			if c.before != nil {
				c.before(f)
			}
			status, body := propose(f.entryHosts[0], newChange("s1", expected, aliasEntry("tekst", "tekst-v2")))
			t.Logf("change: %d %.200s", status, body)
			is.Equal(status, http.StatusOK)
			if c.after != nil {
				c.after(f)
			}
			waitForVersion(t, f.entryHosts[1:], "tekst", "v2")
			f.checkVersionStays("tekst", "v2", f.entryHosts[1:], 3*time.Second)
		})
	}
}

// checkVersionStays calls the entry hosts for a while and fails the test when one serves another version of the model.
func (f *fleet) checkVersionStays(name, version string, hosts []*entryHost, during time.Duration) {
	f.t.Helper()
	want := expectedText(version, "check", 4)
	for begin := time.Now(); time.Since(begin) < during; {
		for _, e := range hosts {
			if a := requestCompletion(context.Background(), e, name, "check", 4); a.text != want {
				f.t.Fatalf("%s went back to another version: text %q, want %q (%+v)", e.name, a.text, want, a)
			}
		}
	}
}

// Guards against an entry host that resumes after a pause and routes its first call by the profile from before the pause.
func TestResumedEntryHostFollowsNewestProfile(t *testing.T) {
	is := is.New(t)
	f := newTwoVersionFleet(t, 2)
	paused := f.entryHosts[1]
	paused.signal(syscall.SIGSTOP)
	expected := aliasRevision(t, f.entryHosts[0], "tekst")
	status, _ := propose(f.entryHosts[0], newChange("s1", expected, aliasEntry("tekst", "tekst-v2")))
	is.Equal(status, http.StatusOK)
	time.Sleep(4 * time.Second) // longer than the freshness bound
	first := make(chan callResult, 1)
	go func() { first <- requestCompletion(context.Background(), paused, "tekst", "check", 4) }()
	time.Sleep(100 * time.Millisecond) // the call waits in the socket of the paused process
	paused.signal(syscall.SIGCONT)
	is.Equal((<-first).text, expectedText("v2", "check", 4))
}

// Guards against an entry host that starts during an outage of the store and serves nothing, or an old profile.
func TestStartWhileStoreIsDown(t *testing.T) {
	is := is.New(t)
	f := newTwoVersionFleet(t, 2)
	expected := aliasRevision(t, f.entryHosts[0], "tekst")
	status, _ := propose(f.entryHosts[0], newChange("s1", expected, aliasEntry("tekst", "tekst-v2")))
	is.Equal(status, http.StatusOK)
	waitForVersion(t, f.entryHosts, "tekst", "v2")
	f.setStandInFaults(f.platformAddress, map[string]any{"Down": true})
	late := f.startEntryHost("z-entry", "nieuwegein")
	eventually(t, startTimeout, "late entry host serves", func() bool {
		a := requestCompletion(context.Background(), late, "tekst", "check", 4)
		if a.completed && a.text != expectedText("v2", "check", 4) {
			t.Fatalf("late entry host served an old profile: %+v", a)
		}
		return a.completed
	})
	is.Equal(configRevision(late), configRevision(f.entryHosts[0]))
}
