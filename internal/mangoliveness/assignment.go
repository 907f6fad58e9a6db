package mangoliveness

import (
	"cmp"
	"slices"

	"mangopath.org/mangopath/internal/mangoreplica"
	"mangopath.org/mangopath/internal/mangostate"
)

// Monitors returns the hubs that monitor a replica, in their rank: the monitorsPerReplica hubs of its data centre whose
// rendezvous hashes with the replica are the lowest. The hubs of other data centres monitor a replica whose data centre has
// none.
func Monitors(replica *mangoreplica.Replica, hubs []mangostate.Member) []mangostate.Member {
	ranked := slices.Clone(hubs)
	if isLocal := func(o mangostate.Member) bool { return o.DataCentre == replica.DataCentre }; slices.ContainsFunc(hubs, isLocal) {
		ranked = slices.DeleteFunc(ranked, func(o mangostate.Member) bool { return !isLocal(o) })
	}
	slices.SortFunc(ranked, func(a, b mangostate.Member) int {
		return cmp.Or(cmp.Compare(rendezvousHash(a.Name, replica.ID), rendezvousHash(b.Name, replica.ID)), cmp.Compare(a.Seat, b.Seat))
	})
	// A daemon that takes a second seat before it has lost the first one monitors a replica once.
	ranked = slices.CompactFunc(ranked, func(a, b mangostate.Member) bool { return a.Name == b.Name })
	return ranked[:min(len(ranked), monitorsPerReplica)]
}
