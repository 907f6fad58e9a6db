package test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against entry hosts that get stuck, or keep different configurations, after a store that was restored from a
// backup accepted another change at a revision that they already have. The history at the higher revision must
// win, and at equal revisions the one whose last change id is greater.
func TestForkAfterRestore(t *testing.T) {
	for _, c := range []struct {
		name        string
		known, late int    // changes before and after the restore
		kept        string // id of the last change of the history that wins
	}{
		{"known history is longer", 2, 1, "k1"},
		{"store's history is longer", 1, 2, "l1"},
		{"both are equally long", 1, 1, "l0"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newTwoVersionFleet(t, 2)
			old := append([]*entryHost{}, f.entryHosts...)
			postJSON(t, "http://"+f.platformAddress+"/admin/snapshot", nil)
			for i := range c.known {
				mustPropose(t, old[0], newChange(fmt.Sprintf("k%d", i), 0, hostMarkEntry(fmt.Sprintf("host-k%d", i), true)))
			}
			eventually(t, changeBound, "both entry hosts have the changes", func() bool { return configRevision(old[1]) == configRevision(old[0]) })
			for _, e := range old {
				e.signal(syscall.SIGSTOP)
			}
			postJSON(t, "http://"+f.platformAddress+"/admin/restore", nil)
			late := f.startEntryHost("late-entry", "nieuwegein")
			f.publishHostList()
			for i := range c.late {
				mustPropose(t, late, newChange(fmt.Sprintf("l%d", i), 0, hostMarkEntry(fmt.Sprintf("host-l%d", i), true)))
			}
			for _, e := range old {
				e.signal(syscall.SIGCONT)
			}
			took := eventually(t, 15*time.Second, "all entry hosts have the expected history", func() bool {
				last := lastChangeID(t, late)
				return last == c.kept && lastChangeID(t, old[0]) == last && lastChangeID(t, old[1]) == last
			})
			t.Logf("same history after %v", took)
			forks := 0
			for _, e := range f.entryHosts {
				s := configStatus(e)
				forks += s.Forks
				t.Logf("%s: forks %d %s", e.name, s.Forks, s.Fork)
			}
			is.True(forks > 0)
			mustPropose(t, old[1], newChange("s1", aliasRevision(t, old[1], "tekst"), aliasEntry("tekst", "tekst-v2")))
			waitForVersion(t, f.entryHosts, "tekst", "v2")
			f.checkVersionStays("tekst", "v2", f.entryHosts, 2*time.Second)
			for _, e := range f.entryHosts {
				is.Equal(lastChangeID(t, e), "s1")
				is.True(!configStatus(e).Unconfirmed)
			}
		})
	}
}

// lastChangeID returns the id of the change at the highest revision on an entry host, empty when it does not answer.
func lastChangeID(t *testing.T, e *entryHost) string {
	t.Helper()
	status, body, err := sendOperatorRequest(e, http.MethodGet, "/v1/entries", nil)
	var reply struct {
		Entries []struct {
			ID       string `json:"ChangeId"`
			Revision json.Number
		}
	}
	if err != nil || status != http.StatusOK || json.Unmarshal(body, &reply) != nil {
		return ""
	}
	var last int64
	var id string
	for _, x := range reply.Entries {
		if n, _ := x.Revision.Int64(); n > last {
			last, id = n, x.ID
		}
	}
	return id
}
