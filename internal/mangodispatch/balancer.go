package mangodispatch

import (
	"math/rand/v2"
	"sync"

	"mangopath.org/mangopath/pkg/mangomessage"
)

// Replica is a usable host of a plain service.
type Replica struct {
	Host    string
	Address string
	// Peers is the number of calls that other daemons have in flight on it, by their last reports.
	PeerInFlight int
	// Far replicas are in another data centre and are used when no near one is left.
	Remote bool
}

// ReplicaSource returns the usable replicas of a profile on the present snapshot; the slice is not changed afterwards.
type ReplicaSource interface {
	Usable(profile *mangomessage.Profile) []Replica
}

// Balancer picks the less loaded of two random replicas, so that daemons with the same reports spread their calls.
type Balancer struct {
	source   ReplicaSource
	mu       sync.Mutex
	inFlight map[string]int
}

var _ Picker = (*Balancer)(nil)

// NewBalancer returns a balancer on a source of replicas.
func NewBalancer(source ReplicaSource) *Balancer {
	return &Balancer{source: source, inFlight: map[string]int{}}
}

// Pick implements Picker.
func (b *Balancer) Pick(profile *mangomessage.Profile, exclude map[string]bool) (PickedReplica, bool) {
	candidates := choices(b.source.Usable(profile), exclude)
	if len(candidates) == 0 {
		return PickedReplica{}, false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.less(candidates)
	b.inFlight[r.Host]++
	return PickedReplica{Host: r.Host, Address: r.Address, Release: sync.OnceFunc(func() { b.release(r.Host) })}, true
}

func (b *Balancer) less(candidates []Replica) Replica {
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

func (b *Balancer) release(host string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.inFlight[host]--
	if b.inFlight[host] <= 0 {
		delete(b.inFlight, host)
	}
}

// InFlight returns a copy of the calls in flight by host, for the reports to peers.
func (b *Balancer) InFlight() map[string]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	flights := make(map[string]int, len(b.inFlight))
	for h, n := range b.inFlight {
		flights[h] = n
	}
	return flights
}

// choices returns the near replicas outside exclude, or the far ones when there is none.
func choices(usable []Replica, exclude map[string]bool) []Replica {
	var near, far []Replica
	for _, r := range usable {
		switch {
		case exclude[r.Host]:
		case r.Remote:
			far = append(far, r)
		default:
			near = append(near, r)
		}
	}
	if len(near) > 0 {
		return near
	}
	return far
}
