package mangohub

import (
	"sync"
	"time"

	"mangopath.org/mangopath/internal/mangoreplica"
	"mangopath.org/mangopath/pkg/mangomessage"
)

// loadLifetime is the time for which a report of loads counts. Daemons report at least once in a third of it.
const loadLifetime = 1500 * time.Millisecond

// LoadTable adds up the loads that daemons put on replicas. It is safe for concurrent use.
type LoadTable struct {
	mu sync.Mutex
	// members has the reports of this hub and its followers, and groups those of other hubs, by the name of the daemon.
	members, groups map[string]loadReport
}

// loadReport is what a daemon, or a hub for its group of daemons, reported last.
type loadReport struct {
	loads   map[string]mangoreplica.Load
	daemons int
	at      time.Time
}

// NewLoadTable returns a table without reports.
func NewLoadTable() *LoadTable {
	return &LoadTable{members: map[string]loadReport{}, groups: map[string]loadReport{}}
}

// RecordMember takes the load that this hub or one of its followers puts on replicas.
func (t *LoadTable) RecordMember(name string, loads map[string]mangoreplica.Load, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.members[name] = loadReport{loads: loads, daemons: 1, at: now}
	delete(t.groups, name)
}

// RecordGroup takes the load that another hub and its followers, a number of daemons, put on replicas.
func (t *LoadTable) RecordGroup(hub string, loads map[string]mangoreplica.Load, daemons int, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.groups[hub] = loadReport{loads: loads, daemons: daemons, at: now}
	delete(t.members, hub)
}

// Group returns the load of this hub and its followers, and their number.
func (t *LoadTable) Group(now time.Time) (map[string]mangoreplica.Load, int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	sum := map[string]mangoreplica.Load{}
	return sum, addReports(sum, t.members, now)
}

// Total returns the load of all daemons, and their number.
func (t *LoadTable) Total(now time.Time) (map[string]mangoreplica.Load, int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	sum := map[string]mangoreplica.Load{}
	daemons := addReports(sum, t.members, now)
	return sum, daemons + addReports(sum, t.groups, now)
}

// addReports adds reports to a sum, removes those that are too old, and returns the number of daemons.
func addReports(sum map[string]mangoreplica.Load, reports map[string]loadReport, now time.Time) int {
	daemons := 0
	for name, r := range reports {
		if now.Sub(r.at) > loadLifetime {
			delete(reports, name)
			continue
		}
		daemons += r.daemons
		for id, l := range r.loads {
			sum[id] = sum[id].With(l)
		}
	}
	return daemons
}

// EncodeLoads returns the message form of loads; replicas without load are left out.
func EncodeLoads(loads map[string]mangoreplica.Load) []*mangomessage.ReplicaLoad {
	list := make([]*mangomessage.ReplicaLoad, 0, len(loads))
	for id, l := range loads {
		if l.Requests > 0 || l.Demand > 0 {
			list = append(list, &mangomessage.ReplicaLoad{
				Replica: id, Requests: uint32(max(l.Requests, 0)), Tokens: uint32(max(l.Tokens, 0)), Demand: float32(l.Demand),
				Later: uint32(max(l.Later, 0)),
			})
		}
	}
	return list
}

// DecodeLoads is the inverse of EncodeLoads.
func DecodeLoads(list []*mangomessage.ReplicaLoad) map[string]mangoreplica.Load {
	loads := make(map[string]mangoreplica.Load, len(list))
	for _, m := range list {
		loads[m.GetReplica()] = mangoreplica.Load{
			Requests: int(m.GetRequests()), Tokens: float64(m.GetTokens()), Demand: float64(m.GetDemand()), Later: int(m.GetLater()),
		}
	}
	return loads
}
