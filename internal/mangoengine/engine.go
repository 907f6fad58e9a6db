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
	// crashStatus is the exit status of the process after a prompt that matches Faults.CrashOnPrompt.
	crashStatus = 3
	// resumeTimeout bounds how long a call without a stream is kept, so that a new stream can resume it.
	resumeTimeout = 30 * time.Second
	// drainIdleTime is how long a stopping engine must have had no open stream before the stop completes, so that a call
	// whose connection broke can still resume.
	drainIdleTime = 300 * time.Millisecond
)

// LayerRange is the part of a model that an engine serves: the layers from From up to, but not including, To.
type LayerRange struct {
	Model Model
	From  uint32
	To    uint32
}

// hasLayers reports whether the range contains at least one layer.
func (l LayerRange) hasLayers() bool { return l.To > l.From }

// Engine is a stand-in inference engine. It is safe for concurrent use.
type Engine struct {
	mux           *http.ServeMux
	host          string
	kind          string
	totalLayers   uint32
	maxBatch      int
	stepTime      time.Duration
	prefillTime   time.Duration
	loadTime      time.Duration
	reportLag     time.Duration
	stopTimeout   time.Duration
	cacheEntries  int
	minTraceLines int
	checksFencing bool
	crash         func()

	// stepQueued signals to runBatches that the queue has steps. Its buffer holds one signal.
	stepQueued chan struct{}
	// runEnded is closed when Run returns, which ends the streams that wait for a result.
	runEnded chan struct{}

	// mu guards the fields below.
	mu                   sync.Mutex
	loaded               LayerRange
	role                 string
	calls                map[callKey]*callState
	queue                []*queuedStep
	prefixCache          *prefixCache
	cacheEvents          cacheEventLog
	trace                []*mangomessage.TraceLine
	loadSamples          []loadSample
	faults               Faults
	stopping             bool
	stopDeadline         time.Time
	acceptedOrders       map[string]*mangomessage.OrderReply
	highestFencingNumber uint64
	// loading is the pending replacement of loaded, or nil.
	loading *LayerRange
}

// Option changes an Engine under construction.
type Option func(*Engine)

// WithKind sets the kind of accelerator and engine in load reports.
func WithKind(kind string) Option { return func(e *Engine) { e.kind = kind } }

// WithTotalLayers sets the number of layers of the whole model. The engine then returns tokens if it holds the last layer
// and hidden values otherwise. Without this option it returns both.
func WithTotalLayers(layers uint32) Option { return func(e *Engine) { e.totalLayers = layers } }

// WithMaxBatch sets the maximum number of steps in a batch.
func WithMaxBatch(n int) Option { return func(e *Engine) { e.maxBatch = max(1, n) } }

// WithStepTime sets the time that a batch takes, independent of its size.
func WithStepTime(d time.Duration) Option { return func(e *Engine) { e.stepTime = d } }

// WithPrefillTime sets the time that each uncached position of a prefill adds to its batch.
func WithPrefillTime(d time.Duration) Option { return func(e *Engine) { e.prefillTime = d } }

// WithLoadTime sets the time that loading a model takes.
func WithLoadTime(d time.Duration) Option { return func(e *Engine) { e.loadTime = d } }

// WithReportLag sets how old load reports and cache events are when they are returned.
func WithReportLag(d time.Duration) Option { return func(e *Engine) { e.reportLag = d } }

// WithCacheEntries sets the capacity of the prefix cache in prompt prefixes; 0 disables it.
func WithCacheEntries(n int) Option { return func(e *Engine) { e.cacheEntries = n } }

// WithTraceLines sets how many of the latest trace lines are kept at least; 0 disables the trace.
func WithTraceLines(n int) Option { return func(e *Engine) { e.minTraceLines = n } }

// WithFencing sets whether orders with a fencing number below the highest one seen are refused.
func WithFencing(fenced bool) Option { return func(e *Engine) { e.checksFencing = fenced } }

// WithStopTimeout bounds how long a graceful stop waits for running calls.
func WithStopTimeout(d time.Duration) Option { return func(e *Engine) { e.stopTimeout = d } }

// WithCrash replaces the function that exits the process when a prompt matches Faults.CrashOnPrompt.
func WithCrash(crash func()) Option { return func(e *Engine) { e.crash = crash } }

// New returns an engine of a host that serves the layers; an empty range means that no model is loaded.
func New(host string, layers LayerRange, options ...Option) *Engine {
	e := &Engine{
		mux: http.NewServeMux(), host: host, loaded: layers, maxBatch: 16, role: "Serve", checksFencing: true,
		minTraceLines: 100000, stopTimeout: time.Minute, crash: func() { os.Exit(crashStatus) },
		stepQueued: make(chan struct{}, 1), runEnded: make(chan struct{}),
		calls: map[callKey]*callState{}, acceptedOrders: map[string]*mangomessage.OrderReply{},
	}
	for _, o := range options {
		o(e)
	}
	e.prefixCache = newPrefixCache(e.cacheEntries)
	// The reports of the first lag show the state at the start.
	e.loadSamples = []loadSample{{time.Now(), e.currentState()}}
	e.registerRoutes()
	return e
}

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) { e.mux.ServeHTTP(w, r) }

func (e *Engine) registerRoutes() {
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

// Run executes batches, loads models and samples the load until the context ends or a graceful stop is complete. It must
// be called only once.
func (e *Engine) Run(ctx context.Context) {
	defer close(e.runEnded)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var g errgroup.Group
	for _, loop := range []func(context.Context){e.runBatches, e.runLoads, e.runLoadSampling, e.awaitDrain} {
		g.Go(func() error {
			defer cancel()
			loop(ctx)
			return nil
		})
	}
	_ = g.Wait()
}

// Stop starts a graceful stop: new calls are refused, running calls may complete, then Run returns.
func (e *Engine) Stop() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.stopping {
		e.stopping, e.stopDeadline = true, time.Now().Add(e.stopTimeout)
	}
}

// awaitDrain returns when a graceful stop has started and no stream has been open for drainIdleTime, or when the deadline
// of the stop has passed.
func (e *Engine) awaitDrain(ctx context.Context) {
	idleSince := time.Now()
	runPeriodically(ctx, 20*time.Millisecond, func() bool {
		e.mu.Lock()
		defer e.mu.Unlock()
		if !e.stopping || e.countOpenStreams() > 0 {
			idleSince = time.Now()
		}
		if e.stopping && time.Now().After(e.stopDeadline) {
			return false
		}
		return time.Since(idleSince) < drainIdleTime
	})
}

// isLeaving reports whether new calls are refused because of a graceful stop or a fault. The lock must be held.
func (e *Engine) isLeaving() bool { return e.stopping || e.faults.Leaving }

// countOpenStreams counts the calls with an open stream. The lock must be held.
func (e *Engine) countOpenStreams() int {
	n := 0
	for _, c := range e.calls {
		if c.stream != nil {
			n++
		}
	}
	return n
}

// runPeriodically calls f at once and then at each interval until it returns false or the context ends.
func runPeriodically(ctx context.Context, interval time.Duration, f func() bool) {
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

// sleep waits for the duration. It returns false if the context ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
