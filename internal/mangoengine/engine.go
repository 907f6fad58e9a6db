package mangoengine

import (
	"context"
	"net/http"
	"os"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"mangopath.org/mangopath/pkg/mangomessage"
)

const (
	// crashStatus is the exit status after a poison request.
	crashStatus = 3
	// keepTime is how long the state of a call without a stream is kept for a resume.
	keepTime = 30 * time.Second
	// drainTime is how long no stream may be open before a graceful stop ends, so that a call whose connection broke
	// can still resume.
	drainTime = 300 * time.Millisecond
)

// LayerRange is a model with the range of its layers that an engine holds.
type LayerRange struct {
	Model Model
	From  uint32
	To    uint32
}

// loaded says whether any layers are held.
func (p LayerRange) loaded() bool { return p.To > p.From }

// Engine is the stand-in; it is safe for concurrent use.
type Engine struct {
	mux          *http.ServeMux
	host         string
	kind         string
	layers       uint32
	maxBatch     int
	stepTime     time.Duration
	prefillTime  time.Duration
	weightsTime  time.Duration
	lag          time.Duration
	stopTimeout  time.Duration
	cacheEntries int
	traceLines   int
	fenced       bool
	crash        func()

	// wake has room for one signal to the batching loop.
	wake chan struct{}
	// ended is closed when Run returns.
	ended chan struct{}

	mu       sync.Mutex
	placed   LayerRange
	role     string
	calls    map[callKey]*call
	queue    []*task
	cache    *cache
	events   eventLog
	trace    []*mangomessage.TraceLine
	samples  []sampledState
	faults   Faults
	stopping bool
	stopBy   time.Time
	orders   map[string]*mangomessage.OrderReply
	fence    uint64
	loading  *LayerRange
}

// Option changes an Engine under construction.
type Option func(*Engine)

// WithKind sets the kind of accelerator and engine that is reported.
func WithKind(kind string) Option { return func(e *Engine) { e.kind = kind } }

// WithTotalLayers sets the number of layers of the model; then only the last stage returns tokens and only the others hidden
// values. Without it each stage returns both.
func WithTotalLayers(layers uint32) Option { return func(e *Engine) { e.layers = layers } }

// WithMaxBatch sets the number of steps that run at once.
func WithMaxBatch(n int) Option { return func(e *Engine) { e.maxBatch = max(1, n) } }

// WithStepTime sets the time of a batch, whatever its size.
func WithStepTime(d time.Duration) Option { return func(e *Engine) { e.stepTime = d } }

// WithPrefillTime sets the time that each position of a prefill adds to its batch.
func WithPrefillTime(d time.Duration) Option { return func(e *Engine) { e.prefillTime = d } }

// WithLoadTime sets the time to load a model.
func WithLoadTime(d time.Duration) Option { return func(e *Engine) { e.weightsTime = d } }

// WithReportLag sets the age of load reports and cache events.
func WithReportLag(d time.Duration) Option { return func(e *Engine) { e.lag = d } }

// WithCacheEntries sets the number of prompt prefixes that are kept; 0 means none.
func WithCacheEntries(n int) Option { return func(e *Engine) { e.cacheEntries = n } }

// WithTraceLines sets the number of trace lines that are kept at least; 0 means no trace.
func WithTraceLines(n int) Option { return func(e *Engine) { e.traceLines = n } }

// WithFencing sets whether orders with an old fencing number are refused.
func WithFencing(fenced bool) Option { return func(e *Engine) { e.fenced = fenced } }

// WithStopTimeout bounds the time for running calls to end on a graceful stop.
func WithStopTimeout(d time.Duration) Option { return func(e *Engine) { e.stopTimeout = d } }

// WithCrash replaces the exit of the process at a poison request.
func WithCrash(crash func()) Option { return func(e *Engine) { e.crash = crash } }

// New returns an engine that holds the layers.
func New(host string, placed LayerRange, options ...Option) *Engine {
	e := &Engine{
		mux: http.NewServeMux(), host: host, placed: placed, maxBatch: 16, role: "Serve", fenced: true,
		traceLines: 100000, stopTimeout: time.Minute, crash: func() { os.Exit(crashStatus) },
		wake: make(chan struct{}, 1), ended: make(chan struct{}),
		calls: map[callKey]*call{}, orders: map[string]*mangomessage.OrderReply{},
	}
	for _, o := range options {
		o(e)
	}
	e.cache = newCache(e.cacheEntries)
	e.routes()
	return e
}

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) { e.mux.ServeHTTP(w, r) }

func (e *Engine) routes() {
	e.mux.HandleFunc("POST /v1/stream", e.serveStream)
	e.mux.HandleFunc("GET /v1/state", e.getState)
	e.mux.HandleFunc("GET /v1/events", e.getEvents)
	e.mux.HandleFunc("POST /v1/cancel", e.postCancel)
	e.mux.HandleFunc("POST /v1/export", e.postExport)
	e.mux.HandleFunc("POST /v1/import", e.postImport)
	e.mux.HandleFunc("POST /v1/orders", e.postOrder)
	e.mux.HandleFunc("GET /v1/trace", e.getTrace)
	e.mux.HandleFunc("POST /admin/faults", e.postFaults)
	e.mux.HandleFunc("POST /admin/stop", e.postStop)
}

// Run runs batches, loads and reports until the context ends or a graceful stop is complete. It is called once.
func (e *Engine) Run(ctx context.Context) {
	defer close(e.ended)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var g errgroup.Group
	for _, loop := range []func(context.Context){e.runBatches, e.runLoads, e.runReports, e.awaitDrain} {
		g.Go(func() error {
			defer cancel()
			loop(ctx)
			return nil
		})
	}
	_ = g.Wait()
}

// Stop starts a graceful stop: new calls are refused, running calls end, then Run returns.
func (e *Engine) Stop() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.stopping {
		e.stopping, e.stopBy = true, time.Now().Add(e.stopTimeout)
	}
}

// awaitDrain returns when a graceful stop was asked for and no stream has been open for the drain time, or when the time
// of the stop is over.
func (e *Engine) awaitDrain(ctx context.Context) {
	idleSince := time.Now()
	every(ctx, 20*time.Millisecond, func() bool {
		e.mu.Lock()
		defer e.mu.Unlock()
		if !e.stopping || e.streams() > 0 {
			idleSince = time.Now()
		}
		if e.stopping && time.Now().After(e.stopBy) {
			return false
		}
		return time.Since(idleSince) < drainTime
	})
}

// leaving is called with the lock held.
func (e *Engine) leaving() bool { return e.stopping || e.faults.Leaving }

// streams counts the calls with an open stream; the lock is held.
func (e *Engine) streams() int {
	n := 0
	for _, c := range e.calls {
		if c.stream != nil {
			n++
		}
	}
	return n
}

// every calls a function at an interval until it returns false or the context ends.
func every(ctx context.Context, interval time.Duration, f func() bool) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for f() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// pause waits and returns false when the context ended first.
func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
