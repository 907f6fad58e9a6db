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

// Client calls peers over one cached connection each. Calls to one peer run one after the other.
type Client struct {
	security Credentials
	timeout  time.Duration

	mu     sync.Mutex
	slots  map[string]*slot
	closed bool
}

// slot holds the connection to one peer; the channel is its lock, which a call awaits no longer than its deadline.
type slot struct {
	lock   chan struct{}
	conn   *drpcconn.Conn
	closed bool
}

// ClientOption sets an optional property of a Client.
type ClientOption func(*Client)

// WithCallTimeout bounds every call.
func WithCallTimeout(d time.Duration) ClientOption { return func(c *Client) { c.timeout = d } }

// NewClient returns a client without connections.
func NewClient(security Credentials, opts ...ClientOption) *Client {
	c := &Client{security: security, timeout: DefaultCallTimeout, slots: map[string]*slot{}}
	for _, o := range opts {
		o(c)
	}
	return c
}

// Exchange swaps what both sides know with the peer at address.
func (c *Client) Exchange(
	ctx context.Context, address string, request *mangomessage.ExchangeRequest,
) (reply *mangomessage.ExchangeReply, err error) {
	err = c.call(ctx, "Exchange", address, func(ctx context.Context, p mangomessage.DRPCPeerClient) error {
		reply, err = p.Exchange(ctx, request)
		return err
	})
	return reply, err
}

// Fetch returns a page of the book of the peer at address.
func (c *Client) Fetch(
	ctx context.Context, address string, request *mangomessage.FetchRequest,
) (reply *mangomessage.FetchReply, err error) {
	err = c.call(ctx, "Fetch", address, func(ctx context.Context, p mangomessage.DRPCPeerClient) error {
		reply, err = p.Fetch(ctx, request)
		return err
	})
	return reply, err
}

// Status asks the peer at address about a non-idempotent call that it owns.
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
	slots := c.slots
	c.slots = map[string]*slot{}
	c.mu.Unlock()
	for _, s := range slots {
		s.lock <- struct{}{}
		s.drop()
		s.closed = true
		<-s.lock
	}
}

func (c *Client) call(ctx context.Context, op, address string,
	f func(context.Context, mangomessage.DRPCPeerClient) error,
) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	s, err := c.slot(op, address)
	if err != nil {
		return err
	}
	select {
	case s.lock <- struct{}{}:
		defer func() { <-s.lock }()
	case <-ctx.Done():
		return &Error{Op: op, Kind: KindTimeout, Err: errors.WithMessage(ctx.Err(), "earlier calls to "+address)}
	}
	if err := c.connect(ctx, op, address, s); err != nil {
		return err
	}
	if err := f(ctx, mangomessage.NewDRPCPeerClient(s.conn)); err != nil {
		return s.failed(ctx, op, err)
	}
	return nil
}

func (c *Client) slot(op, address string) (*slot, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, &Error{Op: op, Kind: KindUnreachable, Err: errors.New("client is closed")}
	}
	s := c.slots[address]
	if s == nil {
		s = &slot{lock: make(chan struct{}, 1)}
		c.slots[address] = s
	}
	return s, nil
}

// connect makes a connection unless the slot has a live one.
func (c *Client) connect(ctx context.Context, op, address string, s *slot) error {
	if s.closed {
		return &Error{Op: op, Kind: KindUnreachable, Err: errors.New("client is closed")}
	}
	if s.conn != nil {
		select {
		case <-s.conn.Closed():
			s.drop()
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
	proved, err := c.prove(ctx, conn, host)
	if err != nil {
		_ = conn.Close()
		return &Error{Op: op, Kind: KindUnauthenticated, Err: err}
	}
	s.conn = drpcconn.NewWithOptions(&boundedConn{Conn: proved}, drpcconn.Options{Manager: managerOptions()})
	return nil
}

func (c *Client) prove(ctx context.Context, conn net.Conn, host string) (net.Conn, error) {
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	proved, err := c.security.ClientHandshake(ctx, conn, host)
	if err != nil {
		return nil, err
	}
	return proved, ctx.Err()
}

// failed closes the connection unless the peer answered within the deadline, and classifies the error.
func (s *slot) failed(ctx context.Context, op string, err error) error {
	kind := KindRemote
	select {
	case <-s.conn.Closed():
		kind = KindUnreachable
	default:
	}
	if ctx.Err() != nil {
		kind = KindTimeout
	}
	if kind != KindRemote {
		s.drop()
	}
	return &Error{Op: op, Kind: kind, Err: err}
}

// drop closes the connection; an error of closing leaves nothing to do.
func (s *slot) drop() {
	if s.conn != nil {
		_ = s.conn.Close()
		s.conn = nil
	}
}
