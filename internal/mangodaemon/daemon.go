package mangodaemon

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"mangopath.org/mangopath/internal/mangocall"
	"mangopath.org/mangopath/internal/mangocontrol"
	"mangopath.org/mangopath/internal/mangocustomer"
	"mangopath.org/mangopath/internal/mangogateway"
	"mangopath.org/mangopath/internal/mangoledger"
	"mangopath.org/mangopath/internal/mangometric"
	"mangopath.org/mangopath/internal/mangooperator"
	"mangopath.org/mangopath/internal/mangopeer"
	"mangopath.org/mangopath/pkg/mangomessage"
)

const (
	// upstreamWaitTimeout bounds the time that a new entry host waits for its upstreams before it reports ready. A listed
	// engine may be down and never answer a probe.
	upstreamWaitTimeout   = 3 * time.Second
	upstreamCheckInterval = 20 * time.Millisecond
)

// flushTimeout bounds the time to write the records of finished calls at shutdown. A call whose record is not written
// stays Started, which never leads to a second execution.
const flushTimeout = 5 * time.Second

// Daemon holds the components of an entry host.
type Daemon struct {
	settings    *mangomessage.Settings
	logger      *logrus.Logger
	controller  *mangocontrol.Controller
	queue       *mangocustomer.Queue
	ledger      *mangoledger.Ledger
	driver      *mangocall.Driver
	peers       *mangopeer.Client
	credentials mangopeer.Credentials
	gateway     *mangogateway.Gateway
	operators   *mangooperator.API
	reporter    statusReporter
	metrics     *mangometric.Metrics
	placement   *placementRunner
}

func newDaemon(
	settings *mangomessage.Settings, logger *logrus.Logger, controller *mangocontrol.Controller, queue *mangocustomer.Queue,
	ledger *mangoledger.Ledger, driver *mangocall.Driver, peers *mangopeer.Client, credentials mangopeer.Credentials,
	gateway *mangogateway.Gateway, operators *mangooperator.API, reporter statusReporter, metrics *mangometric.Metrics,
	placement *placementRunner,
) *Daemon {
	return &Daemon{
		settings: settings, logger: logger, controller: controller, queue: queue, ledger: ledger, driver: driver,
		peers: peers, credentials: credentials, gateway: gateway, operators: operators, reporter: reporter, metrics: metrics,
		placement: placement,
	}
}

// Run assembles an entry host from its settings and runs it as Daemon.Run does.
func Run(ctx context.Context, settings *mangomessage.Settings, logger *logrus.Logger) error {
	daemon, err := Initialize(settings, logger) //nolint:contextcheck // Initialize starts nothing that could be cancelled
	if err != nil {
		return &Error{Op: "initialize", Kind: KindStart, Err: err}
	}
	return daemon.Run(ctx)
}

// componentExit has the name of a component that stopped and the error that it returned.
type componentExit struct {
	name string
	err  error
}

// Run serves until the context ends and then drains and stops all components. It returns an error if a component could not
// start or stopped by itself.
func (d *Daemon) Run(ctx context.Context) error {
	listeners, err := d.listen(ctx)
	if err != nil {
		return &Error{Op: "listen", Kind: KindStart, Err: err}
	}
	componentCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	peerServer, err := mangopeer.NewServer(peerHandler{Controller: d.controller, ledger: d.ledger}, d.credentials)
	if err != nil {
		return &Error{Op: "listen", Kind: KindStart, Err: err}
	}
	callers, operators := d.gateway.Server(), d.operators.Server()
	exits := make(chan componentExit, 16)
	running := 0
	run := func(name string, f func() error) {
		running++
		go func() { exits <- componentExit{name, f()} }()
	}
	run("control", func() error { return d.controller.Run(componentCtx) })
	run("slots", func() error { d.controller.AllocateSlots(componentCtx, d.queue); return nil })
	run("gauges", func() error { d.reporter.updateGauges(componentCtx, d.metrics); return nil })
	run("ledger", func() error { return d.ledger.Run(componentCtx) })
	run("placement", func() error { d.placement.runPlacer(componentCtx, ctx.Done()); return nil })
	run("peers", func() error { return peerServer.Serve(componentCtx, listeners.peers) })
	run("operators", func() error { return operators.Serve(listeners.operators) })
	run("callers", func() error { return callers.Serve(listeners.callers) })
	waited := make(chan struct{})
	go func() {
		defer close(waited)
		d.waitForUpstreams(componentCtx)
	}()
	d.logger.WithFields(logrus.Fields{
		"event": "started", "host": d.settings.Host.Name, "data_centre": d.settings.Host.DataCentre,
		"callers": d.settings.Callers.Address, "operators": d.settings.Operators.Address, "peers": d.settings.Peers.Address,
	}).Info("entry host started")
	var failed error
	select {
	case <-ctx.Done():
		d.drain(componentCtx, callers)
	case e := <-exits:
		running--
		failed = &Error{Op: e.name, Kind: KindComponent, Err: errors.Errorf("component stopped by itself: %v", e.err)}
	}
	cancel()
	_ = callers.Close()
	_ = operators.Close()
	for range running {
		<-exits
	}
	<-waited
	d.driver.Wait()
	d.peers.Close()
	d.logger.WithFields(logrus.Fields{"event": "stopped"}).Info("entry host stopped")
	return failed
}

// waitForUpstreams waits until this entry host can serve the calls of its profiles, at most for upstreamWaitTimeout, and
// then lets it report ready. Before that it would refuse calls that another entry host could serve.
func (d *Daemon) waitForUpstreams(ctx context.Context) {
	for start := time.Now(); time.Since(start) < upstreamWaitTimeout && !d.canServe(); {
		select {
		case <-ctx.Done():
			return
		case <-time.After(upstreamCheckInterval):
		}
	}
	d.reporter.readiness.upstreamsKnown.Store(true)
}

// canServe reports whether the engines are probed and each pool that can run calls has slots in the queue.
func (d *Daemon) canServe() bool {
	if !d.controller.HasConfiguration() || !d.controller.EnginesProbed() {
		return false
	}
	loads := d.queue.Loads()
	for pool := range d.controller.PoolCapacities() {
		if loads[pool].Slots == 0 {
			return false
		}
	}
	return true
}

// drain fails the readiness check and accepts calls for the drain delay, until the load balancer has noticed. It then lets
// running calls finish and their records be written.
func (d *Daemon) drain(ctx context.Context, callers *http.Server) {
	d.logger.WithFields(logrus.Fields{"event": "draining"}).Info("entry host is draining")
	d.reporter.readiness.stopping.Store(true)
	d.controller.AnnounceShutdown()
	callers.SetKeepAlivesEnabled(false)
	time.Sleep(milliseconds(d.settings.Callers.DrainDelay))
	shutdown, cancel := context.WithTimeout(ctx, milliseconds(d.settings.Callers.DrainTimeout))
	defer cancel()
	if err := callers.Shutdown(shutdown); err != nil {
		d.logger.WithFields(logrus.Fields{"event": "drain_incomplete"}).WithError(err).Warn("calls were still running at the end of the drain timeout")
	}
	flush, cancelFlush := context.WithTimeout(ctx, flushTimeout)
	defer cancelFlush()
	if err := d.ledger.Flush(flush); err != nil {
		d.logger.WithFields(logrus.Fields{"event": "flush_incomplete"}).WithError(err).Warn("not all records of finished calls were written at shutdown")
	}
}

// listeners has the open sockets for callers, operators and peers.
type listeners struct {
	callers, operators, peers net.Listener
}

// listen opens all listeners of the entry host.
func (d *Daemon) listen(ctx context.Context) (listeners, error) {
	var l listeners
	var err error
	if l.peers, err = new(net.ListenConfig).Listen(ctx, "tcp", d.settings.Peers.Address); err != nil {
		return l, err
	}
	if l.operators, err = mangooperator.Listen(ctx, d.settings.Operators); err != nil {
		return l, err
	}
	l.callers, err = mangogateway.Listen(ctx, d.settings.Callers)
	return l, err
}
