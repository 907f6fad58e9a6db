package mangocontrol

import (
	"github.com/cespare/xxhash/v2"

	"mangopath.org/mangopath/internal/mangohost"
	"mangopath.org/mangopath/pkg/mangomessage"
)

// duty divides the probes of hosts among the live daemons by rendezvous hashing. Names are hashed once and not once for
// each pair, since a daemon of the target size compares 100,000 pairs a second.
type duty struct {
	self   uint64
	centre string
	// others are the hashes of the other daemons by data centre, and all of them.
	others map[string][]uint64
	all    []uint64
}

func newDuty(self Identity, members []*mangomessage.Member) duty {
	d := duty{
		self: xxhash.Sum64String(self.Name), centre: self.DataCentre,
		others: map[string][]uint64{}, all: make([]uint64, 0, len(members)),
	}
	for _, m := range members {
		hash := xxhash.Sum64String(m.Name)
		d.others[m.DataCentre] = append(d.others[m.DataCentre], hash)
		d.all = append(d.all, hash)
	}
	return d
}

// assigned reports whether this daemon is one of the probers of a host: those of its data centre, or of all when that
// has no daemon.
func (d duty) assigned(h mangohost.Host) bool {
	candidates := d.others[h.DataCentre]
	if d.centre != h.DataCentre {
		if len(candidates) > 0 {
			return false
		}
		candidates = d.all
	}
	wanted := probers
	if len(candidates) > largeFleet {
		wanted = 1
	}
	host := xxhash.Sum64String(h.Name)
	own, higher := rendezvous(d.self, host), 0
	for _, other := range candidates {
		if rendezvous(other, host) > own {
			higher++
		}
	}
	return higher < wanted
}

// rendezvous mixes two hashes; multiplications by odd constants spread each bit over the upper half.
func rendezvous(daemon, host uint64) uint64 {
	x := (daemon ^ host) * 0x9e3779b97f4a7c15
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	return x ^ x>>32
}
