package mangocall

import (
	"context"
	"errors"
	"time"

	"mangopath.org/mangopath/internal/mangochain"
	"mangopath.org/mangopath/internal/mangoupstream"
)

// chooseRetryInterval is the pause before failed hosts are tried again, once no chain without them is left.
const chooseRetryInterval = 100 * time.Millisecond

// execution is the state of a call across its attempts. It is used by one goroutine.
type execution struct {
	driver    *Driver
	call      Call
	sink      Sink
	maxTokens int

	// tokens has the ids of the tokens already passed to the sink, in order.
	tokens       []uint32
	finishReason string
	lastTokenAt  time.Time
	// attempts counts the attempts of the call, including those that ended before a step was sent.
	attempts int
	// retries counts the failed attempts that had sent a step. chooseRetries counts the attempts that failed before that, and
	// the choices that found no chain and were repeated.
	retries       int
	chooseRetries int
	excludedHosts map[string]bool
	// crashed is set once a host crashed while running the call, until the suspicion is withdrawn. crashPosition is the highest
	// position at which a host crashed, and timeToCrash the longest time that an attempt had run by then.
	crashed       bool
	crashPosition uint32
	timeToCrash   time.Duration
	// stepSent is set before the first step of the call is sent; from then on the call may have run.
	stepSent bool
}

func newExecution(d *Driver, call Call, sink Sink) *execution {
	maxTokens := call.MaxTokens
	if maxTokens <= 0 {
		maxTokens = int(call.Profile.GetMaxTokens())
	}
	if maxTokens <= 0 {
		maxTokens = defaultMaxTokens
	}
	return &execution{driver: d, call: call, sink: sink, maxTokens: maxTokens, lastTokenAt: time.Now(), excludedHosts: map[string]bool{}}
}

// runAttempts makes attempts until the answer is complete, the context ends or no retry is left.
func (e *execution) runAttempts(ctx context.Context) error {
	for {
		if ctx.Err() != nil {
			return e.contextError(ctx)
		}
		attemptErr := e.runAttempt(ctx)
		if attemptErr == nil {
			return nil
		}
		var callErr *Error
		if errors.As(attemptErr, &callErr) {
			return callErr
		}
		if ctx.Err() != nil {
			return e.contextError(ctx)
		}
		if err := e.checkRetry(attemptErr); err != nil {
			return err
		}
	}
}

// checkRetry counts a failed attempt and excludes its failed hosts. It returns the final error if no retry is allowed.
func (e *execution) checkRetry(attemptErr error) error {
	var ae *attemptError
	if errors.As(attemptErr, &ae) {
		for _, host := range ae.failedHosts {
			e.excludedHosts[host] = true
		}
		if !ae.stepSent {
			e.chooseRetries++
			if e.chooseRetries <= e.driver.options.maxChooseRetries {
				return nil
			}
			return e.finalError(KindUpstream, attemptErr)
		}
	}
	if err := e.checkSuspect(); err != nil {
		return err
	}
	e.retries++
	if e.retries >= e.driver.options.maxAttempts || !e.driver.options.retryBudget.Take(e.call.Profile.GetName()) {
		return e.finalError(KindUpstream, attemptErr)
	}
	return nil
}

// checkSuspect returns an error if the call must not continue after a host crashed while running it. It asks the suspect
// check directly, since the daemon's snapshot includes the crash only after the next attempt would have started.
func (e *execution) checkSuspect() error {
	check := e.driver.options.suspectCheck
	if !e.crashed || check == nil {
		return nil
	}
	if err := check(e.call.Fingerprint); err != nil {
		return e.choiceError(err)
	}
	return nil
}

// choose chooses a chain without the hosts that failed. If there is none, it allows them again after a pause.
func (e *execution) choose(ctx context.Context) (Assignment, error) {
	for {
		assignment, err := e.driver.chooser.Choose(ctx, e.chainRequest(), e.call.Suspect)
		if err == nil {
			return assignment, nil
		}
		if ctx.Err() != nil {
			return Assignment{}, e.contextError(ctx)
		}
		if len(e.excludedHosts) == 0 || e.chooseRetries >= e.driver.options.maxChooseRetries {
			return Assignment{}, e.choiceError(err)
		}
		e.chooseRetries++
		e.excludedHosts = map[string]bool{}
		if err := sleep(ctx, chooseRetryInterval); err != nil {
			return Assignment{}, e.contextError(ctx)
		}
	}
}

// chainRequest describes the rest of the answer to the chooser.
func (e *execution) chainRequest() mangochain.Request {
	return mangochain.Request{
		CallID:          e.call.ID,
		Customer:        e.call.Customer,
		Fingerprint:     e.call.Fingerprint,
		Profile:         e.call.Profile,
		PrefixDigest:    e.driver.options.digestPrefix(e.call.Prompt),
		RemainingTokens: e.maxTokens - len(e.tokens),
		TimeLeft:        time.Until(e.call.Deadline),
		Exclude:         e.excludedHosts,
		Seed:            e.driver.options.seed(),
	}
}

// choiceError returns the final error for an error of the chooser or the suspect check. It keeps the kind of an *Error but,
// except for Rejected, not its outcome, since steps may have run in earlier attempts.
func (e *execution) choiceError(err error) error {
	var known *Error
	if errors.As(err, &known) {
		callErr := e.finalError(known.Kind, known.Err)
		callErr.RetryAfter = known.RetryAfter
		if known.Outcome == Rejected {
			callErr.Outcome = Rejected
		}
		return callErr
	}
	return e.finalError(KindNoUpstream, err)
}

// contextError returns the final error of a call whose context ended.
func (e *execution) contextError(ctx context.Context) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return e.finalError(KindDeadline, ctx.Err())
	}
	return e.finalError(KindCancelled, ctx.Err())
}

// finalError returns the final error whose outcome follows from whether a step was sent.
func (e *execution) finalError(kind Kind, err error) *Error {
	outcome := NotRun
	if e.stepSent {
		outcome = Unknown
	}
	return &Error{Op: "Run", Kind: kind, Outcome: outcome, Err: err}
}

func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// attemptError is the error of an attempt that may be followed by another one, which excludes the failed hosts.
type attemptError struct {
	failedHosts []string
	// stepSent says that the attempt had sent a step.
	stepSent bool
	err      error
}

func (ae *attemptError) Error() string { return ae.err.Error() }

func (ae *attemptError) Unwrap() error { return ae.err }

// upstreamErrorKind returns the kind of an error of mangoupstream, or 0 for other errors and nil.
func upstreamErrorKind(err error) mangoupstream.Kind {
	var known *mangoupstream.Error
	if errors.As(err, &known) {
		return known.Kind
	}
	return 0
}
