package mangoentry

import (
	"context"
	"net"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"mangopath.org/mangopath/internal/mangobroadcast"
	"mangopath.org/mangopath/internal/mangobudget"
	"mangopath.org/mangopath/internal/mangocheck"
	"mangopath.org/mangopath/internal/mangoconn"
	"mangopath.org/mangopath/internal/mangocrash"
	"mangopath.org/mangopath/internal/mangodeputy"
	"mangopath.org/mangopath/internal/mangohub"
	"mangopath.org/mangopath/internal/mangolayout"
	"mangopath.org/mangopath/internal/mangoliveness"
	"mangopath.org/mangopath/internal/mangolog"
	"mangopath.org/mangopath/internal/mangomemory"
	"mangopath.org/mangopath/internal/mangometric"
	"mangopath.org/mangopath/internal/mangopeer"
	"mangopath.org/mangopath/internal/mangopipeline"
	"mangopath.org/mangopath/internal/mangorelay"
	"mangopath.org/mangopath/internal/mangoreplica"
	"mangopath.org/mangopath/internal/mangoshutdown"
	"mangopath.org/mangopath/internal/mangoslowness"
	"mangopath.org/mangopath/internal/mangostate"
	"mangopath.org/mangopath/internal/mangoverdict"
	"mangopath.org/mangopath/pkg/mangomessage"
)

// memoryLimitFraction is the fraction of the host's memory that is set as the soft memory limit of the Go runtime, above
// which it collects garbage more often.
const memoryLimitFraction = 0.8

// Daemon holds the components of a daemon and runs them.
type Daemon struct {
	settings     *mangomessage.RelaySettings
	logger       *logrus.Logger
	logWriter    *mangolog.Writer
	self         mangostate.Member
	controller   *mangostate.Controller
	health       *mangoreplica.HealthTracker
	budget       *mangobudget.Budget
	crashes      *mangocrash.CrashTracker
	verdicts     *mangoverdict.Keeper
	relay        *mangorelay.Relay
	broadcaster  *mangobroadcast.Broadcaster
	poller       *mangostate.Poller
	monitor      *mangoliveness.Monitor
	checker      *mangocheck.Checker
	slowDetector *mangoslowness.Detector
	peers        *mangopeer.Client
	placement    placementLease
	deputy       *mangodeputy.Deputy
	seats        *mangohub.Seats
	hub          *hubComponents
	placer       *mangolayout.Placer
	ingress      *ingress
	metrics      *mangometric.RelayMetrics
	registry     *prometheus.Registry
	shutdown     *mangoshutdown.Shutdown
	memory       *mangomemory.Pool
	conns        *mangoconn.Pool
}

func newDaemon(
	settings *mangomessage.RelaySettings, logger *logrus.Logger, logWriter *mangolog.Writer, self mangostate.Member,
	controller *mangostate.Controller, health *mangoreplica.HealthTracker, budget *mangobudget.Budget, crashes *mangocrash.CrashTracker, verdicts *mangoverdict.Keeper,
	relay *mangorelay.Relay, broadcaster *mangobroadcast.Broadcaster, poller *mangostate.Poller, monitor *mangoliveness.Monitor, checker *mangocheck.Checker, slowDetector *mangoslowness.Detector, peers *mangopeer.Client, placement placementLease, deputy *mangodeputy.Deputy, seats *mangohub.Seats, hub *hubComponents,
	placer *mangolayout.Placer, ingress *ingress, metrics *mangometric.RelayMetrics, registry *prometheus.Registry, shutdown *mangoshutdown.Shutdown, memory *mangomemory.Pool,
	conns *mangoconn.Pool,
) *Daemon {
	return &Daemon{
		settings: settings, logger: logger, logWriter: logWriter, self: self, controller: controller, health: health, budget: budget,
		crashes: crashes, verdicts: verdicts, relay: relay, broadcaster: broadcaster, poller: poller, monitor: monitor, checker: checker, slowDetector: slowDetector, peers: peers, placement: placement, deputy: deputy, seats: seats, hub: hub, placer: placer,
		ingress: ingress, metrics: metrics, registry: registry, shutdown: shutdown, memory: memory, conns: conns,
	}
}

// Reload applies the settings that can change while the daemon runs: the retry limits.
func (d *Daemon) Reload(settings *mangomessage.RelaySettings) {
	d.budget.SetLimit(retryLimit(settings))
	d.logger.WithFields(logrus.Fields{
		"event": "settings_reloaded", "retry_ratio": settings.GetRetry().GetRatio(), "retry_slack": settings.GetRetry().GetSlack(),
	}).Info("the retry limits were reloaded; changes of other settings need a restart")
}

// componentExit is the result of a component whose goroutine has returned.
type componentExit struct {
	name string
	err  error
}

// Run serves until the context ends, then stops gracefully.
func (d *Daemon) Run(ctx context.Context) error {
	debug.SetMemoryLimit(int64(memoryLimitFraction * float64(d.settings.GetHost().GetMemory())))
	if err := d.metrics.RegisterGauges(d.registry, d.gauges()); err != nil {
		return &Error{Op: "Run", Kind: KindStart, Err: err}
	}
	// The components outlive the signal to stop; they end after draining.
	componentCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	listeners, err := d.listen(componentCtx)
	if err != nil {
		return &Error{Op: "Listen", Kind: KindStart, Err: err}
	}
	peerServer, err := mangopeer.NewServer(peerHandler{d.broadcaster, d.hub.server}, provideCredentials(d.settings))
	if err != nil {
		return &Error{Op: "Run", Kind: KindStart, Err: err}
	}
	// The duties end before draining: the daemon gives up its leases and places no more layers.
	dutyCtx, stopDuties := context.WithCancel(componentCtx)
	defer stopDuties()
	callers, readiness, metrics := newServer(d.logger), newServer(d.logger), newServer(d.logger)
	conns := newCallerConns()
	conns.trackServer(callers)
	readiness.Handler, metrics.Handler = readinessHandler(d.isReady), metricsHandler(d.registry, newExplainService(d.relay, d.metrics.CountExplanation, d.logger))
	ended := make(chan componentExit)
	running := 0
	run := func(name string, f func() error) {
		running++
		go func() { ended <- componentExit{name, f()} }()
	}
	run("state", func() error { return d.controller.Run(componentCtx) })
	run("news", func() error { return d.broadcaster.Run(componentCtx) })
	run("checks", func() error { return d.relay.Run(componentCtx) })
	run("monitor", func() error { return d.monitor.Run(componentCtx) })
	run("checker", func() error { return d.checker.Run(componentCtx) })
	run("pacer", func() error { return d.slowDetector.Run(componentCtx) })
	run("poller", func() error { return d.poller.Run(dutyCtx) })
	run("seats", func() error { return d.seats.Run(dutyCtx) })
	run("handover", func() error { return d.hub.handover.Run(dutyCtx) })
	run("reader", func() error { return d.hub.reader.Run(componentCtx) })
	run("follower", func() error { return d.hub.follower.Run(componentCtx) })
	run("hub", func() error { return d.hub.server.Run(componentCtx) })
	run("loads", func() error { return d.hub.reporter.Run(componentCtx) })
	run("placement", func() error { return d.placement.Run(dutyCtx) })
	run("deputy", func() error { return d.deputy.Run(dutyCtx) })
	run("verdicts", func() error { return d.verdicts.Run(dutyCtx) })
	run("placer", func() error { return d.placer.Run(dutyCtx) })
	run("peers", func() error { return peerServer.Serve(componentCtx, listeners.peers) })
	run("readiness", func() error { return readiness.Serve(listeners.readiness) })
	run("metrics", func() error { return metrics.Serve(listeners.metrics) })
	run("callers", func() error { return d.ingress.serve(componentCtx, callers, callerListener{listeners.callers, conns}) })
	d.logger.WithFields(logrus.Fields{
		"event": "started", "host": d.self.Name, "data_centre": d.settings.GetHost().GetDataCentre(),
		"callers": d.settings.GetIngress().GetAddress(), "peers": d.self.Address, "metrics": d.settings.GetIngress().GetMetricsAddress(),
	}).Info("the daemon started")
	var failed error
	stopping := ctx.Done()
	for failed == nil {
		select {
		case <-stopping:
			d.shutdown.Begin(mangoshutdown.NewPlan(time.Now(), milliseconds(d.settings.GetBounds().GetGracePeriod())))
			d.logger.WithFields(logrus.Fields{"event": "stopping", "active": d.shutdown.Active()}).Info("the daemon is stopping")
			stopDuties()
			d.conns.CloseIdle()
			d.drain(conns, listeners.callers)
			failed = ctx.Err()
		case c := <-ended:
			running--
			failed = &Error{Op: c.name, Kind: KindComponent, Err: errors.Errorf("component stopped while the daemon was running: %v", c.err)}
		}
	}
	d.relay.LogUnfinished()
	cancel()
	for _, s := range []*http.Server{callers, readiness, metrics} {
		// Close closes all connections even if it returns an error.
		_ = s.Close()
	}
	conns.lingerer.endBy(time.Now().Add(lingerAtEnd))
	for range running {
		<-ended
	}
	d.peers.Close()
	d.conns.CloseIdle()
	d.logger.WithFields(logrus.Fields{"event": "stopped", "active": d.shutdown.Active()}).Info("the daemon stopped")
	if errors.Is(failed, context.Canceled) {
		return nil
	}
	return failed
}

// isReady reports whether the load balancer may send callers: the daemon knows the configuration and the replicas and is not
// stopping.
func (d *Daemon) isReady() bool {
	v := d.controller.View()
	return !d.shutdown.IsStopping() && v.Synced && v.Table != nil
}

// gauges returns the functions that read the gauges of the daemon's metrics.
func (d *Daemon) gauges() mangometric.RelayGauges {
	view := d.controller.View
	return mangometric.RelayGauges{
		ActiveRequests:  func() float64 { return float64(d.shutdown.Active()) },
		Replicas:        func() float64 { return float64(view().Fleet.Len()) },
		UnknownRequests: func() float64 { return float64(d.health.UnknownRequests(time.Now())) },
		AvoidedReplicas: func() float64 { return float64(len(d.health.Outages(time.Now()))) },
		Members:         func() float64 { return float64(d.health.Daemons()) },
		ConfigurationVersion: func() float64 {
			if t := view().Table; t != nil {
				return float64(t.Version())
			}
			return 0
		},
		StoreAge: func() float64 { return time.Since(view().LastAnswer).Seconds() },
		StoreReachable: func() float64 {
			if view().Reachable {
				return 1
			}
			return 0
		},
		HoldsPlacementLease: func() float64 {
			if _, ok := d.placement.Holds(); ok {
				return 1
			}
			return 0
		},
		DroppedLogLines: func() float64 { return float64(d.logWriter.Dropped()) },
		BlockedRequests: func() float64 {
			_, condemned := d.crashes.Counts(time.Now())
			return float64(condemned)
		},
		CoveredDataCentres: func() float64 { return float64(d.countCoveredDataCentres()) },
		KeptBytes:          func() float64 { return float64(d.memory.Used()) },
	}
}

// countCoveredDataCentres returns the number of pairs of a split model and a data centre whose replicas hold all its layers.
func (d *Daemon) countCoveredDataCentres() int {
	v := d.controller.View()
	if v.Table == nil {
		return 0
	}
	n := 0
	for name, s := range v.Table.Services() {
		if s.Split() {
			n += len(mangopipeline.CoveredDataCentres(mangopipeline.View{
				Replicas: v.Fleet.ByService(name), Engine: s.Engine, Status: d.health, Now: time.Now(),
			}))
		}
	}
	return n
}

// listeners has the listening sockets of a daemon.
type listeners struct {
	callers, readiness, metrics, peers net.Listener
}

// listen opens the listening sockets at the addresses of the settings.
func (d *Daemon) listen(ctx context.Context) (listeners, error) {
	var l listeners
	config := new(net.ListenConfig)
	rows := []struct {
		listener *net.Listener
		address  string
	}{
		{&l.callers, d.settings.GetIngress().GetAddress()},
		{&l.readiness, d.settings.GetIngress().GetReadinessAddress()},
		{&l.metrics, d.settings.GetIngress().GetMetricsAddress()},
		{&l.peers, d.settings.GetPeers().GetAddress()},
	}
	for _, r := range rows {
		listener, err := config.Listen(ctx, "tcp", r.address)
		if err != nil {
			return l, errors.WithMessage(err, "listen on "+r.address)
		}
		*r.listener = listener
	}
	return l, nil
}
