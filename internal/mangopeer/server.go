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

	handshakeTimeout = 3 * time.Second
	writeTimeout     = 5 * time.Second
	// idleTimeout is above the mean time between two exchanges of a pair among 410 daemons, so that their connection
	// is used again.
	idleTimeout   = 10 * time.Minute
	acceptBackoff = 50 * time.Millisecond
)

// Handler answers the calls of peers. Messages belong to the caller once returned.
type Handler interface {
	Exchange(ctx context.Context, request *mangomessage.ExchangeRequest) (*mangomessage.ExchangeReply, error)
	Fetch(ctx context.Context, request *mangomessage.FetchRequest) (*mangomessage.FetchReply, error)
	Status(ctx context.Context, request *mangomessage.StatusRequest) (*mangomessage.StatusReply, error)
}

var _ mangomessage.DRPCPeerServer = Handler(nil)

// Server accepts connections of peers.
type Server struct {
	security  Credentials
	rpc       *drpcserver.Server
	slots     chan struct{}
	handshake time.Duration
}

// ServerOption sets an optional property of a Server.
type ServerOption func(*Server)

// WithMaxConnections bounds the connections; further ones are closed at once.
func WithMaxConnections(n int) ServerOption {
	return func(s *Server) { s.slots = make(chan struct{}, n) }
}

// WithHandshakeTimeout bounds the proof at the start of a connection.
func WithHandshakeTimeout(d time.Duration) ServerOption {
	return func(s *Server) { s.handshake = d }
}

// NewServer returns a server that passes calls to handler.
func NewServer(handler Handler, security Credentials, opts ...ServerOption) (*Server, error) {
	mux := drpcmux.New()
	if err := mangomessage.DRPCRegisterPeer(mux, handler); err != nil {
		return nil, &Error{Op: "NewServer", Kind: KindInvalid, Err: err}
	}
	options := managerOptions()
	options.InactivityTimeout = idleTimeout
	s := &Server{
		security: security, slots: make(chan struct{}, DefaultMaxConnections), handshake: handshakeTimeout,
		rpc: drpcserver.NewWithOptions(mux, drpcserver.Options{Manager: options}),
	}
	for _, o := range opts {
		o(s)
	}
	return s, nil
}

// Serve accepts connections until ctx ends, then closes all of them and returns nil.
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
		case s.slots <- struct{}{}:
			wg.Go(func() {
				defer func() { <-s.slots }()
				s.serveOne(ctx, conn)
			})
		default:
			_ = conn.Close()
		}
	}
}

// serveOne ends when the peer closes the connection, fails the proof or stays idle; none of these is an error here.
func (s *Server) serveOne(ctx context.Context, conn net.Conn) {
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	defer func() { _ = conn.Close() }()
	if err := conn.SetDeadline(time.Now().Add(s.handshake)); err != nil {
		return
	}
	proved, err := s.security.ServerHandshake(ctx, conn)
	if err != nil || conn.SetDeadline(time.Time{}) != nil {
		return
	}
	_ = s.rpc.ServeOne(ctx, &boundedConn{Conn: proved})
}

// boundedConn bounds each write, since a peer that stops reading must not hold a goroutine for ever.
type boundedConn struct{ net.Conn }

// Write implements net.Conn.
func (c *boundedConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{Reader: drpcwire.ReaderOptions{MaximumBufferSize: MaxMessageBytes}}
}
