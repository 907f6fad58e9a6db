package mangohub

import (
	"context"
	"maps"
	"sync"
	"time"

	"mangopath.org/mangopath/internal/mangocapacity"
	"mangopath.org/mangopath/internal/mangoreplica"
	"mangopath.org/mangopath/pkg/mangomessage"
)

const (
	// maxReportInterval is the longest time between two reports of an unchanged load. It is a third of loadLifetime.
	maxReportInterval = loadLifetime / 3
	// groupHeartbeats is the number of heartbeats of which one sends the load of a group to the other hubs.
	groupHeartbeats = 2
)

// Announcer sends the load and the demand of daemons, this one or as a hub its group, to hubs. It must not block.
type Announcer func(loads []*mangomessage.ReplicaLoad, demand *mangomessage.DemandReport, daemons int)

// Topology tells whether this daemon acts as a hub.
type Topology interface {
	// IsHub reports whether this daemon acts as a hub.
	IsHub() bool
}

// LoadSource has the load that this daemon puts on replicas.
type LoadSource func(now time.Time) map[string]mangoreplica.Load

// Reporter sends this daemon's load on replicas and its demand to the hub, and passes those of all daemons to the health tracker
// and the demand tracker. Its methods are safe for concurrent use.
type Reporter struct {
	self     string
	own      LoadSource
	health   *mangoreplica.HealthTracker
	state    State
	topology Topology
	table    *LoadTable
	demand   *mangocapacity.Tracker
	demands  *DemandTable
	announce Announcer
	// dataCentre is that of this daemon.
	dataCentre string

	mu sync.Mutex
	// reported is the load that was announced last, at reportedAt.
	reported   map[string]mangoreplica.Load
	reportedAt time.Time
	// total is the load of all daemons as the hub last told it.
	total map[string]mangoreplica.Load
	// reportedDemand is the demand that was announced last.
	reportedDemand mangocapacity.Report
}

// NewReporter returns a reporter of the daemon self in a data centre.
func NewReporter(
	self, dataCentre string, own LoadSource, health *mangoreplica.HealthTracker, state State, topology Topology, table *LoadTable,
	demand *mangocapacity.Tracker, demands *DemandTable, announce Announcer,
) *Reporter {
	return &Reporter{
		self: self, dataCentre: dataCentre, own: own, health: health, state: state, topology: topology, table: table, demand: demand,
		demands: demands, announce: announce,
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
	ownDemand := r.demand.Own(now)
	r.demands.RecordMember(r.self, ownDemand, now)
	if send {
		group, daemons := r.table.Group(now)
		r.announce(EncodeLoads(group), EncodeDemand(r.demands.Group(now), now), daemons)
	}
	total, daemons := r.table.Total(now)
	r.health.SetFleetLoad(total, own, daemons, now)
	r.demand.SetFleet(r.demands.Total(now), ownDemand, now)
}

// reportOwn sends the load of this daemon to its hub if it has changed, the last report is old, or there are refusals to report.
func (r *Reporter) reportOwn(own map[string]mangoreplica.Load, now time.Time) {
	demand := r.demand.Own(now)
	r.mu.Lock()
	due := now.Sub(r.reportedAt) >= maxReportInterval || !maps.Equal(own, r.reported) || len(demand.Refusals) > 0
	if due {
		r.reported, r.reportedDemand, r.reportedAt = own, demand, now
	}
	r.mu.Unlock()
	if due {
		r.announce(EncodeLoads(own), EncodeDemand(demand, now), 1)
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
	reported, reportedDemand := r.reported, r.reportedDemand
	r.mu.Unlock()
	now := time.Now()
	r.health.SetFleetLoad(loads, reported, int(u.GetDaemons()), now)
	if u.GetDemand() != nil {
		// A hub of an earlier version does not send it.
		r.demand.SetFleet(DecodeDemand(u.GetDemand(), now), reportedDemand, now)
	}
}

// HandleReport takes the load and the demand that a follower, or another hub for its group, announced.
func (r *Reporter) HandleReport(from string, loads []*mangomessage.ReplicaLoad, demand *mangomessage.DemandReport, daemons int, group bool) {
	now := time.Now()
	if group {
		r.table.RecordGroup(from, DecodeLoads(loads), daemons, now)
		r.demands.RecordGroup(from, DecodeDemand(demand, now), now)
		return
	}
	r.table.RecordMember(from, DecodeLoads(loads), now)
	r.demands.RecordMember(from, DecodeDemand(demand, now), now)
}

// Loads returns the load of all daemons for followers.
func (r *Reporter) Loads() Loads {
	now := time.Now()
	total, daemons := r.table.Total(now)
	l := Loads{Local: map[string]mangoreplica.Load{}, Remote: map[string]mangoreplica.Load{}, Demand: r.demands.Total(now), Daemons: daemons}
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
