package mangopeer

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcwire"

	"mangopath.org/mangopath/pkg/mangomessage"
)

const (
	// MaxMessageBytes bounds a message; a page of the book is at most 1 MiB.
	MaxMessageBytes = 4 << 20
	// DefaultMaxConnections leaves room for two connections of each of 410 daemons.
	DefaultMaxConnections = 1024

	defaultHandshakeTimeout = 3 * time.Second
	writeTimeout            = 5 * time.Second
	// idleTimeout is above the mean time between two exchanges of a pair among 410 daemons, so that their connection
	// is reused.
	idleTimeout   = 10 * time.Minute
	acceptBackoff = 50 * time.Millisecond
)

// Handler answers the calls of peers. It must not change a message once it has returned it.
type Handler interface {
	Exchange(ctx context.Context, request *mangomessage.ExchangeRequest) (*mangomessage.ExchangeReply, error)
	Fetch(ctx context.Context, request *mangomessage.FetchRequest) (*mangomessage.FetchReply, error)
	Status(ctx context.Context, request *mangomessage.StatusRequest) (*mangomessage.StatusReply, error)
	// Follow sends updates until the context of the stream ends.
	Follow(request *mangomessage.FollowRequest, stream mangomessage.DRPCPeer_FollowStream) error
}

var _ mangomessage.DRPCPeerServer = Handler(nil)

// Server accepts connections of peers and passes their calls to a Handler.
type Server struct {
	credentials      Credentials
	rpc              *drpcserver.Server
	connectionSlots  chan struct{}
	handshakeTimeout time.Duration
}

// ServerOption sets an optional property of a Server.
type ServerOption func(*Server)

// WithMaxConnections bounds the connections; further ones are closed at once.
func WithMaxConnections(n int) ServerOption {
	return func(s *Server) { s.connectionSlots = make(chan struct{}, n) }
}

// WithHandshakeTimeout bounds the authentication of a new connection.
func WithHandshakeTimeout(d time.Duration) ServerOption {
	return func(s *Server) { s.handshakeTimeout = d }
}

// NewServer returns a server that passes calls to handler.
func NewServer(handler Handler, credentials Credentials, opts ...ServerOption) (*Server, error) {
	mux := drpcmux.New()
	if err := mangomessage.DRPCRegisterPeer(mux, handler); err != nil {
		return nil, &Error{Op: "NewServer", Kind: KindInvalid, Err: err}
	}
	options := managerOptions()
	options.InactivityTimeout = idleTimeout
	s := &Server{
		credentials: credentials, connectionSlots: make(chan struct{}, DefaultMaxConnections), handshakeTimeout: defaultHandshakeTimeout,
		rpc: drpcserver.NewWithOptions(mux, drpcserver.Options{Manager: options}),
	}
	for _, o := range opts {
		o(s)
	}
	return s, nil
}

// Serve accepts connections until ctx ends, then closes all of them and returns nil. It fails when the listener is closed
// before that.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	for {
		conn, err := listener.Accept()
		switch {
		case ctx.Err() != nil:
			if err == nil {
				_ = conn.Close()
			}
			return nil
		case errors.Is(err, net.ErrClosed):
			return &Error{Op: "Serve", Kind: KindUnreachable, Err: err}
		case err != nil:
			time.Sleep(acceptBackoff)
			continue
		}
		select {
		case s.connectionSlots <- struct{}{}:
			wg.Go(func() {
				defer func() { <-s.connectionSlots }()
				s.serveConn(ctx, conn)
			})
		default:
			_ = conn.Close()
		}
	}
}

// serveConn authenticates a connection and serves its calls until the peer closes it or stays idle. Neither that nor a
// failed handshake is an error of the server.
func (s *Server) serveConn(ctx context.Context, conn net.Conn) {
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	defer func() { _ = conn.Close() }()
	if err := conn.SetDeadline(time.Now().Add(s.handshakeTimeout)); err != nil {
		return
	}
	authenticated, err := s.credentials.ServerHandshake(ctx, conn)
	if err != nil || conn.SetDeadline(time.Time{}) != nil {
		return
	}
	_ = s.rpc.ServeOne(ctx, &writeTimeoutConn{Conn: authenticated})
}

// writeTimeoutConn bounds each write, so that a peer that stops reading cannot block a goroutine for ever.
type writeTimeoutConn struct{ net.Conn }

// Write implements net.Conn.
func (c *writeTimeoutConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{Reader: drpcwire.ReaderOptions{MaximumBufferSize: MaxMessageBytes}}
}
