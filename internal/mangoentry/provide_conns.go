package mangoentry

import (
	"time"

	"mangopath.org/mangopath/internal/mangoconn"
	"mangopath.org/mangopath/internal/mangometric"
	"mangopath.org/mangopath/internal/mangoreplica"
	"mangopath.org/mangopath/internal/mangostate"
)

// provideConns makes the pool of connections to replicas. It keeps those to replicas with an entry that are neither draining nor
// avoided, and as many as the service's maximum and the number of daemons allow.
func provideConns(
	self mangostate.Member, dialer *mangoconn.Dialer, state *mangostate.Controller, health *mangoreplica.HealthTracker,
	metrics *mangometric.ConnectionMetrics,
) *mangoconn.Pool {
	usable := func(e mangoconn.Endpoint) bool {
		r := state.View().Fleet.ByID(e.Replica.ID)
		return r != nil && mangoconn.EndpointOf(r) == e && !r.Draining && !health.Avoided(e.Replica, time.Now())
	}
	quota := func(e mangoconn.Endpoint) int {
		return mangoconn.IdleQuota(self.Name, e.Replica.ID, maxConnectionsOf(state.View(), e.Replica.ID), health.Daemons())
	}
	return mangoconn.NewPool(
		dialer, mangoconn.WithUsable(usable), mangoconn.WithQuota(quota), mangoconn.WithPoolObserver(metrics),
	)
}

// maxConnectionsOf returns the number of connections that a replica takes; 0 if it is not known.
func maxConnectionsOf(v *mangostate.View, id string) int {
	r := v.Fleet.ByID(id)
	if r == nil || v.Table == nil {
		return 0
	}
	if s := v.Table.Service(r.Service); s != nil {
		return s.MaxConnections
	}
	return 0
}
