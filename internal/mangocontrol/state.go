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
	// baseMemberTimeout is the time without news of an entry host after which a small fleet takes it for dead and
	// divides its capacity among the others. Exchanges reach every member of a data centre well within it.
	baseMemberTimeout = 10 * time.Second
	// membersPerTimeout is the number of members for which baseMemberTimeout is long enough; memberTimeout grows by one
	// baseMemberTimeout for each such number.
	membersPerTimeout = 64
	// inFlightMaxAge is the age from which a peer's report of its calls in flight is ignored.
	inFlightMaxAge = 10 * time.Second
)

// state is the mutable control state. Only the control goroutine uses it; all others read snapshots.
type state struct {
	book         *mangoprofile.Book
	directory    *mangohost.Directory
	members      map[string]member
	peerInFlight map[string]inFlightReport
	// confirmedAt is the latest time at which the book is known to have been the newest one.
	confirmedAt time.Time
	hostList    *mangomessage.HostList
	// hostListChangedMs is the time of the first host list with the content of hostList, in Unix milliseconds. A peer that
	// has a list from this time or later needs no other.
	hostListChangedMs int64
	// viewsStale says that a snapshot is to be published without the cached views, which the present state contradicts.
	viewsStale bool
	// confirmationChanged says that a snapshot is to be published for the sake of confirmedAt; cached views still hold.
	confirmationChanged bool
}

// member holds what is known about another entry host.
type member struct {
	message *mangomessage.Member
	// heardAt is the last time at which this daemon or a peer that relayed it is known to have heard from the member.
	heardAt time.Time
	// knownRevision is the highest revision of the book that the member reported.
	knownRevision uint64
}

// inFlightReport holds a peer's number of calls in flight for each upstream host.
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

// adoptBook replaces the book by a newer one and reports whether it did; an older book is ignored.
func (s *state) adoptBook(book *mangoprofile.Book) bool {
	if book.Revision() <= s.book.Revision() {
		return false
	}
	s.book = book
	s.directory = s.directory.WithMarks(book.Draining)
	s.viewsStale = true
	return true
}

// recordConfirmation records that no revision newer than the given one existed at a time. It is ignored when the book does
// not yet have that revision or a later confirmation is known.
func (s *state) recordConfirmation(revision uint64, at time.Time) {
	if s.book.Revision() < revision || !at.After(s.confirmedAt) {
		return
	}
	s.confirmedAt = at
	s.confirmationChanged = true
}

// adoptHostList replaces the host list by a newer one; an older list is ignored.
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

// equalHostLists compares two host lists by position, so that the same hosts in another order count as a change.
func equalHostLists(a, b *mangomessage.HostList) bool {
	return a != nil && slices.EqualFunc(a.Hosts, b.Hosts, func(x, y *mangomessage.ListedHost) bool { return proto.Equal(x, y) })
}

// updateMember records news of an entry host. News of an earlier incarnation is ignored; within one incarnation a
// member that is leaving stays so, and the later time counts.
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

// recordInFlight replaces a peer's report of its calls in flight.
func (s *state) recordInFlight(daemon string, shares []*mangomessage.Share, receivedAt time.Time) {
	p := inFlightReport{byHost: make(map[string]int, len(shares)), receivedAt: receivedAt}
	for _, sh := range shares {
		p.byHost[sh.Host] = int(sh.InFlight)
	}
	s.peerInFlight[daemon] = p
}

// sumPeerInFlight adds up the calls that peers have in flight, by upstream host.
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

// memberTimeout returns the time without news after which an entry host counts as dead. It grows with the fleet: where
// 410 daemons relay 20 members in an exchange, a daemon hears of each other one every 10 s on average, so that a third
// of them would count as dead after baseMemberTimeout.
func (s *state) memberTimeout() time.Duration {
	return baseMemberTimeout * time.Duration(max(1, len(s.members)/membersPerTimeout))
}

// liveMembers returns the other entry hosts that were heard of within memberTimeout and are not leaving.
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

// expireMembers removes entry hosts without news for three times memberTimeout.
func (s *state) expireMembers(now time.Time) {
	timeout := s.memberTimeout()
	for name, m := range s.members {
		if now.Sub(m.heardAt) > 3*timeout {
			delete(s.members, name)
			delete(s.peerInFlight, name)
		}
	}
}
