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

// shutdownTimeout bounds the wait for running requests when the HTTP server shuts down.
const shutdownTimeout = 2 * time.Second

// signalContext returns a context that ends at the first SIGINT or SIGTERM. It then restores the default action of the
// signals, so that a second one ends the process.
func signalContext(parent context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := signal.NotifyContext(parent, os.Interrupt, syscall.SIGTERM)
	context.AfterFunc(ctx, cancel)
	return ctx, cancel
}

// serveHTTP runs an HTTP server until the context ends and shuts it down; role is its name in log lines.
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
		// Watches and streams outlast the shutdown timeout if their callers stay connected.
		_ = server.Close()
	}
	if err := <-done; !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "serve")
	}
	logrus.WithField("role", role).Info("stopped")
	return nil
}

// gracefulServer is an HTTP handler that can finish its running calls before it stops.
type gracefulServer interface {
	http.Handler
	// Run returns when the context ends or a graceful stop is complete.
	Run(ctx context.Context)
	// Stop starts a graceful stop and returns immediately.
	Stop()
}

// runGracefulServer serves HTTP until a graceful stop is complete. A signal or an admin request starts the stop.
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
