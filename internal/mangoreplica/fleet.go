package mangoreplica

import (
	"cmp"
	"slices"
)

// Fleet is an immutable set of replicas.
type Fleet struct {
	byID      map[string]*Replica
	byAddress map[string]*Replica
	byService map[string][]*Replica
}

// NewFleet returns a fleet of replicas, which must not be changed afterwards.
func NewFleet(replicas []*Replica) *Fleet {
	f := &Fleet{byID: map[string]*Replica{}, byAddress: map[string]*Replica{}, byService: map[string][]*Replica{}}
	sorted := slices.Clone(replicas)
	slices.SortFunc(sorted, func(a, b *Replica) int { return cmp.Compare(a.ID, b.ID) })
	for _, r := range sorted {
		f.byID[r.ID] = r
		// An address can be reused while the entry of its former replica is still there; the later start owns it.
		if o := f.byAddress[r.Address]; o == nil || o.Born <= r.Born {
			f.byAddress[r.Address] = r
		}
	}
	for _, r := range sorted {
		// A replica whose address has a new owner has ended, also if its entry is still there.
		if f.byAddress[r.Address] == r {
			f.byService[r.Service] = append(f.byService[r.Service], r)
		}
	}
	return f
}

// ByService returns the replicas of a service in the order of their ids, without those whose address has a new owner.
func (f *Fleet) ByService(service string) []*Replica { return f.byService[service] }

// ByID returns a replica, or nil.
func (f *Fleet) ByID(id string) *Replica { return f.byID[id] }

// ByAddress returns the replica at an address, or nil.
func (f *Fleet) ByAddress(address string) *Replica { return f.byAddress[address] }

// Len returns the number of replicas.
func (f *Fleet) Len() int { return len(f.byID) }
