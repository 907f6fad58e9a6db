package mangocall

import (
	"context"
	"errors"
	"time"

	"mangopath.org/mangopath/internal/mangochain"
	"mangopath.org/mangopath/internal/mangoupstream"
)

// retryPause separates choices after all usable replicas have failed.
const retryPause = 100 * time.Millisecond

// run is the state of a call across its attempts. One goroutine uses it.
type run struct {
	driver *Driver
	call   Call
	sink   Sink
	most   int

	// tokens are the numbers of those already sent, in order.
	tokens   []uint32
	finish   string
	last     time.Time
	attempts int
	// retries are attempts that followed one with a step; refusals are choices after one without.
	retries  int
	refusals int
	exclude  map[string]bool
	// crashed is set once a host crashed with the call aboard; crashedAt is the last position at which one did, and
	// crashedAfter the longest time that an attempt had run by then.
	crashed      bool
	crashedAt    uint32
	crashedAfter time.Duration
	// stepped is set once a step may have left for an engine.
	stepped bool
}

func newRun(d *Driver, call Call, sink Sink) *run {
	most := call.MaxTokens
	if most <= 0 {
		most = int(call.Profile.GetMaxTokens())
	}
	if most <= 0 {
		most = defaultMaxTokens
	}
	return &run{driver: d, call: call, sink: sink, most: most, last: time.Now(), exclude: map[string]bool{}}
}

// untilDone makes attempts until the answer is complete or the bounds are used up.
func (r *run) untilDone(ctx context.Context) error {
	for {
		if ctx.Err() != nil {
			return r.stopped(ctx)
		}
		failed := r.attemptOnce(ctx)
		if failed == nil {
			return nil
		}
		var final *Error
		if errors.As(failed, &final) {
			return final
		}
		if ctx.Err() != nil {
			return r.stopped(ctx)
		}
		if err := r.mayRetry(failed); err != nil {
			return err
		}
	}
}

// mayRetry charges an attempt that failed to the bounds and returns the final error when they are used up.
func (r *run) mayRetry(failed error) error {
	var f *failure
	if errors.As(failed, &f) {
		for _, host := range f.hosts {
			r.exclude[host] = true
		}
		if !f.stepped {
			r.refusals++
			if r.refusals <= r.driver.options.refusals {
				return nil
			}
			return r.fail(KindUpstream, failed)
		}
	}
	if err := r.checkSuspect(); err != nil {
		return err
	}
	r.retries++
	if r.retries >= r.driver.options.attempts || !r.driver.options.budget.Take(r.call.Profile.GetName()) {
		return r.fail(KindUpstream, failed)
	}
	return nil
}

// checkSuspect asks whether the call may go on after a host crashed with it aboard. Reports of crashes reach the
// daemon's snapshot later than the next attempt starts.
func (r *run) checkSuspect() error {
	check := r.driver.options.check
	if !r.crashed || check == nil {
		return nil
	}
	if err := check(r.call.Fingerprint); err != nil {
		return r.unchosen(err)
	}
	return nil
}

// choose asks for a chain without the hosts that failed. When none is left, it tries them again after a pause.
func (r *run) choose(ctx context.Context) (Assignment, error) {
	for {
		assignment, err := r.driver.chooser.Choose(ctx, r.request(), r.call.Suspect)
		if err == nil {
			return assignment, nil
		}
		if ctx.Err() != nil {
			return Assignment{}, r.stopped(ctx)
		}
		if len(r.exclude) == 0 || r.refusals >= r.driver.options.refusals {
			return Assignment{}, r.unchosen(err)
		}
		r.refusals++
		r.exclude = map[string]bool{}
		if err := pause(ctx, retryPause); err != nil {
			return Assignment{}, r.stopped(ctx)
		}
	}
}

func (r *run) request() mangochain.Request {
	return mangochain.Request{
		CallID:         r.call.ID,
		Customer:     r.call.Customer,
		Fingerprint:  r.call.Fingerprint,
		Profile:      r.call.Profile,
		PrefixDigest: r.driver.options.digest(r.call.Prompt),
		RemainingTokens:       r.most - len(r.tokens),
		TimeLeft:     time.Until(r.call.Deadline),
		Exclude:      r.exclude,
		Seed:         r.driver.options.seed(),
	}
}

// unchosen keeps a chooser's own kind but not its outcome, since steps may have run in earlier attempts.
func (r *run) unchosen(err error) error {
	var known *Error
	if errors.As(err, &known) {
		final := r.fail(known.Kind, known.Err)
		final.RetryAfter = known.RetryAfter
		if known.Outcome == Rejected {
			final.Outcome = Rejected
		}
		return final
	}
	return r.fail(KindNoUpstream, err)
}

// stopped is the error of a call whose context ended.
func (r *run) stopped(ctx context.Context) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return r.fail(KindDeadline, ctx.Err())
	}
	return r.fail(KindCancelled, ctx.Err())
}

func (r *run) fail(kind Kind, err error) *Error {
	outcome := NotRun
	if r.stepped {
		outcome = Unknown
	}
	return &Error{Op: "Run", Kind: kind, Outcome: outcome, Err: err}
}

func pause(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// failure ends an attempt; the call goes on with another that excludes the hosts.
type failure struct {
	hosts []string
	// stepped is set when the attempt had sent a step.
	stepped bool
	err     error
}

func (f *failure) Error() string { return f.err.Error() }

func (f *failure) Unwrap() error { return f.err }

func upstreamKind(err error) mangoupstream.Kind {
	var known *mangoupstream.Error
	if errors.As(err, &known) {
		return known.Kind
	}
	return 0
}
