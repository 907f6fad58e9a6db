package mangocontrol

import (
	"github.com/cespare/xxhash/v2"

	"mangopath.org/mangopath/internal/mangohost"
	"mangopath.org/mangopath/pkg/mangomessage"
)

// proberSelection divides the probes of hosts among the live daemons by rendezvous hashing. Each name is hashed once
// rather than once for each pair of daemon and host, since a daemon of a fleet of the target size compares 100,000
// pairs a second.
type proberSelection struct {
	// ownHash is the hash of this daemon's name.
	ownHash    uint64
	dataCentre string
	// othersByDataCentre holds the hashes of the names of the other live daemons by data centre, others those of all of
	// them.
	othersByDataCentre map[string][]uint64
	others             []uint64
}

func newProberSelection(self Identity, members []*mangomessage.Member) proberSelection {
	s := proberSelection{
		ownHash: xxhash.Sum64String(self.Name), dataCentre: self.DataCentre,
		othersByDataCentre: map[string][]uint64{}, others: make([]uint64, 0, len(members)),
	}
	for _, m := range members {
		hash := xxhash.Sum64String(m.Name)
		s.othersByDataCentre[m.DataCentre] = append(s.othersByDataCentre[m.DataCentre], hash)
		s.others = append(s.others, hash)
	}
	return s
}

// selectsSelf reports whether this daemon probes a host. The probers of a host are daemons of its data centre, or of
// any data centre when its own has none.
func (s proberSelection) selectsSelf(h mangohost.Host) bool {
	candidates := s.othersByDataCentre[h.DataCentre]
	if s.dataCentre != h.DataCentre {
		if len(candidates) > 0 {
			return false
		}
		candidates = s.others
	}
	wanted := probersPerHost
	if len(candidates) > largeFleetPeers {
		wanted = 1
	}
	host := xxhash.Sum64String(h.Name)
	own, higher := rendezvousWeight(s.ownHash, host), 0
	for _, other := range candidates {
		if rendezvousWeight(other, host) > own {
			higher++
		}
	}
	return higher < wanted
}

// rendezvousWeight returns the weight of a daemon for a host. The daemons with the highest weights probe the host.
// Multiplication by odd constants spreads each bit over the upper half, and the shifts fold it back into the lower half.
func rendezvousWeight(daemon, host uint64) uint64 {
	x := (daemon ^ host) * 0x9e3779b97f4a7c15
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	return x ^ x>>32
}
