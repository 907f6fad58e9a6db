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
	// memberLive is the age up to which a silent entry host counts as live when capacity is shared; the exchange
	// reaches every member of a data centre well within it.
	memberLive = 10 * time.Second
	// memberScale is the number of members for which memberLive is long enough.
	memberScale = 64
	// shareLife is the age past which a peer's calls in flight are no longer counted.
	shareLife = 10 * time.Second
)

// state is owned by the control goroutine.
type state struct {
	book        *mangoprofile.Book
	directory   *mangohost.Directory
	members     map[string]member
	shares      map[string]peerShares
	confirmedAt time.Time
	list        *mangomessage.HostList
	// listChanged is the time of the first list with the present content; later ones need not be passed on.
	listChanged int64
	// dirty says that a change of hosts is to be published at once, unpublished that another one is.
	dirty       bool
	unpublished bool
}

// member is an entry host and the time at which any daemon last heard of it.
type member struct {
	message *mangomessage.Member
	heard   time.Time
	// revision is the newest one that the member is known to have.
	revision uint64
}

type peerShares struct {
	inFlight map[string]int
	at       time.Time
}

func newState(time.Time) *state {
	return &state{
		book: mangoprofile.New(), directory: mangohost.NewDirectory(),
		members: map[string]member{}, shares: map[string]peerShares{},
	}
}

// adopt takes over a newer book; an older one is never taken.
func (s *state) adopt(book *mangoprofile.Book) bool {
	if book.Revision() <= s.book.Revision() {
		return false
	}
	s.book = book
	s.directory = s.directory.WithMarks(book.Draining)
	s.dirty = true
	return true
}

// confirm records that the newest revision was the one given at a time, when the book has it.
func (s *state) confirm(revision uint64, at time.Time) {
	if s.book.Revision() < revision || !at.After(s.confirmedAt) {
		return
	}
	s.confirmedAt = at
	s.unpublished = true
}

// adoptList takes over a newer host list.
func (s *state) adoptList(list *mangomessage.HostList, now time.Time) {
	next := s.directory.WithList(list, now)
	if next == s.directory {
		return
	}
	if !sameHosts(s.list, list) {
		s.listChanged = list.AsOfMs
	}
	s.directory = next.WithMarks(s.book.Draining)
	s.list = list
	s.dirty = true
}

// sameHosts compares lists that may be in different orders only by position: a new order counts as a change.
func sameHosts(a, b *mangomessage.HostList) bool {
	return a != nil && slices.EqualFunc(a.Hosts, b.Hosts, func(x, y *mangomessage.ListedHost) bool { return proto.Equal(x, y) })
}

// hear takes over what is known about an entry host; a higher incarnation or a later time wins.
func (s *state) hear(m *mangomessage.Member, heard time.Time) {
	old, ok := s.members[m.Name]
	switch {
	case ok && old.message.Incarnation > m.Incarnation:
		return
	case ok && old.message.Incarnation == m.Incarnation:
		m.Leaving = m.Leaving || old.message.Leaving
		if heard.Before(old.heard) {
			heard = old.heard
		}
	}
	s.members[m.Name] = member{message: m, heard: heard, revision: old.revision}
}

// learnShares takes over the calls in flight of a peer.
func (s *state) learnShares(daemon string, shares []*mangomessage.Share, at time.Time) {
	p := peerShares{inFlight: make(map[string]int, len(shares)), at: at}
	for _, sh := range shares {
		p.inFlight[sh.Host] = int(sh.InFlight)
	}
	s.shares[daemon] = p
}

func (s *state) peerLoads(now time.Time) map[string]int {
	loads := make(map[string]int)
	for _, p := range s.shares {
		if now.Sub(p.at) > shareLife {
			continue
		}
		for host, n := range p.inFlight {
			loads[host] += n
		}
	}
	return loads
}

// liveAge is memberLive for a small fleet and grows with it: relays of 20 members reach a daemon of 410 with news of
// each other one every 10 s on average, so that a third would count as dead.
func (s *state) liveAge() time.Duration {
	return memberLive * time.Duration(max(1, len(s.members)/memberScale))
}

// liveMembers returns the entry hosts that were heard of lately and do not leave.
func (s *state) liveMembers(now time.Time) []*mangomessage.Member {
	age := s.liveAge()
	live := make([]*mangomessage.Member, 0, len(s.members))
	for _, m := range s.members {
		if !m.message.Leaving && now.Sub(m.heard) <= age {
			live = append(live, m.message)
		}
	}
	return live
}

// expire forgets peers that were silent for long.
func (s *state) expire(now time.Time) {
	age := s.liveAge()
	for name, m := range s.members {
		if now.Sub(m.heard) > 3*age {
			delete(s.members, name)
			delete(s.shares, name)
		}
	}
}
