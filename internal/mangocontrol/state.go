package mangocontrol

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"mangopath.org/mangopath/internal/mangohost"
	"mangopath.org/mangopath/internal/mangoprofile"
	"mangopath.org/mangopath/pkg/mangomessage"
)

const (
	// baseMemberTimeout is the age up to which a silent entry host counts as live when capacity is shared; the exchange
	// reaches every member of a data centre well within it.
	baseMemberTimeout = 10 * time.Second
	// membersPerTimeout is the number of members for which memberLive is long enough.
	membersPerTimeout = 64
	// inFlightMaxAge is the age past which a peer's calls in flight are no longer counted.
	inFlightMaxAge = 10 * time.Second
)

// state is owned by the control goroutine.
type state struct {
	book         *mangoprofile.Book
	directory    *mangohost.Directory
	members      map[string]member
	peerInFlight map[string]inFlightReport
	confirmedAt  time.Time
	hostList     *mangomessage.HostList
	// hostListChangedMs is the time of the first list with the present content; later ones need not be passed on.
	hostListChangedMs int64
	// hostsChanged says that a change of hosts is to be published at once, unpublished that another one is.
	viewsStale          bool
	confirmationChanged bool
}

// member is an entry host and the time at which any daemon last heard of it.
type member struct {
	message *mangomessage.Member
	heardAt time.Time
	// knownRevision is the newest one that the member is known to have.
	knownRevision uint64
}

type inFlightReport struct {
	byHost     map[string]int
	receivedAt time.Time
}

func newState(time.Time) *state {
	return &state{
		book: mangoprofile.New(), directory: mangohost.NewDirectory(),
		members: map[string]member{}, peerInFlight: map[string]inFlightReport{},
	}
}

// adoptBook takes over a newer book; an older one is never taken.
func (s *state) adoptBook(book *mangoprofile.Book) bool {
	if book.Revision() <= s.book.Revision() {
		return false
	}
	s.book = book
	s.directory = s.directory.WithMarks(book.Draining)
	s.viewsStale = true
	return true
}

// recordConfirmation records that the newest revision was the one given at a time, when the book has it.
func (s *state) recordConfirmation(revision uint64, at time.Time) {
	if s.book.Revision() < revision || !at.After(s.confirmedAt) {
		return
	}
	s.confirmedAt = at
	s.confirmationChanged = true
}

// adoptHostList takes over a newer host list.
func (s *state) adoptHostList(list *mangomessage.HostList, now time.Time) {
	next := s.directory.WithList(list, now)
	if next == s.directory {
		return
	}
	if !equalHostLists(s.hostList, list) {
		s.hostListChangedMs = list.AsOfMs
	}
	s.directory = next.WithMarks(s.book.Draining)
	s.hostList = list
	s.viewsStale = true
}

// equalHostLists compares lists that may be in different orders only by position: a new order counts as a change.
func equalHostLists(a, b *mangomessage.HostList) bool {
	return a != nil && slices.EqualFunc(a.Hosts, b.Hosts, func(x, y *mangomessage.ListedHost) bool { return proto.Equal(x, y) })
}

// updateMember takes over what is known about an entry host; a higher incarnation or a later time wins.
func (s *state) updateMember(m *mangomessage.Member, heardAt time.Time) {
	old, ok := s.members[m.Name]
	switch {
	case ok && old.message.Incarnation > m.Incarnation:
		return
	case ok && old.message.Incarnation == m.Incarnation:
		m.Leaving = m.Leaving || old.message.Leaving
		if heardAt.Before(old.heardAt) {
			heardAt = old.heardAt
		}
	}
	s.members[m.Name] = member{message: m, heardAt: heardAt, knownRevision: old.knownRevision}
}

// recordInFlight takes over the calls in flight of a peer.
func (s *state) recordInFlight(daemon string, shares []*mangomessage.Share, receivedAt time.Time) {
	p := inFlightReport{byHost: make(map[string]int, len(shares)), receivedAt: receivedAt}
	for _, sh := range shares {
		p.byHost[sh.Host] = int(sh.InFlight)
	}
	s.peerInFlight[daemon] = p
}

func (s *state) sumPeerInFlight(now time.Time) map[string]int {
	calls := make(map[string]int)
	for _, p := range s.peerInFlight {
		if now.Sub(p.receivedAt) > inFlightMaxAge {
			continue
		}
		for host, n := range p.byHost {
			calls[host] += n
		}
	}
	return calls
}

// memberTimeout is memberLive for a small fleet and grows with it: relays of 20 members reach a daemon of 410 with news of
// each other one every 10 s on average, so that a third would count as dead.
func (s *state) memberTimeout() time.Duration {
	return baseMemberTimeout * time.Duration(max(1, len(s.members)/membersPerTimeout))
}

// liveMembers returns the entry hosts that were heard of lately and do not leave.
func (s *state) liveMembers(now time.Time) []*mangomessage.Member {
	timeout := s.memberTimeout()
	live := make([]*mangomessage.Member, 0, len(s.members))
	for _, m := range s.members {
		if !m.message.Leaving && now.Sub(m.heardAt) <= timeout {
			live = append(live, m.message)
		}
	}
	return live
}

// expireMembers forgets peers that were silent for long.
func (s *state) expireMembers(now time.Time) {
	timeout := s.memberTimeout()
	for name, m := range s.members {
		if now.Sub(m.heardAt) > 3*timeout {
			delete(s.members, name)
			delete(s.peerInFlight, name)
		}
	}
}
