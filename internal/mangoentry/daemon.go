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

	"mangopath.org/mangopath/internal/mangobudget"
	"mangopath.org/mangopath/internal/mangodeputy"
	"mangopath.org/mangopath/internal/mangolayout"
	"mangopath.org/mangopath/internal/mangoliveness"
	"mangopath.org/mangopath/internal/mangolog"
	"mangopath.org/mangopath/internal/mangometric"
	"mangopath.org/mangopath/internal/mangonews"
	"mangopath.org/mangopath/internal/mangopace"
	"mangopath.org/mangopath/internal/mangopeer"
	"mangopath.org/mangopath/internal/mangopipeline"
	"mangopath.org/mangopath/internal/mangorelay"
	"mangopath.org/mangopath/internal/mangoreplica"
	"mangopath.org/mangopath/internal/mangostate"
	"mangopath.org/mangopath/internal/mangosuspect"
	"mangopath.org/mangopath/pkg/mangomessage"
)

const (
	// rotationTime is the time for the load balancer to notice that this daemon is not ready: two checks, a second apart.
	// Callers that come later can be sent here only because other daemons of the data centre are away, too.
	rotationTime = 2300 * time.Millisecond
	// stopMargin is kept of the grace period for the end of the process.
	stopMargin = 700 * time.Millisecond
	// lastRequest is the time before the end from which no request is begun; plain requests take well below it.
	lastRequest = 1200 * time.Millisecond
	stopStep    = 50 * time.Millisecond
	// memoryShare is the share of the memory at which the garbage collector works harder.
	memoryShare = 0.8
)

// Daemon is an assembled daemon.
type Daemon struct {
	settings   *mangomessage.RelaySettings
	logger     *logrus.Logger
	lines      *mangolog.Writer
	self       mangostate.Member
	controller *mangostate.Controller
	board      *mangoreplica.HealthTracker
	budget     *mangobudget.Budget
	suspects   *mangosuspect.CrashTracker
	relay      *mangorelay.Relay
	news       *mangonews.Broadcaster
	poller     *mangostate.Poller
	monitor    *mangoliveness.Monitor
	pacer      *mangopace.Detector
	peers      *mangopeer.Client
	placement  placementTenure
	deputy     *mangodeputy.Deputy
	membership membership
	placer     *mangolayout.Placer
	ingress    *ingress
	metrics    *mangometric.Relay
	registry   *prometheus.Registry
	phase      *phase
}

func newDaemon(
	settings *mangomessage.RelaySettings, logger *logrus.Logger, lines *mangolog.Writer, self mangostate.Member,
	controller *mangostate.Controller, board *mangoreplica.HealthTracker, budget *mangobudget.Budget, suspects *mangosuspect.CrashTracker,
	relay *mangorelay.Relay, news *mangonews.Broadcaster, poller *mangostate.Poller, monitor *mangoliveness.Monitor, pacer *mangopace.Detector, peers *mangopeer.Client, placement placementTenure, deputy *mangodeputy.Deputy, membership membership,
	placer *mangolayout.Placer, ingress *ingress, metrics *mangometric.Relay, registry *prometheus.Registry, phase *phase,
) *Daemon {
	return &Daemon{
		settings: settings, logger: logger, lines: lines, self: self, controller: controller, board: board, budget: budget,
		suspects: suspects, relay: relay, news: news, poller: poller, monitor: monitor, pacer: pacer, peers: peers, placement: placement, deputy: deputy, membership: membership, placer: placer,
		ingress: ingress, metrics: metrics, registry: registry, phase: phase,
	}
}

// Reload applies settings that can change while the daemon runs.
func (d *Daemon) Reload(settings *mangomessage.RelaySettings) {
	d.budget.SetLimit(retryLimit(settings))
	d.logger.WithFields(logrus.Fields{
		"event": "settings_reloaded", "retry_ratio": settings.GetRetry().GetRatio(), "retry_slack": settings.GetRetry().GetSlack(),
	}).Info("the retry limits of the settings are in force; other settings need a restart")
}

// part is a goroutine of the daemon with its end.
type part struct {
	name string
	err  error
}

// Run serves until the context ends, then stops gracefully.
func (d *Daemon) Run(ctx context.Context) error {
	debug.SetMemoryLimit(int64(memoryShare * float64(d.settings.GetHost().GetMemory())))
	if err := d.metrics.Watch(d.registry, d.gauges()); err != nil {
		return &Error{Op: "Run", Kind: KindStart, Err: err}
	}
	// The parts outlive the signal to stop; they end when the last request has been answered.
	inner, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	listeners, err := d.listen(inner)
	if err != nil {
		return &Error{Op: "Listen", Kind: KindStart, Err: err}
	}
	peerServer, err := mangopeer.NewServer(d.news, provideSecurity(d.settings))
	if err != nil {
		return &Error{Op: "Run", Kind: KindStart, Err: err}
	}
	duties, resign := context.WithCancel(inner)
	defer resign()
	callers, readiness, metrics := newServer(d.logger), newServer(d.logger), newServer(d.logger)
	conns := newConnections()
	callers.ConnState = conns.note
	readiness.Handler, metrics.Handler = readinessHandler(d.ready), metricsHandler(d.registry)
	ended := make(chan part)
	running := 0
	run := func(name string, f func() error) {
		running++
		go func() { ended <- part{name, f()} }()
	}
	run("state", func() error { return d.controller.Run(inner) })
	run("news", func() error { return d.news.Run(inner) })
	run("checks", func() error { return d.relay.Run(inner) })
	run("monitor", func() error { return d.monitor.Run(inner) })
	run("pacer", func() error { return d.pacer.Run(inner) })
	run("poller", func() error { return d.poller.Run(duties) })
	run("membership", func() error { return d.membership.Run(duties) })
	run("placement", func() error { return d.placement.Run(duties) })
	run("deputy", func() error { return d.deputy.Run(duties) })
	run("placer", func() error { return d.placer.Run(duties) })
	run("peers", func() error { return peerServer.Serve(inner, listeners.peers) })
	run("readiness", func() error { return readiness.Serve(listeners.readiness) })
	run("metrics", func() error { return metrics.Serve(listeners.metrics) })
	run("callers", func() error { return d.ingress.serve(inner, callers, listeners.callers) })
	d.logger.WithFields(logrus.Fields{
		"event": "started", "host": d.self.Name, "data_centre": d.settings.GetHost().GetDataCentre(),
		"callers": d.settings.GetIngress().GetAddress(), "peers": d.self.Address, "metrics": d.settings.GetIngress().GetMetricsAddress(),
	}).Info("the daemon started")
	var failed error
	stopping := ctx.Done()
	for failed == nil {
		select {
		case <-stopping:
			limit := d.drainLimit()
			d.phase.begin(time.Now().Add(min(rotationTime, limit)), time.Now().Add(limit-lastRequest))
			d.logger.WithFields(logrus.Fields{"event": "stopping", "active": d.phase.active.Load()}).Info("the daemon stops")
			resign()
			d.drain(conns)
			failed = ctx.Err()
		case p := <-ended:
			running--
			failed = &Error{Op: p.name, Kind: KindComponent, Err: errors.Errorf("ended by itself: %v", p.err)}
		}
	}
	cancel()
	for _, s := range []*http.Server{callers, readiness, metrics} {
		// The connections are cut whatever the result.
		_ = s.Close()
	}
	for range running {
		<-ended
	}
	d.peers.Close()
	d.logger.WithFields(logrus.Fields{"event": "stopped", "active": d.phase.active.Load()}).Info("the daemon stopped")
	if errors.Is(failed, context.Canceled) {
		return nil
	}
	return failed
}

// drain waits until the load balancer sends no more callers and all requests are answered, within the grace period.
func (d *Daemon) drain(conns *connections) {
	begun := time.Now()
	limit := d.drainLimit()
	closed := 0
	for time.Since(begun) < limit {
		closed += conns.closeIdle()
		if time.Since(begun) >= min(rotationTime, limit) && d.phase.active.Load() == 0 {
			break
		}
		time.Sleep(stopStep)
	}
	d.logger.WithFields(logrus.Fields{
		"event": "drained", "active": d.phase.active.Load(), "idle_closed": closed, "took_ms": time.Since(begun).Milliseconds(),
	}).Info("the requests in hand have ended or their time is over")
}

// drainLimit is the longest time from the signal to stop to the end.
func (d *Daemon) drainLimit() time.Duration {
	return milliseconds(d.settings.GetBounds().GetGracePeriod()) - stopMargin
}

// ready reports whether the load balancer may send callers: the configuration and the replicas are known.
func (d *Daemon) ready() bool {
	v := d.controller.View()
	return !d.phase.stopping() && v.Synced && v.Table != nil
}

func (d *Daemon) gauges() mangometric.Gauges {
	view := d.controller.View
	return mangometric.Gauges{
		Active:   func() float64 { return float64(d.phase.active.Load()) },
		Replicas: func() float64 { return float64(view().Fleet.Len()) },
		Avoided:  func() float64 { return float64(len(d.board.Outages(time.Now()))) },
		Members:  func() float64 { return float64(len(view().Members)) },
		Version: func() float64 {
			if t := view().Table; t != nil {
				return float64(t.Version())
			}
			return 0
		},
		StoreAge: func() float64 { return time.Since(view().LastAnswer).Seconds() },
		StoreUp: func() float64 {
			if view().Reachable {
				return 1
			}
			return 0
		},
		HoldsLease: func() float64 {
			if _, ok := d.placement.Holds(); ok {
				return 1
			}
			return 0
		},
		DroppedLines: func() float64 { return float64(d.lines.Dropped()) },
		SuspectCrash: func() float64 {
			_, condemned := d.suspects.Counts(time.Now())
			return float64(condemned)
		},
		CoveredCentre: func() float64 { return float64(d.covered()) },
	}
}

// covered returns the number of pairs of a model and a data centre that holds all its layers.
func (d *Daemon) covered() int {
	v := d.controller.View()
	if v.Table == nil {
		return 0
	}
	n := 0
	for name, s := range v.Table.Services() {
		if s.Split() {
			n += len(mangopipeline.CoveredDataCentres(mangopipeline.View{
				Replicas: v.Fleet.ByService(name), Engine: s.Engine, Status: d.board, Now: time.Now(),
			}))
		}
	}
	return n
}

type listeners struct {
	callers, readiness, metrics, peers net.Listener
}

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
			return l, errors.WithMessage(err, "listen at "+r.address)
		}
		*r.listener = listener
	}
	return l, nil
}
