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
	// warmTimeout bounds the time that a new entry host waits for upstreams before it is ready, since a listed engine may
	// be dead.
	warmTimeout = 3 * time.Second
	warmPause   = 20 * time.Millisecond
)

// flushTimeout bounds the wait for records of finished calls on shutdown; a record that is not written leaves its
// call as Started, which never leads to a second execution.
const flushTimeout = 5 * time.Second

// Daemon is an entry host.
type Daemon struct {
	settings   *mangomessage.Settings
	logger     *logrus.Logger
	controller *mangocontrol.Controller
	queue      *mangocustomer.Queue
	ledger     *mangoledger.Ledger
	driver     *mangocall.Driver
	peers      *mangopeer.Client
	security   mangopeer.Credentials
	gateway    *mangogateway.Gateway
	operators  *mangooperator.API
	reporter   reporter
	metrics    *mangometric.Metrics
	placement  *placement
}

func newDaemon(
	settings *mangomessage.Settings, logger *logrus.Logger, controller *mangocontrol.Controller, queue *mangocustomer.Queue,
	ledger *mangoledger.Ledger, driver *mangocall.Driver, peers *mangopeer.Client, security mangopeer.Credentials,
	gateway *mangogateway.Gateway, operators *mangooperator.API, reporter reporter, metrics *mangometric.Metrics,
	placement *placement,
) *Daemon {
	return &Daemon{
		settings: settings, logger: logger, controller: controller, queue: queue, ledger: ledger, driver: driver,
		peers: peers, security: security, gateway: gateway, operators: operators, reporter: reporter, metrics: metrics,
		placement: placement,
	}
}

// Run serves until the context ends, then shuts down gracefully; it returns an error when a part could not start or
// ended by itself.
func Run(ctx context.Context, settings *mangomessage.Settings, logger *logrus.Logger) error {
	daemon, err := Initialize(settings, logger) //nolint:contextcheck // assembly starts nothing that could be cancelled
	if err != nil {
		return &Error{Op: "initialize", Kind: KindStart, Err: err}
	}
	return daemon.Run(ctx)
}

// part is a running part and the error it ended with.
type part struct {
	name string
	err  error
}

// Run serves until the context ends and then shuts down gracefully.
func (d *Daemon) Run(ctx context.Context) error {
	listeners, err := d.listen(ctx)
	if err != nil {
		return &Error{Op: "listen", Kind: KindStart, Err: err}
	}
	inner, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	peerServer, err := mangopeer.NewServer(answerer{d.controller, d.ledger}, d.security)
	if err != nil {
		return &Error{Op: "listen", Kind: KindStart, Err: err}
	}
	callers, operators := d.gateway.Server(), d.operators.Server()
	ended := make(chan part, 16)
	running := 0
	run := func(name string, f func() error) {
		running++
		go func() { ended <- part{name, f()} }()
	}
	run("control", func() error { return d.controller.Run(inner) })
	run("slots", func() error { d.controller.AllocateSlots(inner, d.queue); return nil })
	run("gauges", func() error { d.reporter.gauges(inner, d.metrics); return nil })
	run("ledger", func() error { return d.ledger.Run(inner) })
	run("placement", func() error { d.placement.run(inner, ctx.Done()); return nil })
	run("peers", func() error { return peerServer.Serve(inner, listeners.peers) })
	run("operators", func() error { return operators.Serve(listeners.operators) })
	run("callers", func() error { return callers.Serve(listeners.callers) })
	warmed := make(chan struct{})
	go func() {
		defer close(warmed)
		d.warm(inner)
	}()
	d.logger.WithFields(logrus.Fields{
		"event": "started", "host": d.settings.Host.Name, "data_centre": d.settings.Host.DataCentre,
		"callers": d.settings.Callers.Address, "operators": d.settings.Operators.Address, "peers": d.settings.Peers.Address,
	}).Info("entry host started")
	var failed error
	select {
	case <-ctx.Done():
		d.drain(inner, callers)
	case p := <-ended:
		running--
		failed = &Error{Op: p.name, Kind: KindComponent, Err: errors.Errorf("ended by itself: %v", p.err)}
	}
	cancel()
	_ = callers.Close()
	_ = operators.Close()
	for range running {
		<-ended
	}
	<-warmed
	d.driver.Wait()
	d.peers.Close()
	d.logger.WithFields(logrus.Fields{"event": "stopped"}).Info("entry host stopped")
	return failed
}

// warm waits until this entry host knows the upstreams of its profiles and has slots for them. Before that it would
// refuse calls that another entry host could serve.
func (d *Daemon) warm(ctx context.Context) {
	for begun := time.Now(); time.Since(begun) < warmTimeout && !d.canServe(); {
		select {
		case <-ctx.Done():
			return
		case <-time.After(warmPause):
		}
	}
	d.reporter.ready.warm.Store(true)
}

// canServe reports whether the queue has slots for all that the engines can run.
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

// drain fails the readiness check, accepts calls until the load balancer has noticed and lets running calls finish.
func (d *Daemon) drain(ctx context.Context, callers *http.Server) {
	d.logger.WithFields(logrus.Fields{"event": "draining"}).Info("entry host shuts down")
	d.reporter.ready.stopping.Store(true)
	d.controller.AnnounceShutdown()
	callers.SetKeepAlivesEnabled(false)
	time.Sleep(milliseconds(d.settings.Callers.DrainDelay))
	shutdown, cancel := context.WithTimeout(ctx, milliseconds(d.settings.Callers.DrainTimeout))
	defer cancel()
	if err := callers.Shutdown(shutdown); err != nil {
		d.logger.WithFields(logrus.Fields{"event": "drain_incomplete"}).WithError(err).Warn("calls still ran at the end of the drain timeout")
	}
	flush, cancelFlush := context.WithTimeout(ctx, flushTimeout)
	defer cancelFlush()
	if err := d.ledger.Flush(flush); err != nil {
		d.logger.WithFields(logrus.Fields{"event": "flush_incomplete"}).WithError(err).Warn("records were not all written")
	}
}

type listeners struct {
	callers, operators, peers net.Listener
}

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
