package mangopeer

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"mangopath.org/mangopath/pkg/mangomessage"
)

// MemberTimeout is the age at which a member vanishes from lists.
const MemberTimeout = 30 * time.Second

// Pick returns at most k members other than self, in random order.
func Pick(source *rand.Rand, members []*mangomessage.Member, self string, k int) []*mangomessage.Member {
	others := slices.DeleteFunc(slices.Clone(members), func(m *mangomessage.Member) bool { return m.GetName() == self })
	source.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	return others[:min(max(k, 0), len(others))]
}

// MergeMembers combines two lists into one ordered by name. The higher incarnation of a member wins, then the lower
// age. Leaving stays set within an incarnation, and members unseen for MemberTimeout vanish. Inputs are not changed.
func MergeMembers(known, received []*mangomessage.Member) []*mangomessage.Member {
	merged := map[string]*mangomessage.Member{}
	for _, list := range [][]*mangomessage.Member{known, received} {
		for _, m := range list {
			merged[m.GetName()] = mergeMember(merged[m.GetName()], m)
		}
	}
	members := slices.SortedFunc(maps.Values(merged), func(a, b *mangomessage.Member) int {
		return cmp.Compare(a.GetName(), b.GetName())
	})
	return slices.DeleteFunc(members, expired)
}

func mergeMember(a, b *mangomessage.Member) *mangomessage.Member {
	switch {
	case a == nil:
		return b
	case a.GetIncarnation() != b.GetIncarnation():
		if a.GetIncarnation() > b.GetIncarnation() {
			return a
		}
		return b
	}
	younger := a
	if b.GetAgeMs() < a.GetAgeMs() {
		younger = b
	}
	if leaving := a.GetLeaving() || b.GetLeaving(); leaving != younger.GetLeaving() {
		younger = proto.CloneOf(younger)
		younger.Leaving = leaving
	}
	return younger
}

// AgeMembers returns copies that are older by elapsed, without those that vanish.
func AgeMembers(members []*mangomessage.Member, elapsed time.Duration) []*mangomessage.Member {
	aged := make([]*mangomessage.Member, 0, len(members))
	for _, m := range members {
		m = proto.CloneOf(m)
		m.AgeMs = milliseconds(time.Duration(m.GetAgeMs())*time.Millisecond + elapsed)
		if !expired(m) {
			aged = append(aged, m)
		}
	}
	return aged
}

func expired(m *mangomessage.Member) bool {
	return time.Duration(m.GetAgeMs())*time.Millisecond >= MemberTimeout
}

// ConfirmedAge returns the age of a confirmation through a peer: the time since before the request was sent, plus the
// peer's own age in milliseconds. The times must have a monotonic reading.
func ConfirmedAge(before, now time.Time, peerAgeMs uint32) time.Duration {
	return now.Sub(before) + time.Duration(peerAgeMs)*time.Millisecond
}

// milliseconds rounds up and saturates, so that an age is never understated.
func milliseconds(d time.Duration) uint32 {
	ms := (max(d, 0) + time.Millisecond - 1) / time.Millisecond
	return uint32(min(ms, 1<<32-1))
}
