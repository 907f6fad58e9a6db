package mangopipeline

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"mangopath.org/mangopath/internal/mangoreplica"
)

// idleModel plays the idle connections of one daemon: a connection is in use for the time of a stream and then idle for a time.
type idleModel map[string][]time.Duration

// equallySlow is a status in which no replica counts as redundant, so that all first replicas cost the same.
type equallySlow struct{ *mangoreplica.HealthTracker }

// Slowness implements ReplicaStatus.
func (equallySlow) Slowness(mangoreplica.Incarnation, time.Time) float64 {
	return mangoreplica.SlowThreshold
}

const (
	streamTime = 2 * time.Second
	idleTime   = 2 * time.Second
)

// idle reports whether there is an idle connection to a replica; the list has the ends of its streams.
func (m idleModel) idle(id string, now time.Duration) bool {
	for _, end := range m[id] {
		if end <= now && now < end+idleTime {
			return true
		}
	}
	return false
}

// use takes an idle connection if there is one, and reports whether there was.
func (m idleModel) use(id string, now time.Duration) bool {
	var rest []time.Duration
	reused := false
	for _, end := range m[id] {
		switch {
		case end+idleTime <= now:
		case end <= now && !reused:
			reused = true
		default:
			rest = append(rest, end)
		}
	}
	m[id] = append(rest, now+streamTime)
	return reused
}

// Guards against a preference for replicas with an idle connection that sends twice as many requests to a replica as it would
// get otherwise, in the whole fleet or from one daemon over ten minutes.
func TestConnectedBonusKeepsSpread(t *testing.T) {
	for _, firsts := range []int{2, 3, 4} {
		var shares, largest [2]float64
		var reused [2]float64
		for preferred := range 2 {
			shares[preferred], largest[preferred], reused[preferred] = playConnected(t, firsts, preferred == 1)
		}
		t.Logf("%d first replicas: largest share of the fleet %.3f, with the bonus %.3f; of a daemon %.3f, %.3f; reused %.2f, %.2f",
			firsts, shares[0], shares[1], largest[0], largest[1], reused[0], reused[1])
		is.New(t).True(shares[1] < 1.2*shares[0])
		is.New(t).True(largest[1] < 1.5*largest[0])
	}
}

// playConnected lets 20 daemons of one data centre choose among chains that begin with equal replicas, for 60 s at three requests
// a second each. It returns the largest share of a first replica in all requests and in those of one daemon, and the share of
// requests that found an idle connection.
func playConnected(t *testing.T, firsts int, preferred bool) (fleet, daemon, reused float64) {
	t.Helper()
	random := rand.New(rand.NewPCG(1, uint64(firsts)))
	e := engine(80)
	var replicas []*mangoreplica.Replica
	for i := range firsts {
		replicas = append(replicas, replica(fmt.Sprintf("f%d", i), "dc", "a", 0, 10))
	}
	replicas = append(replicas, replica("rest", "dc", "a", 10, 80))
	health := mangoreplica.NewHealthTracker()
	const daemons, requests = 20, 180
	total := map[string]int{}
	reuses := 0
	for range daemons {
		own, idle, now := map[string]int{}, idleModel{}, time.Duration(0)
		for range requests {
			now += time.Duration(random.ExpFloat64() * float64(time.Second) / 3)
			request := Request{Random: random.Float64}
			if preferred {
				request.Connected = func(r *mangoreplica.Replica) bool { return idle.idle(r.ID, now) }
			}
			chain, err := Choose(View{Replicas: replicas, Engine: e, Status: equallySlow{health}, Now: time.Now()}, request)
			if err != nil {
				t.Fatal(err)
			}
			id := chain.Stages[0].Replica.ID
			own[id]++
			total[id]++
			if idle.use(id, now) {
				reuses++
			}
		}
		for _, n := range own {
			daemon = max(daemon, float64(n)/requests)
		}
	}
	for _, n := range total {
		fleet = max(fleet, float64(n)/(daemons*requests))
	}
	return fleet, daemon, float64(reuses) / (daemons * requests)
}
