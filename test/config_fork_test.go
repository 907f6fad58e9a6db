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

// Guards against entry hosts that are stuck, or go on with different books, after a restored store accepted another
// change at a revision that they know already.
func TestForkAfterRestore(t *testing.T) {
	for _, c := range []struct {
		name        string
		known, late int
		kept        string
	}{
		{"known history is longer", 2, 1, "k1"},
		{"store's history is longer", 1, 2, "l1"},
		{"both are as long", 1, 1, "l0"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := switchable(t, 2)
			old := append([]*entry{}, f.entries...)
			post(t, "http://"+f.platform+"/admin/snapshot", nil)
			for i := range c.known {
				declare(t, old[0], change(fmt.Sprintf("k%d", i), 0, markEntry(fmt.Sprintf("host-k%d", i), true)))
			}
			eventually(t, changeBound, "known by both", func() bool { return revision(old[1]) == revision(old[0]) })
			for _, e := range old {
				e.signal(syscall.SIGSTOP)
			}
			post(t, "http://"+f.platform+"/admin/restore", nil)
			late := f.entry("late-entry", "nieuwegein")
			f.publish()
			for i := range c.late {
				declare(t, late, change(fmt.Sprintf("l%d", i), 0, markEntry(fmt.Sprintf("host-l%d", i), true)))
			}
			for _, e := range old {
				e.signal(syscall.SIGCONT)
			}
			took := eventually(t, 15*time.Second, "all have one history", func() bool {
				last := lastChange(t, late)
				return last == c.kept && lastChange(t, old[0]) == last && lastChange(t, old[1]) == last
			})
			t.Logf("one history after %v", took)
			forks := 0
			for _, e := range f.entries {
				s := statusOf(e)
				forks += s.Forks
				t.Logf("%s: forks %d %s", e.name, s.Forks, s.Fork)
			}
			is.True(forks > 0)
			declare(t, old[1], change("s1", aliasRevision(t, old[1], "tekst"), aliasEntry("tekst", "tekst-v2")))
			inForce(t, f.entries, "tekst", "v2")
			f.stays("tekst", "v2", f.entries, 2*time.Second)
			for _, e := range f.entries {
				is.Equal(lastChange(t, e), "s1")
				is.True(!statusOf(e).Unconfirmed)
			}
		})
	}
}

// lastChange returns the id of the latest change that an entry host has in force.
func lastChange(t *testing.T, e *entry) string {
	t.Helper()
	status, body, err := operate(e, http.MethodGet, "/v1/entries", nil)
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
