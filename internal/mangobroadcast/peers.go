package mangobroadcast

import (
	"cmp"
	"slices"
	"time"

	"mangopath.org/mangopath/internal/mangostate"
	"mangopath.org/mangopath/pkg/mangomessage"
)

// peers returns the daemons to which this one sends its announcements: all other hubs, if it is a hub itself, else its hub or,
// while it follows none, a few hubs.
func (br *Broadcaster) peers(now time.Time) []mangostate.Member {
	if br.topology.IsHub() {
		return br.otherHubs(now)
	}
	if hub, ok := br.topology.Hub(); ok {
		return []mangostate.Member{hub}
	}
	hubs := br.otherHubs(now)
	slices.SortStableFunc(hubs, func(a, b mangostate.Member) int {
		return cmp.Compare(br.distance(a), br.distance(b))
	})
	return hubs[:min(len(hubs), unfollowedPeers)]
}

// distance is 0 for a hub in the own data centre, else 1.
func (br *Broadcaster) distance(m mangostate.Member) int {
	if m.DataCentre == br.self.DataCentre {
		return 0
	}
	return 1
}

// otherHubs returns the other hubs: those that hold seats, and those that sent a message recently.
func (br *Broadcaster) otherHubs(now time.Time) []mangostate.Member {
	br.mu.Lock()
	defer br.mu.Unlock()
	known := map[string]bool{br.self.Name: true}
	var peers []mangostate.Member
	for _, m := range br.state.View().Members {
		if !known[m.Name] {
			known[m.Name] = true
			peers = append(peers, m)
		}
	}
	for name, s := range br.recentSenders {
		switch {
		case now.Sub(s.at) > senderLifetime:
			delete(br.recentSenders, name)
		case !known[name]:
			peers = append(peers, s.member)
		}
	}
	return peers
}

// recordSender remembers the sender of a message, a hub, as a peer.
func (br *Broadcaster) recordSender(from *mangomessage.Member, now time.Time) {
	if from.GetName() == "" || from.GetName() == br.self.Name || from.GetAddress() == "" {
		return
	}
	br.mu.Lock()
	defer br.mu.Unlock()
	br.recentSenders[from.GetName()] = recentSender{member: mangostate.Member{Name: from.GetName(), DataCentre: from.GetDataCentre(), Address: from.GetAddress()}, at: now}
}
