package mangoconn

import (
	"github.com/cespare/xxhash/v2"

	"mangopath.org/mangopath/internal/mangoreplica"
)

// Endpoint is the replica that a kept connection leads to. The address alone does not identify it, since it may pass to another
// replica, or to a later start of the same one.
type Endpoint struct {
	Replica mangoreplica.Incarnation
	Address string
}

// EndpointOf returns the endpoint of a replica.
func EndpointOf(r *mangoreplica.Replica) Endpoint {
	return Endpoint{Replica: r.Incarnation(), Address: r.Address}
}

const (
	// maxIdlePerReplica bounds the idle connections of one daemon to a replica.
	maxIdlePerReplica = 2
	// idleShare is the share of a replica's maximum number of connections that the idle ones of all daemons together may take.
	idleShare = 0.1
	// hashedShare is the part of idleShare that daemons use if it allows less than one connection to each. A hash then selects the
	// daemons that keep a connection; their number varies, and the rest of idleShare covers that.
	hashedShare = 0.8
	// assumedMaximum is the maximum number of connections of a replica whose service states none: the lowest in known deployments.
	assumedMaximum = 1000
	// assumedDaemons is the number of daemons that is assumed before the first load report.
	assumedDaemons = 100
)

// IdleQuota returns how many idle connections a daemon may keep to a replica that accepts at most maximum connections from all
// daemons together. A maximum or number of daemons of 0 means that it is not known.
func IdleQuota(daemon, replica string, maximum, daemons int) int {
	if maximum <= 0 {
		maximum = assumedMaximum
	}
	if daemons <= 0 {
		daemons = assumedDaemons
	}
	share := idleShare * float64(maximum) / float64(daemons)
	if share >= 1 {
		return min(int(share), maxIdlePerReplica)
	}
	// The upper half of the hash as a number in [0, 1).
	fraction := float64(xxhash.Sum64String(daemon+"\x00"+replica)>>32) / (1 << 32)
	if fraction < hashedShare*share {
		return 1
	}
	return 0
}
