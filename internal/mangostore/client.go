package mangostore

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"mangopath.org/mangopath/pkg/mangomessage"
)

// Defaults of the client and bounds on what it reads.
const (
	DefaultTimeout   = 2 * time.Second
	DefaultWatchWait = 20 * time.Second
	maxItemBytes     = 2 << 20
	maxListBytes     = 64 << 20
	maxErrorBytes    = 4 << 10
	idleTimeout      = 30 * time.Second
	maxConnections   = 32
)

// Client speaks the HTTP protocol of the platform's key-value service and host list.
type Client struct {
	base      string
	token     string
	timeout   time.Duration
	watchWait time.Duration
	transport http.RoundTripper
}

var (
	_ ConditionalStore    = (*Client)(nil)
	_ HostLister = (*Client)(nil)
)

// Option sets an optional property of a Client.
type Option func(*Client)

// WithToken sends a bearer token with every call.
func WithToken(token string) Option { return func(c *Client) { c.token = token } }

// WithTimeout bounds every call but Watch.
func WithTimeout(d time.Duration) Option { return func(c *Client) { c.timeout = d } }

// WithWatchWait sets how long the service may hold a watch.
func WithWatchWait(d time.Duration) Option { return func(c *Client) { c.watchWait = d } }

// WithTransport replaces the transport. A write that fails on a connection which is not made by the default transport
// is never classified as unsent.
func WithTransport(t http.RoundTripper) Option { return func(c *Client) { c.transport = t } }

// New returns a client of the service at address, a host and port or a URL.
func New(address string, opts ...Option) *Client {
	c := &Client{base: baseURL(address), timeout: DefaultTimeout, watchWait: DefaultWatchWait}
	for _, o := range opts {
		o(c)
	}
	if c.transport == nil {
		c.transport = newTransport()
	}
	return c
}

// Close closes idle connections.
func (c *Client) Close() {
	(&http.Client{Transport: c.transport}).CloseIdleConnections()
}

// Get implements Store.
func (c *Client) Get(ctx context.Context, key string) (Item, error) {
	var m mangomessage.Item
	_, err := c.read(ctx, "Get", "/v1/keys?"+url.Values{"Key": {key}}.Encode(), c.timeout, maxItemBytes, &m)
	return fromMessage(key, &m), err
}

// GetAfter implements Backend.
func (c *Client) GetAfter(ctx context.Context, key string, after uint64) (Item, bool, error) {
	var m mangomessage.Item
	query := url.Values{"Key": {key}, "After": {strconv.FormatUint(after, 10)}}
	found, err := c.read(ctx, "GetAfter", "/v1/keys?"+query.Encode(), c.timeout, maxItemBytes, &m)
	return fromMessage(key, &m), found, err
}

// List implements Store.
func (c *Client) List(ctx context.Context, prefix string) ([]Item, error) {
	var m mangomessage.Items
	path := "/v1/list?" + url.Values{"Prefix": {prefix}}.Encode()
	if _, err := c.read(ctx, "List", path, c.timeout, maxListBytes, &m); err != nil {
		return nil, err
	}
	items := make([]Item, len(m.GetItems()))
	for i, it := range m.GetItems() {
		items[i] = fromMessage(it.GetKey(), it)
	}
	return items, nil
}

// Put implements Store.
func (c *Client) Put(ctx context.Context, item Item) (uint64, error) {
	in := &mangomessage.PutRequest{
		Key: item.Key, Value: item.Value, ExpectedVersion: item.Version, LeaseId: item.LeaseID,
	}
	var out mangomessage.PutReply
	if err := c.write(ctx, "Put", "/v1/put", in, &out); err != nil {
		return 0, err
	}
	if !out.GetWritten() {
		return out.GetVersion(), conflict("Put", item.Key, item.Version, out.GetVersion())
	}
	return out.GetVersion(), nil
}

// Delete implements Store.
func (c *Client) Delete(ctx context.Context, key string, version uint64) error {
	in := &mangomessage.DeleteRequest{Key: key, ExpectedVersion: version}
	var out mangomessage.PutReply
	if err := c.write(ctx, "Delete", "/v1/delete", in, &out); err != nil {
		return err
	}
	if !out.GetWritten() {
		return conflict("Delete", key, version, out.GetVersion())
	}
	return nil
}

// Grant implements Store.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (uint64, error) {
	var out mangomessage.LeaseReply
	in := &mangomessage.LeaseRequest{TtlMs: ttl.Milliseconds()}
	if err := c.write(ctx, "Grant", "/v1/leases/grant", in, &out); err != nil {
		return 0, err
	}
	return out.GetLeaseId(), nil
}

// Renew implements Store.
func (c *Client) Renew(ctx context.Context, lease uint64) error {
	var out mangomessage.LeaseReply
	if err := c.write(ctx, "Renew", "/v1/leases/renew", &mangomessage.LeaseRequest{LeaseId: lease}, &out); err != nil {
		return err
	}
	if !out.GetLive() {
		return &Error{Op: "Renew", Kind: KindLeaseLost, Err: errors.Errorf("lease %d had ended", lease)}
	}
	return nil
}

// Revoke implements Store; a lease that had ended is no error.
func (c *Client) Revoke(ctx context.Context, lease uint64) error {
	var out mangomessage.LeaseReply
	return c.write(ctx, "Revoke", "/v1/leases/revoke", &mangomessage.LeaseRequest{LeaseId: lease}, &out)
}

// Watch implements Store; when the wait ends the item has version after and no value.
func (c *Client) Watch(ctx context.Context, key string, after uint64) (Item, error) {
	var m mangomessage.Item
	query := url.Values{
		"Key":    {key},
		"After":  {strconv.FormatUint(after, 10)},
		"WaitMs": {strconv.FormatInt(c.watchWait.Milliseconds(), 10)},
	}
	found, err := c.read(ctx, "Watch", "/v1/watch?"+query.Encode(), c.watchWait+c.timeout, maxItemBytes, &m)
	if err == nil && !found {
		return Item{Key: key, Version: after}, nil
	}
	return fromMessage(key, &m), err
}

// Hosts implements HostLister.
func (c *Client) Hosts(ctx context.Context) (*mangomessage.HostList, error) {
	list := &mangomessage.HostList{}
	if _, err := c.read(ctx, "Hosts", "/v1/hosts", c.timeout, maxListBytes, list); err != nil {
		return nil, err
	}
	return list, nil
}

func fromMessage(key string, m *mangomessage.Item) Item {
	return Item{Key: key, Value: m.GetValue(), Version: m.GetVersion(), LeaseID: m.GetLeaseId()}
}

func conflict(op, key string, expected, present uint64) error {
	return &Error{Op: op, Kind: KindConflict, Err: errors.Errorf("key %q is at version %d, expected %d", key, present, expected)}
}
