package mangopeer

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"storj.io/drpc/drpcconn"

	"mangopath.org/mangopath/pkg/mangomessage"
)

// DefaultCallTimeout bounds a call whose context has no earlier deadline.
const DefaultCallTimeout = 2 * time.Second

// Client calls peers and keeps one connection to each of them. Calls to the same peer run one at a time.
type Client struct {
	credentials Credentials
	timeout     time.Duration

	mu          sync.Mutex
	connections map[string]*connection
	closed      bool
}

// connection is the cached connection to one peer. lock is a channel, so that a call stops waiting for it at its deadline.
type connection struct {
	lock   chan struct{}
	conn   *drpcconn.Conn
	closed bool
}

// ClientOption sets an optional property of a Client.
type ClientOption func(*Client)

// WithCallTimeout bounds every call, with the time that it waits for earlier calls and connects.
func WithCallTimeout(d time.Duration) ClientOption { return func(c *Client) { c.timeout = d } }

// NewClient returns a client without connections.
func NewClient(credentials Credentials, opts ...ClientOption) *Client {
	c := &Client{credentials: credentials, timeout: DefaultCallTimeout, connections: map[string]*connection{}}
	for _, o := range opts {
		o(c)
	}
	return c
}

// Exchange sends control state to the peer at address and returns that of the peer.
func (c *Client) Exchange(
	ctx context.Context, address string, request *mangomessage.ExchangeRequest,
) (reply *mangomessage.ExchangeReply, err error) {
	err = c.call(ctx, "Exchange", address, func(ctx context.Context, p mangomessage.DRPCPeerClient) error {
		reply, err = p.Exchange(ctx, request)
		return err
	})
	return reply, err
}

// Fetch returns a page of the configuration book of the peer at address.
func (c *Client) Fetch(
	ctx context.Context, address string, request *mangomessage.FetchRequest,
) (reply *mangomessage.FetchReply, err error) {
	err = c.call(ctx, "Fetch", address, func(ctx context.Context, p mangomessage.DRPCPeerClient) error {
		reply, err = p.Fetch(ctx, request)
		return err
	})
	return reply, err
}

// Status returns the state of a non-idempotent call that the peer at address owns.
func (c *Client) Status(
	ctx context.Context, address string, request *mangomessage.StatusRequest,
) (reply *mangomessage.StatusReply, err error) {
	err = c.call(ctx, "Status", address, func(ctx context.Context, p mangomessage.DRPCPeerClient) error {
		reply, err = p.Status(ctx, request)
		return err
	})
	return reply, err
}

// Close waits for running calls, each bounded by its deadline, and closes all connections. Later calls fail.
func (c *Client) Close() {
	c.mu.Lock()
	c.closed = true
	connections := c.connections
	c.connections = map[string]*connection{}
	c.mu.Unlock()
	for _, cn := range connections {
		cn.lock <- struct{}{}
		cn.closeConn()
		cn.closed = true
		<-cn.lock
	}
}

func (c *Client) call(ctx context.Context, op, address string,
	f func(context.Context, mangomessage.DRPCPeerClient) error,
) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	cn, err := c.connectionTo(op, address)
	if err != nil {
		return err
	}
	select {
	case cn.lock <- struct{}{}:
		defer func() { <-cn.lock }()
	case <-ctx.Done():
		return &Error{Op: op, Kind: KindTimeout, Err: errors.WithMessage(ctx.Err(), "wait for earlier calls to "+address)}
	}
	if err := c.connect(ctx, op, address, cn); err != nil {
		return err
	}
	if err := f(ctx, mangomessage.NewDRPCPeerClient(cn.conn)); err != nil {
		return cn.callError(ctx, op, err)
	}
	return nil
}

func (c *Client) connectionTo(op, address string) (*connection, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, &Error{Op: op, Kind: KindUnreachable, Err: errors.New("client is closed")}
	}
	cn := c.connections[address]
	if cn == nil {
		cn = &connection{lock: make(chan struct{}, 1)}
		c.connections[address] = cn
	}
	return cn, nil
}

// connect opens and authenticates a connection unless there is a live one.
func (c *Client) connect(ctx context.Context, op, address string, cn *connection) error {
	if cn.closed {
		return &Error{Op: op, Kind: KindUnreachable, Err: errors.New("client is closed")}
	}
	if cn.conn != nil {
		select {
		case <-cn.conn.Closed():
			cn.closeConn()
		default:
			return nil
		}
	}
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return &Error{Op: op, Kind: KindInvalid, Err: err}
	}
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return &Error{Op: op, Kind: KindUnreachable, Err: err}
	}
	authenticated, err := c.handshake(ctx, conn, host)
	if err != nil {
		_ = conn.Close()
		return &Error{Op: op, Kind: KindUnauthenticated, Err: err}
	}
	cn.conn = drpcconn.NewWithOptions(&writeTimeoutConn{Conn: authenticated}, drpcconn.Options{Manager: managerOptions()})
	return nil
}

// handshake authenticates a new connection. When ctx ends, a deadline in the past aborts it.
func (c *Client) handshake(ctx context.Context, conn net.Conn, host string) (net.Conn, error) {
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	authenticated, err := c.credentials.ClientHandshake(ctx, conn, host)
	if err != nil {
		return nil, err
	}
	return authenticated, ctx.Err()
}

// callError classifies the error of a call and closes the connection, unless the peer answered within the deadline.
func (cn *connection) callError(ctx context.Context, op string, err error) error {
	kind := KindRemote
	select {
	case <-cn.conn.Closed():
		kind = KindUnreachable
	default:
	}
	if ctx.Err() != nil {
		kind = KindTimeout
	}
	if kind != KindRemote {
		cn.closeConn()
	}
	return &Error{Op: op, Kind: kind, Err: err}
}

// closeConn closes the connection if there is one, and ignores an error: the connection is not used again.
func (cn *connection) closeConn() {
	if cn.conn != nil {
		_ = cn.conn.Close()
		cn.conn = nil
	}
}
