package mangometric

import (
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"mangopath.org/mangopath/internal/mangoconn"
)

// ConnectionMetrics has the metrics of connections to replicas. Its methods are safe for concurrent use and do not block.
type ConnectionMetrics struct {
	opened     *prometheus.CounterVec
	reused     prometheus.Counter
	idleClosed *prometheus.CounterVec
}

var _ mangoconn.PoolObserver = (*ConnectionMetrics)(nil)

// NewConnections returns metrics whose collectors are registered. The error is of type *Error.
func NewConnections(registry prometheus.Registerer) (*ConnectionMetrics, error) {
	m := &ConnectionMetrics{
		opened: newCounterVec("connections_opened_total", "New connections to replicas, by purpose.", "purpose"),
		reused: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: "mangopath", Name: "connections_reused_total", Help: "Requests that were sent over a kept connection.",
		}),
		idleClosed: newCounterVec("idle_connections_closed_total", "Kept connections that were closed without a request, by reason.", "reason"),
	}
	for _, c := range []prometheus.Collector{m.opened, m.reused, m.idleClosed} {
		if err := registry.Register(c); err != nil {
			return nil, &Error{Op: "NewConnections", Kind: KindRegister, Err: errors.WithStack(err)}
		}
	}
	return m, nil
}

// ConnectionOpened implements mangoconn.PoolObserver.
func (m *ConnectionMetrics) ConnectionOpened(p mangoconn.Purpose) {
	m.opened.WithLabelValues(string(p)).Inc()
}

// ConnectionReused implements mangoconn.PoolObserver.
func (m *ConnectionMetrics) ConnectionReused() { m.reused.Inc() }

// IdleConnectionClosed implements mangoconn.PoolObserver.
func (m *ConnectionMetrics) IdleConnectionClosed(e mangoconn.IdleEnd) {
	m.idleClosed.WithLabelValues(string(e)).Inc()
}
