package mangoplatform

import (
	"time"

	"google.golang.org/protobuf/proto"

	"mangopath.org/mangopath/pkg/mangomessage"
)

// pendingList is a host list that becomes visible at a time.
type pendingList struct {
	visible time.Time
	hosts   []*mangomessage.ListedHost
}

// hosts is an eventually consistent host list.
type hosts struct {
	lists  []pendingList
	frozen time.Time
	asOf   int64
}

func (h *hosts) add(list *mangomessage.HostList, visible time.Time) {
	h.lists = append(h.lists, pendingList{visible: visible, hosts: list.Hosts})
}

// freeze stops the list at a time, and continues it when the flag is false.
func (h *hosts) freeze(on bool, now time.Time) {
	if !on {
		h.frozen = time.Time{}
	} else if h.frozen.IsZero() {
		h.frozen = now
	}
}

// at returns the list that is visible at a time. AsOfMs is that time less the delay and never goes back.
func (h *hosts) at(now time.Time, delay time.Duration) *mangomessage.HostList {
	if !h.frozen.IsZero() {
		now = h.frozen
	}
	h.asOf = max(h.asOf, now.Add(-delay).UnixMilli())
	list := &mangomessage.HostList{AsOfMs: h.asOf}
	for i := len(h.lists) - 1; i >= 0; i-- {
		if !h.lists[i].visible.After(now) {
			h.lists = h.lists[i:]
			list.Hosts = h.lists[0].hosts
			break
		}
	}
	return proto.CloneOf(list)
}
