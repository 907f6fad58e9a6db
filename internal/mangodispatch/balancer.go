package mangodispatch

import (
	"math/rand/v2"
	"sync"

	"mangopath.org/mangopath/pkg/mangomessage"
)

// Replica is a replica of a plain service that may get calls.
type Replica struct {
	Host    string
	Address string
	// PeerInFlight is the number of calls that other daemons have in flight on the replica, by their last reports.
	PeerInFlight int
	// Remote says that the replica is in another data centre; it is used only if no local one is left.
	Remote bool
}

// ReplicaSource knows the replicas of plain services.
type ReplicaSource interface {
	// Usable returns the replicas of a profile that may get calls now. The slice is not changed afterwards.
	Usable(profile *mangomessage.Profile) []Replica
}

// Balancer picks the less loaded of two random replicas. The random choice keeps daemons that have the same reports from
// all sending to the same replica. It is safe for concurrent use.
type Balancer struct {
	source   ReplicaSource
	mu       sync.Mutex
	inFlight map[string]int
}

var _ Picker = (*Balancer)(nil)

// NewBalancer returns a balancer for the replicas of a source.
func NewBalancer(source ReplicaSource) *Balancer {
	return &Balancer{source: source, inFlight: map[string]int{}}
}

// Pick implements Picker.
func (b *Balancer) Pick(profile *mangomessage.Profile, exclude map[string]bool) (PickedReplica, bool) {
	candidates := preferLocal(b.source.Usable(profile), exclude)
	if len(candidates) == 0 {
		return PickedReplica{}, false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.pickLessLoaded(candidates)
	b.inFlight[r.Host]++
	return PickedReplica{Host: r.Host, Address: r.Address, Release: sync.OnceFunc(func() { b.release(r.Host) })}, true
}

// pickLessLoaded returns the less loaded of two random candidates. b.mu must be held.
func (b *Balancer) pickLessLoaded(candidates []Replica) Replica {
	if len(candidates) == 1 {
		return candidates[0]
	}
	i := rand.IntN(len(candidates))
	j := rand.IntN(len(candidates) - 1)
	if j >= i {
		j++
	}
	one, other := candidates[i], candidates[j]
	if b.inFlight[other.Host]+other.PeerInFlight < b.inFlight[one.Host]+one.PeerInFlight {
		return other
	}
	return one
}

// release counts one call less in flight on a host.
func (b *Balancer) release(host string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.inFlight[host]--
	if b.inFlight[host] <= 0 {
		delete(b.inFlight, host)
	}
}

// InFlight returns the number of calls in flight by host, for the reports to peers.
func (b *Balancer) InFlight() map[string]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	counts := make(map[string]int, len(b.inFlight))
	for h, n := range b.inFlight {
		counts[h] = n
	}
	return counts
}

// preferLocal returns the local replicas whose hosts are not in exclude, or the remote ones if there are none.
func preferLocal(usable []Replica, exclude map[string]bool) []Replica {
	var local, remote []Replica
	for _, r := range usable {
		switch {
		case exclude[r.Host]:
		case r.Remote:
			remote = append(remote, r)
		default:
			local = append(local, r)
		}
	}
	if len(local) > 0 {
		return local
	}
	return remote
}
