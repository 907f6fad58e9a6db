package mangoupstream

import "time"

const (
	// defaultConnectTimeout is far longer than connecting to another data centre takes and far shorter than usual deadlines.
	defaultConnectTimeout = time.Second
	// defaultMaxLine is enough for the hidden states of a prefill of about 700,000 positions.
	defaultMaxLine = 8 << 20
	// defaultMaxBody bounds the answers of plain services and exported KV caches.
	defaultMaxBody = 64 << 20
	// maxReport bounds the replies of engines other than exported KV caches. A page of events is the largest of them.
	maxReport = 4 << 20
	// maxIdleConnsPerHost is the number of idle connections kept for reading states and events and for idempotent requests.
	maxIdleConnsPerHost = 4
	// idleTimeout is shorter than the usual idle timeout of servers, so that few requests get a connection that is closed.
	idleTimeout = 15 * time.Second
)

// Hooks are functions that are called on events, for metrics. They must not block, and each may be nil.
type Hooks struct {
	// Connected reports a new connection of a stream and the time that connecting took.
	Connected func(address string, took time.Duration)
	// Dropped reports a step result that did not match the pending step.
	Dropped func(address string)
	// Failed reports an error that a method of the client or of a stream returns.
	Failed func(address string, err *Error)
}

func (h Hooks) connected(address string, took time.Duration) {
	if h.Connected != nil {
		h.Connected(address, took)
	}
}

func (h Hooks) dropped(address string) {
	if h.Dropped != nil {
		h.Dropped(address)
	}
}

func (h Hooks) failed(address string, err *Error) error {
	if h.Failed != nil {
		h.Failed(address, err)
	}
	return err
}

type options struct {
	connectTimeout time.Duration
	maxLine        int
	maxBody        int64
	hooks          Hooks
}

// Option configures a client.
type Option func(*options)

// WithConnectTimeout bounds the time to connect; the default is 1 s.
func WithConnectTimeout(timeout time.Duration) Option {
	return func(o *options) { o.connectTimeout = timeout }
}

// WithMaxLine bounds the length of a line of a stream, in bytes; the default is 8 MiB.
func WithMaxLine(size int) Option {
	return func(o *options) { o.maxLine = size }
}

// WithMaxBody bounds the length of a reply outside streams, in bytes; the default is 64 MiB.
func WithMaxBody(size int64) Option {
	return func(o *options) { o.maxBody = size }
}

// WithHooks sets the functions that are called on events.
func WithHooks(hooks Hooks) Option {
	return func(o *options) { o.hooks = hooks }
}

func newOptions(opts []Option) options {
	o := options{connectTimeout: defaultConnectTimeout, maxLine: defaultMaxLine, maxBody: defaultMaxBody}
	for _, opt := range opts {
		opt(&o)
	}
	return o
}
