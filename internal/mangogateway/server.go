package mangogateway

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

// idleTimeout is the time without a request after which a kept-alive connection is closed.
const idleTimeout = 2 * time.Minute

// Server returns an HTTP server for the gateway with the read timeout and the header size limit of its settings.
func (g *Gateway) Server() *http.Server {
	readTimeout := time.Duration(g.settings.GetReadTimeout()) * time.Millisecond
	return &http.Server{
		Handler: g.Handler(), ReadTimeout: readTimeout, ReadHeaderTimeout: readTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: int(g.settings.GetMaxHeader()),
		// The gateway logs its calls itself; net/http would only add lines about broken connections.
		ErrorLog: log.New(io.Discard, "", 0),
	}
}

// Listen opens the listener for callers, with TLS if a certificate is set. Connections above the limit wait until another
// one is closed. The error is an *Error.
func Listen(ctx context.Context, settings *mangomessage.CallerSettings) (net.Listener, error) {
	var config *tls.Config
	if settings.GetCertificateFile() != "" {
		certificate, err := tls.LoadX509KeyPair(settings.GetCertificateFile(), settings.GetKeyFile())
		if err != nil {
			return nil, &Error{Op: "Listen", Kind: KindCertificate, Err: errors.WithStack(err)}
		}
		config = &tls.Config{Certificates: []tls.Certificate{certificate}, MinVersion: tls.VersionTLS12}
	}
	listener, err := new(net.ListenConfig).Listen(ctx, "tcp", settings.GetAddress())
	if err != nil {
		return nil, &Error{Op: "Listen", Kind: KindListen, Err: errors.WithStack(err)}
	}
	if n := settings.GetMaxConnections(); n > 0 {
		listener = netutil.LimitListener(listener, int(n))
	}
	if config != nil {
		listener = tls.NewListener(listener, config)
	}
	return listener, nil
}
