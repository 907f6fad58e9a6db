package mangooperator

import (
	"context"
	"crypto/tls"
	"io"
	"log"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/net/netutil"

	"mangopath.org/mangopath/pkg/mangomessage"
)

const (
	// ioTimeout bounds reading a request and writing an answer; no call of operators takes longer.
	ioTimeout = 30 * time.Second
	// maxConnections leaves room for operators, the load balancer's checks and scrapers.
	maxConnections = 256
)

// Server returns a server for the API.
func (o *API) Server() *http.Server {
	return &http.Server{
		Handler: o.Handler(), ReadTimeout: ioTimeout, WriteTimeout: 2 * ioTimeout, IdleTimeout: 2 * time.Minute,
		MaxHeaderBytes: 32 << 10, ErrorLog: log.New(io.Discard, "", 0),
	}
}

// Listen opens the operators' listener, with TLS if a certificate is set. The error is an *Error.
func Listen(ctx context.Context, settings *mangomessage.OperatorSettings) (net.Listener, error) {
	listener, err := new(net.ListenConfig).Listen(ctx, "tcp", settings.GetAddress())
	if err != nil {
		return nil, &Error{Op: "Listen", Kind: KindListen, Err: errors.WithStack(err)}
	}
	listener = netutil.LimitListener(listener, maxConnections)
	if settings.GetCertificateFile() == "" {
		return listener, nil
	}
	certificate, err := tls.LoadX509KeyPair(settings.GetCertificateFile(), settings.GetKeyFile())
	if err != nil {
		_ = listener.Close()
		return nil, &Error{Op: "Listen", Kind: KindListen, Err: errors.WithStack(err)}
	}
	return tls.NewListener(listener, &tls.Config{Certificates: []tls.Certificate{certificate}, MinVersion: tls.VersionTLS12}), nil
}
