package mangocontrol

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"mangopath.org/mangopath/internal/mangoprofile"
	"mangopath.org/mangopath/pkg/mangomessage"
)

// bookAt returns a book at a revision to which each change added one customer.
func bookAt(t testing.TB, revision uint64) *mangoprofile.Book {
	t.Helper()
	book := mangoprofile.New()
	for r := uint64(1); r <= revision; r++ {
		name := fmt.Sprintf("customer-%d", r)
		next, err := book.With(&mangomessage.Entry{ChangeId: name, Revision: r, Author: "test", Content: &mangomessage.Entry_Customer{
			Customer: &mangomessage.Customer{Name: name},
		}})
		if err != nil {
			t.Fatal(err)
		}
		book = next
	}
	return book
}

// TestBookNeverGoesBack guards against a return to an older revision when books arrive out of order.
func TestBookNeverGoesBack(t *testing.T) {
	for _, c := range []struct {
		name              string
		arrivals          []uint64
		revision, adopted uint64
	}{
		{"in order", []uint64{1, 2, 3}, 3, 3},
		{"old after new", []uint64{3, 1, 2}, 3, 1},
		{"same again", []uint64{2, 2}, 2, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := newState(time.Time{})
			adopted := uint64(0)
			for _, r := range c.arrivals {
				if s.adoptBook(bookAt(t, r)) {
					adopted++
				}
			}
			is.Equal(s.book.Revision(), c.revision)
			is.Equal(adopted, c.adopted)
		})
	}
}

// TestUnrelatedConfirmationIsIgnored guards against a daemon that takes an old revision for the newest one, because a
// confirmation arrives late or is for a revision that the daemon does not have.
func TestUnrelatedConfirmationIsIgnored(t *testing.T) {
	start := time.Unix(1000, 0)
	for _, c := range []struct {
		name     string
		revision uint64
		at, want time.Time
	}{
		{"own revision", 2, start.Add(time.Second), start.Add(time.Second)},
		{"earlier than the known one", 2, start.Add(-time.Second), start},
		{"revision that is not here yet", 3, start.Add(time.Second), start},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := newState(time.Time{})
			s.adoptBook(bookAt(t, 2))
			s.recordConfirmation(2, start)
			s.recordConfirmation(c.revision, c.at)
			is.Equal(s.confirmedAt, c.want)
		})
	}
}

// TestMembersFollowIncarnation guards against an entry host that counts as live after it announced its shutdown, or as
// gone after it restarted.
func TestMembersFollowIncarnation(t *testing.T) {
	now := time.Unix(1000, 0)
	member := func(incarnation uint64, leaving bool) *mangomessage.Member {
		return &mangomessage.Member{Name: "a", Incarnation: incarnation, Leaving: leaving}
	}
	for _, c := range []struct {
		name   string
		heard  []*mangomessage.Member
		silent time.Duration
		live   int
	}{
		{"live", []*mangomessage.Member{member(1, false)}, 0, 1},
		{"leaving stays leaving", []*mangomessage.Member{member(1, true), member(1, false)}, 0, 0},
		{"restarted", []*mangomessage.Member{member(1, true), member(2, false)}, 0, 1},
		{"late news of an earlier run", []*mangomessage.Member{member(2, false), member(1, true)}, 0, 1},
		{"silent", []*mangomessage.Member{member(1, false)}, time.Minute, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := newState(now)
			for _, m := range c.heard {
				s.updateMember(m, now)
			}
			is.Equal(len(s.liveMembers(now.Add(c.silent))), c.live)
		})
	}
}

// TestListIsPassedOnOnlyWhenChanged guards against exchanges that all contain the host list, 315 KB long, because its
// time advanced although its hosts are the same.
func TestListIsPassedOnOnlyWhenChanged(t *testing.T) {
	is := is.New(t)
	s := newState(time.Now())
	list := func(asOf int64, hosts ...string) *mangomessage.HostList {
		l := &mangomessage.HostList{AsOfMs: asOf}
		for _, h := range hosts {
			l.Hosts = append(l.Hosts, &mangomessage.ListedHost{Name: h, Role: "Engine", Address: h + ":1"})
		}
		return l
	}
	for _, c := range []struct {
		list *mangomessage.HostList
		want int64
	}{
		{list(10, "a", "b"), 10},
		{list(20, "a", "b"), 10},
		{list(30, "a"), 30},
		{list(25, "a", "b"), 30}, // an older list changes nothing
		{list(40, "a", "b"), 40}, // a return to an earlier list is a change
	} {
		s.adoptHostList(c.list, time.Now())
		is.Equal(s.hostListChangedMs, c.want)
	}
}
