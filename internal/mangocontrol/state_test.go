package mangocontrol

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"mangopath.org/mangopath/pkg/mangomessage"
)

// TestListIsPassedOnOnlyWhenChanged guards against a list of 315 KB in every exchange because its time moved on.
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
		{list(40, "a", "b"), 40}, // a change back is a change
	} {
		s.adoptList(c.list, time.Now())
		is.Equal(s.listChanged, c.want)
	}
}
