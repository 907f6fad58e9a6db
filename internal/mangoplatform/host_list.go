package mangoplatform

import (
	"time"

	"google.golang.org/protobuf/proto"

	"mangopath.org/mangopath/pkg/mangomessage"
)

// hostListVersion is a version of the host list with the time from which it is visible.
type hostListVersion struct {
	visibleFrom time.Time
	hosts       []*mangomessage.ListedHost
}

// delayedHostList is an eventually consistent host list: a new version becomes visible only after a delay.
type delayedHostList struct {
	versions []hostListVersion
	// frozenAt is when the list was frozen; zero means that it is not frozen.
	frozenAt time.Time
	// lastAsOfMs is the highest AsOfMs that was returned, in Unix milliseconds.
	lastAsOfMs int64
}

func (h *delayedHostList) add(list *mangomessage.HostList, visibleFrom time.Time) {
	h.versions = append(h.versions, hostListVersion{visibleFrom: visibleFrom, hosts: list.Hosts})
}

// setFrozen freezes the visible list as of now, or ends the freeze.
func (h *delayedHostList) setFrozen(frozen bool, now time.Time) {
	if !frozen {
		h.frozenAt = time.Time{}
	} else if h.frozenAt.IsZero() {
		h.frozenAt = now
	}
}

// visibleAt returns the version that is visible now, or when the list was frozen. AsOfMs is that time less the delay and
// never decreases.
func (h *delayedHostList) visibleAt(now time.Time, delay time.Duration) *mangomessage.HostList {
	if !h.frozenAt.IsZero() {
		now = h.frozenAt
	}
	h.lastAsOfMs = max(h.lastAsOfMs, now.Add(-delay).UnixMilli())
	list := &mangomessage.HostList{AsOfMs: h.lastAsOfMs}
	for i := len(h.versions) - 1; i >= 0; i-- {
		if !h.versions[i].visibleFrom.After(now) {
			h.versions = h.versions[i:]
			list.Hosts = h.versions[0].hosts
			break
		}
	}
	return proto.CloneOf(list)
}
