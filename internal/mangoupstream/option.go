package mangoupstream

import "time"

const (
	// defaultConnectTimeout is far above a connection between data centres and far below a call's deadline.
	defaultConnectTimeout = time.Second
	// defaultMaxLine holds the hidden states of a prefill of about 700,000 positions.
	defaultMaxLine = 8 << 20
	// defaultMaxBody bounds answers of plain services and exported KV caches.
	defaultMaxBody = 64 << 20
	// maxIdleConnsPerHost is the number of idle connections kept for reports and idempotent requests.
	maxIdleConnsPerHost = 4
	// idleTimeout is shorter than the usual idle timeout of servers, so that few requests meet a closed connection.
	idleTimeout = 15 * time.Second
)

// Hooks receive events for metrics; they must not block. A nil hook is skipped.
type Hooks struct {
	// Connected reports a new stream connection and the time that it took.
	Connected func(address string, took time.Duration)
	// Dropped reports a result that matched no waiting step.
	Dropped func(address string)
	// Failed reports an error that a method returns.
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

// Option changes a client.
type Option func(*options)

// WithConnectTimeout bounds the time to connect; the default is 1 s.
func WithConnectTimeout(timeout time.Duration) Option {
	return func(o *options) { o.connectTimeout = timeout }
}

// WithMaxLine bounds a line of a stream in bytes; the default is 8 MiB.
func WithMaxLine(size int) Option {
	return func(o *options) { o.maxLine = size }
}

// WithMaxBody bounds a reply outside streams in bytes; the default is 64 MiB.
func WithMaxBody(size int64) Option {
	return func(o *options) { o.maxBody = size }
}

// WithHooks reports events for metrics.
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
