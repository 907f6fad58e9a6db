package main

import (
	"context"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"
)

// shutdownTimeout is the time for requests to end after the stop.
const shutdownTimeout = 2 * time.Second

// signalContext returns a context that ends at the first SIGINT or SIGTERM; the second one ends the process.
func signalContext(parent context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := signal.NotifyContext(parent, os.Interrupt, syscall.SIGTERM)
	context.AfterFunc(ctx, cancel)
	return ctx, cancel
}

// serveHTTP runs an HTTP server until the context ends.
func serveHTTP(ctx context.Context, role, address string, handler http.Handler) error {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
	if err != nil {
		return errors.Wrapf(err, "listen on --address %s", address)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second}
	done := make(chan error, 1)
	go func() { done <- server.Serve(listener) }()
	logrus.WithFields(logrus.Fields{"role": role, "address": listener.Addr().String()}).Info("listening")
	select {
	case err := <-done:
		return errors.Wrap(err, "serve")
	case <-ctx.Done():
	}
	stop, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
	defer cancel()
	if err := server.Shutdown(stop); err != nil {
		// Watches and streams of callers that are still connected end here.
		_ = server.Close()
	}
	if err := <-done; !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "serve")
	}
	logrus.WithField("role", role).Info("stopped")
	return nil
}

// gracefulServer is a server that can end its running calls before it stops.
type gracefulServer interface {
	http.Handler
	Run(ctx context.Context)
	Stop()
}

// runGracefulServer serves until the graceful stop, which a signal or an admin request starts, is complete.
func runGracefulServer(ctx context.Context, role, address string, server gracefulServer) error {
	signalled, cancelSignals := signalContext(ctx)
	defer cancelSignals()
	running, cancel := context.WithCancel(ctx)
	defer cancel()
	context.AfterFunc(signalled, func() {
		logrus.WithField("role", role).Info("stopping")
		server.Stop()
	})
	var g errgroup.Group
	g.Go(func() error {
		defer cancel()
		server.Run(running)
		return nil
	})
	g.Go(func() error {
		defer cancel()
		return serveHTTP(running, role, address, server)
	})
	return g.Wait()
}
