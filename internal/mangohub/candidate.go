package mangohub

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"mangopath.org/mangopath/internal/mangostate"
)

// candidate is a hub that may be followed; storeOnly says that only the changes of the store are wanted from it.
type candidate struct {
	mangostate.Member
	storeOnly bool
}

// primaryHub returns the hub that reads the store on behalf of all: the first of those in a first seat.
func primaryHub(hubs []mangostate.Member) mangostate.Member {
	for _, m := range hubs {
		if m.Seat == 0 {
			return m
		}
	}
	return mangostate.Member{}
}

// hubsToFollow returns the hubs that a daemon may follow, the best first. A daemon without a seat follows the hubs of its data
// centre in the order of their seats, then those of other data centres, over which daemons spread by rendezvous hashing. A
// hub follows the earlier seats of its data centre, then, for the changes of the store only, the primary hub; the primary hub
// follows others only as a last resort.
func hubsToFollow(self mangostate.Member, seat int, seated bool, hubs []mangostate.Member) []candidate {
	primary := primaryHub(hubs)
	var list []candidate
	for _, m := range hubs {
		local := m.DataCentre == self.DataCentre
		if m.Name != self.Name && (!seated || !local || m.Seat < seat || primary.Name == self.Name) {
			list = append(list, candidate{Member: m, storeOnly: seated && (!local || m.Seat > seat)})
		}
	}
	rank := func(c candidate) int {
		switch {
		case c.DataCentre == self.DataCentre:
			return c.Seat
		case seated && c.Name == primary.Name:
			return mangostate.SeatsPerDataCentre
		default:
			return mangostate.SeatsPerDataCentre + 1
		}
	}
	slices.SortFunc(list, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(rendezvousHash(self.Name, a.Name), rendezvousHash(self.Name, b.Name)))
	})
	return list
}

// rendezvousHash returns the hash by which a daemon ranks hubs.
func rendezvousHash(daemon, hub string) uint64 { return xxhash.Sum64String(daemon + "\x00" + hub) }
