package mangoplatform

import (
	"time"

	"google.golang.org/protobuf/proto"

	"mangopath.org/mangopath/pkg/mangomessage"
)

// hostListVersion is a host list that becomes visible at a time.
type hostListVersion struct {
	visibleFrom time.Time
	hosts       []*mangomessage.ListedHost
}

// delayedHostList is an eventually consistent host list.
type delayedHostList struct {
	versions   []hostListVersion
	frozenAt   time.Time
	lastAsOfMs int64
}

func (h *delayedHostList) add(list *mangomessage.HostList, visibleFrom time.Time) {
	h.versions = append(h.versions, hostListVersion{visibleFrom: visibleFrom, hosts: list.Hosts})
}

// setFrozen stops the list at a time, and continues it when the flag is false.
func (h *delayedHostList) setFrozen(on bool, now time.Time) {
	if !on {
		h.frozenAt = time.Time{}
	} else if h.frozenAt.IsZero() {
		h.frozenAt = now
	}
}

// visibleAt returns the list that is visible at a time. AsOfMs is that time less the delay and never goes back.
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
