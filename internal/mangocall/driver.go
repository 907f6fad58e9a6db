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

// Driver runs completions; it is safe for concurrent use.
type Driver struct {
	engine    mangoupstream.Engine
	chooser   Chooser
	observer  Observer
	options   options
	estimator *estimator

	cancels chan struct{}
	running sync.WaitGroup
}

// New returns a driver. Wait for its background cancellations before the process ends.
func New(engine mangoupstream.Engine, chooser Chooser, observer Observer, opts ...Option) *Driver {
	o := options{
		floor: defaultFloor, ceiling: defaultCeiling, prefillCeiling: defaultPrefillCeiling,
		openTimeout: defaultOpenTimeout, moveTime: defaultMoveTime, transferTimeout: defaultTransferTimeout,
		attempts: defaultAttempts, refusals: defaultRefusals, cancels: defaultCancels,
		seed: rand.Uint64, digest: prefixDigest,
	}
	for _, opt := range opts {
		opt(&o)
	}
	if o.budget == nil {
		o.budget = NewRetryBudget(budgetRatio, budgetStart, budgetMost)
	}
	return &Driver{
		engine: engine, chooser: chooser, observer: observer, options: o,
		estimator: newEstimator(&o), cancels: make(chan struct{}, o.cancels),
	}
}

// Wait returns when no background cancellation runs any more; each is bounded by a second.
func (d *Driver) Wait() { d.running.Wait() }

// Run runs a completion and hands its tokens to the sink. An error is an *Error, whose Outcome says whether it ran.
func (d *Driver) Run(ctx context.Context, call Call, sink Sink) (Result, error) {
	if call.Deadline.IsZero() {
		call.Deadline = time.Now().Add(profileDeadline(call.Profile))
	}
	ctx, stop := context.WithDeadline(ctx, call.Deadline)
	defer stop()
	r := newRun(d, call, sink)
	if err := r.untilDone(ctx); err != nil {
		return Result{Tokens: len(r.tokens), Attempts: r.attempts}, err
	}
	d.options.budget.AddSuccess(call.Profile.GetName())
	return Result{FinishReason: r.finish, Tokens: len(r.tokens), Attempts: r.attempts}, nil
}

func profileDeadline(p *mangomessage.Profile) time.Duration {
	if ms := p.GetDeadlineMs(); ms > 0 {
		return time.Duration(ms) * time.Millisecond
	}
	return defaultDeadline
}

// prefixDigest identifies the first 256 bytes of a prompt, which is where templates of one profile agree.
func prefixDigest(prompt string) string {
	return strconv.FormatUint(xxhash.Sum64String(prompt[:min(len(prompt), 256)]), 16)
}

// cancel frees the KV caches of an attempt in the background.
func (d *Driver) cancel(ctx context.Context, call string, attempt uint32, replicas []mangochain.Replica) {
	ctx = context.WithoutCancel(ctx)
	for _, replica := range replicas {
		select {
		case d.cancels <- struct{}{}:
		default:
			return // Engines drop the state of closed streams after a while by themselves.
		}
		d.running.Go(func() {
			defer func() { <-d.cancels }()
			ctx, stop := context.WithTimeout(ctx, cancelTimeout)
			defer stop()
			_ = d.engine.Cancel(ctx, replica.Address, &mangomessage.Cancel{Call: call, Attempt: attempt})
		})
	}
}
