package mangohub

import (
	"context"
	"maps"
	"sync"
	"time"

	"mangopath.org/mangopath/internal/mangoreplica"
	"mangopath.org/mangopath/pkg/mangomessage"
)

const (
	// maxReportInterval is the longest time between two reports of an unchanged load. It is a third of loadLifetime.
	maxReportInterval = loadLifetime / 3
	// groupHeartbeats is the number of heartbeats of which one sends the load of a group to the other hubs.
	groupHeartbeats = 2
)

// Announcer sends the load of daemons, this one or as a hub its group, to hubs. It must not block.
type Announcer func(loads []*mangomessage.ReplicaLoad, daemons int)

// Topology tells whether this daemon acts as a hub.
type Topology interface {
	IsHub() bool
}

// LoadSource has the load that this daemon puts on replicas.
type LoadSource func(now time.Time) map[string]mangoreplica.Load

// Reporter tells the hub the load that this daemon puts on replicas, and the health tracker the load of all daemons. Its
// methods are safe for concurrent use.
type Reporter struct {
	self     string
	own      LoadSource
	health   *mangoreplica.HealthTracker
	state    State
	topology Topology
	table    *LoadTable
	announce Announcer
	// dataCentre is that of this daemon.
	dataCentre string

	mu sync.Mutex
	// reported is the load that was announced last, at reportedAt.
	reported   map[string]mangoreplica.Load
	reportedAt time.Time
	// total is the load of all daemons as the hub last told it.
	total map[string]mangoreplica.Load
}

// NewReporter returns a reporter of the daemon self in a data centre.
func NewReporter(
	self, dataCentre string, own LoadSource, health *mangoreplica.HealthTracker, state State, topology Topology, table *LoadTable, announce Announcer,
) *Reporter {
	return &Reporter{
		self: self, dataCentre: dataCentre, own: own, health: health, state: state, topology: topology, table: table, announce: announce,
		total: map[string]mangoreplica.Load{},
	}
}

// Run reports loads until the context ends.
func (r *Reporter) Run(ctx context.Context) error {
	tick := time.NewTicker(heartbeatInterval)
	defer tick.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
		own := r.own(time.Now())
		if r.topology.IsHub() {
			r.reportGroup(own, n%groupHeartbeats == 0, time.Now())
		} else {
			r.reportOwn(own, time.Now())
		}
	}
}

// reportGroup adds the load of this hub to the table, sends the load of its group to the other hubs if send is set, and tells
// the health tracker the load of all.
func (r *Reporter) reportGroup(own map[string]mangoreplica.Load, send bool, now time.Time) {
	r.table.RecordMember(r.self, own, now)
	if send {
		group, daemons := r.table.Group(now)
		r.announce(EncodeLoads(group), daemons)
	}
	total, daemons := r.table.Total(now)
	r.health.SetFleetLoad(total, own, daemons, now)
}

// reportOwn sends the load of this daemon to its hub if it has changed or the last report is old.
func (r *Reporter) reportOwn(own map[string]mangoreplica.Load, now time.Time) {
	r.mu.Lock()
	due := now.Sub(r.reportedAt) >= maxReportInterval || !maps.Equal(own, r.reported)
	if due {
		r.reported, r.reportedAt = own, now
	}
	r.mu.Unlock()
	if due {
		r.announce(EncodeLoads(own), 1)
	}
}

// HandleUpdate takes the load of all daemons from an update of the hub.
func (r *Reporter) HandleUpdate(u *mangomessage.FollowUpdate) {
	if u.GetDaemons() == 0 {
		return
	}
	loads := DecodeLoads(u.GetLoads())
	fleet := r.state.View().Fleet
	r.mu.Lock()
	if !u.GetAllLoads() {
		// The rest is as it was when it was told last. Replicas with a limit are always told.
		for id, l := range r.total {
			if p := fleet.ByID(id); p != nil && p.DataCentre != r.dataCentre && l.Demand == 0 && loads[id].Demand == 0 {
				loads[id] = l
			}
		}
	}
	r.total = loads
	reported := r.reported
	r.mu.Unlock()
	r.health.SetFleetLoad(loads, reported, int(u.GetDaemons()), time.Now())
}

// HandleReport takes the load that a follower, or another hub for its group, announced.
func (r *Reporter) HandleReport(from string, loads []*mangomessage.ReplicaLoad, daemons int, group bool) {
	if group {
		r.table.RecordGroup(from, DecodeLoads(loads), daemons, time.Now())
		return
	}
	r.table.RecordMember(from, DecodeLoads(loads), time.Now())
}

// Loads returns the load of all daemons for followers.
func (r *Reporter) Loads() Loads {
	total, daemons := r.table.Total(time.Now())
	l := Loads{Local: map[string]mangoreplica.Load{}, Remote: map[string]mangoreplica.Load{}, Daemons: daemons}
	fleet := r.state.View().Fleet
	for id, load := range total {
		if p := fleet.ByID(id); p != nil && p.DataCentre != r.dataCentre && load.Demand == 0 {
			l.Remote[id] = load
		} else {
			l.Local[id] = load
		}
	}
	return l
}
