package mangosignal

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/sirupsen/logrus"
)

// Signals are the caught signals of the process.
type Signals struct {
	// The sorts have a channel each, so that many signals of one sort cannot crowd out the other. A channel keeps one signal:
	// several in a row ask for the same thing.
	stops, reloads chan os.Signal
}

// Catch catches SIGTERM and SIGINT, which stop a daemon, and SIGHUP, which reloads its settings. A write to a closed pipe, such as
// that of a log collector that has ended, gives an error and no SIGPIPE.
func Catch() *Signals {
	s := &Signals{stops: make(chan os.Signal, 1), reloads: make(chan os.Signal, 1)}
	signal.Notify(s.stops, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(s.reloads, syscall.SIGHUP)
	signal.Ignore(syscall.SIGPIPE)
	return s
}

// Option sets a property of Run.
type Option func(*handler)

// WithLogger sets the logger of received signals.
func WithLogger(l logrus.FieldLogger) Option { return func(h *handler) { h.logger = l } }

// WithSecondStopFatal gives the signals that stop the process their default action after the first one, so that a second one
// ends the process at once.
func WithSecondStopFatal() Option { return func(h *handler) { h.secondStopFatal = true } }

// handler is what Run does on signals.
type handler struct {
	stop, reload    func()
	logger          logrus.FieldLogger
	secondStopFatal bool
}

// Run calls stop at each signal to stop and reload at each SIGHUP, until the context ends. Signals that come after that are
// still caught, and nothing happens.
func (s *Signals) Run(ctx context.Context, stop, reload func(), opts ...Option) error {
	h := &handler{stop: stop, reload: reload, logger: logrus.StandardLogger()}
	for _, o := range opts {
		o(h)
	}
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case received := <-s.stops:
			h.handleStop(received)
		case received := <-s.reloads:
			h.log(received, "Reload")
			h.reload()
		}
	}
}

func (h *handler) handleStop(received os.Signal) {
	h.log(received, "Stop")
	if h.secondStopFatal {
		signal.Reset(syscall.SIGTERM, syscall.SIGINT)
	}
	h.stop()
}

func (h *handler) log(received os.Signal, request string) {
	h.logger.WithFields(logrus.Fields{"event": "signal", "signal": received.String(), "request": request}).Info("a signal was received")
}
