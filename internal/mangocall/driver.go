package mangocall

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"mangopath.org/mangopath/internal/mangochain"
	"mangopath.org/mangopath/internal/mangoupstream"
	"mangopath.org/mangopath/pkg/mangomessage"
)

// Driver runs completion calls. It is safe for concurrent use.
type Driver struct {
	engine    mangoupstream.Engine
	chooser   Chooser
	observer  Observer
	options   options
	estimator *timeoutEstimator

	// cancelSlots limits the cancellations that run in the background.
	cancelSlots    chan struct{}
	cancelsRunning sync.WaitGroup
}

// New returns a driver. Call Wait before the process ends.
func New(engine mangoupstream.Engine, chooser Chooser, observer Observer, opts ...Option) *Driver {
	o := options{
		minTimeout: defaultMinTimeout, maxTimeout: defaultMaxTimeout, maxPrefillTimeout: defaultMaxPrefillTimeout,
		openTimeout: defaultOpenTimeout, moveAfter: defaultMoveAfter, transferTimeout: defaultTransferTimeout,
		maxAttempts: defaultMaxAttempts, maxChooseRetries: defaultMaxChooseRetries, maxCancels: defaultMaxCancels,
		seed: rand.Uint64, digestPrefix: prefixDigest,
	}
	for _, opt := range opts {
		opt(&o)
	}
	if o.retryBudget == nil {
		o.retryBudget = NewRetryBudget(defaultRetriesPerSuccess, defaultInitialRetryBudget, defaultMaxRetryBudget)
	}
	return &Driver{
		engine: engine, chooser: chooser, observer: observer, options: o,
		estimator: newTimeoutEstimator(&o), cancelSlots: make(chan struct{}, o.maxCancels),
	}
}

// Wait waits for the cancellations that run in the background; each takes at most cancelTimeout, which is 1 s.
func (d *Driver) Wait() { d.cancelsRunning.Wait() }

// Run runs a call and passes its tokens to the sink. An error is an *Error, whose Outcome says whether the call may have
// run.
func (d *Driver) Run(ctx context.Context, call Call, sink Sink) (Result, error) {
	if call.Deadline.IsZero() {
		call.Deadline = time.Now().Add(profileDeadline(call.Profile))
	}
	ctx, stop := context.WithDeadline(ctx, call.Deadline)
	defer stop()
	e := newExecution(d, call, sink)
	if err := e.runAttempts(ctx); err != nil {
		return Result{Tokens: len(e.tokens), Attempts: e.attempts}, err
	}
	d.options.retryBudget.AddSuccess(call.Profile.GetName())
	return Result{FinishReason: e.finishReason, Tokens: len(e.tokens), Attempts: e.attempts}, nil
}

func profileDeadline(p *mangomessage.Profile) time.Duration {
	if ms := p.GetDeadlineMs(); ms > 0 {
		return time.Duration(ms) * time.Millisecond
	}
	return defaultDeadline
}

// prefixDigest returns a hash of the first 256 bytes of a prompt, in which prompts from one template are equal.
func prefixDigest(prompt string) string {
	return strconv.FormatUint(xxhash.Sum64String(prompt[:min(len(prompt), 256)]), 16)
}

// freeCaches cancels an attempt on its replicas in the background, which frees its KV caches there.
func (d *Driver) freeCaches(ctx context.Context, call string, attempt uint32, replicas []mangochain.Replica) {
	ctx = context.WithoutCancel(ctx)
	for _, replica := range replicas {
		select {
		case d.cancelSlots <- struct{}{}:
		default:
			return // engines free the KV caches of closed streams by themselves after a while
		}
		d.cancelsRunning.Go(func() {
			defer func() { <-d.cancelSlots }()
			ctx, stop := context.WithTimeout(ctx, cancelTimeout)
			defer stop()
			_ = d.engine.Cancel(ctx, replica.Address, &mangomessage.Cancel{Call: call, Attempt: attempt})
		})
	}
}
