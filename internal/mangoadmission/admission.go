package mangoadmission

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"mangopath.org/mangopath/internal/mangocall"
	"mangopath.org/mangopath/internal/mangocontrol"
	"mangopath.org/mangopath/internal/mangocrash"
	"mangopath.org/mangopath/internal/mangocustomer"
	"mangopath.org/mangopath/internal/mangodispatch"
	"mangopath.org/mangopath/internal/mangogateway"
	"mangopath.org/mangopath/internal/mangoupstream"
	"mangopath.org/mangopath/pkg/mangomessage"
)

const (
	defaultDeadline  = 60 * time.Second
	defaultMaxTokens = 512
)

// Control resolves the names of profiles and aliases against the present control state.
type Control interface {
	Resolve(ctx context.Context, name string) (*mangomessage.Profile, error)
	Snapshot() *mangocontrol.Snapshot
}

// Queue admits calls when there is capacity for them, fairly by customer. The returned function ends the call.
type Queue interface {
	Acquire(ctx context.Context, request mangocustomer.Request) (func(), error)
}

// Limiter limits the rate of a customer's calls across all entry hosts; the error says when to try again.
type Limiter interface {
	Allow(customer *mangomessage.Customer, now time.Time) error
}

// CrashTracker identifies requests that crash upstreams by their fingerprints.
type CrashTracker interface {
	// Check returns whether the request may run anywhere, may run only apart from other suspects, or must not run.
	Check(fingerprint string, now time.Time) mangocrash.Verdict
	// Complete clears a request that ran to its end.
	Complete(fingerprint string, now time.Time)
	// Acquire reports whether a suspect may run on a host now; if it may, Release must follow.
	Acquire(fingerprint, host string, now time.Time) bool
	Release(fingerprint, host string)
}

// Driver runs a completion on its upstreams and passes the tokens to the sink.
type Driver interface {
	Run(ctx context.Context, call mangocall.Call, sink mangocall.Sink) (mangocall.Result, error)
}

// Dispatcher sends a call to a replica of a plain service and returns its answer.
type Dispatcher interface {
	Run(ctx context.Context, call mangodispatch.Call) (mangoupstream.Answer, error)
}

// Admission checks requests from the gateway and passes admitted ones on to the driver or the dispatcher.
type Admission struct {
	control      Control
	queue        Queue
	driver       Driver
	dispatcher   Dispatcher
	limiter      Limiter
	crashTracker CrashTracker
	logger       logrus.FieldLogger
}

var (
	_ mangogateway.Completer     = (*Admission)(nil)
	_ mangogateway.ServiceCaller = (*Admission)(nil)
	_ mangogateway.Authenticator = (*Admission)(nil)
)

// Option configures an Admission.
type Option func(*Admission)

// WithLimiter sets the rate limits of customers; by default there are none.
func WithLimiter(limiter Limiter) Option { return func(a *Admission) { a.limiter = limiter } }

// WithCrashTracker sets the detection of requests that crash upstreams; by default none is refused.
func WithCrashTracker(crashTracker CrashTracker) Option {
	return func(a *Admission) { a.crashTracker = crashTracker }
}

// WithLogger sets the logger for refused requests.
func WithLogger(logger logrus.FieldLogger) Option { return func(a *Admission) { a.logger = logger } }

// New returns an Admission without rate limits and crash detection.
func New(control Control, queue Queue, driver Driver, dispatcher Dispatcher, opts ...Option) *Admission {
	a := &Admission{control: control, queue: queue, driver: driver, dispatcher: dispatcher, logger: logrus.StandardLogger()}
	for _, o := range opts {
		o(a)
	}
	return a
}

// Complete implements mangogateway.Completer.
func (a *Admission) Complete(ctx context.Context, c mangogateway.Completion, sink mangocall.Sink) (mangocall.Result, error) {
	profile, customer, err := a.admit(ctx, c.Request, mangocontrol.KindCompletion)
	if err != nil {
		return mangocall.Result{}, err
	}
	fingerprint := Fingerprint(c.Request, profile)
	verdict, err := a.checkQuarantine(fingerprint)
	if err != nil {
		return mangocall.Result{}, err
	}
	call := mangocall.Call{
		ID: c.ID, Customer: c.Customer, Profile: profile, Name: c.RequestedProfile, Prompt: c.Prompt, MaxTokens: maxTokens(profile, c.MaxTokens),
		Deadline: deadlineOf(profile, c.Request), Fingerprint: fingerprint, Suspect: verdict == mangocrash.Suspect,
	}
	release, err := a.queue.Acquire(ctx, mangocustomer.Request{
		Customer: c.Customer, Weight: customer.Weight, Pool: mangocontrol.PoolName(profile),
		Class: profile.Name, Cost: float64(call.MaxTokens), Deadline: call.Deadline,
	})
	if err != nil {
		return mangocall.Result{}, err
	}
	defer release()
	result, err := a.driver.Run(ctx, call, sink)
	if err == nil && a.crashTracker != nil {
		a.crashTracker.Complete(fingerprint, time.Now())
	}
	return result, err
}

// Call implements mangogateway.ServiceCaller.
func (a *Admission) Call(ctx context.Context, c mangogateway.ServiceCall) (mangogateway.Answer, error) {
	profile, _, err := a.admit(ctx, c.Request, mangocontrol.KindService)
	if err != nil {
		return mangogateway.Answer{}, unknownIfSentBefore(c, profile, err)
	}
	fingerprint := Fingerprint(c.Request, profile)
	deadline := deadlineOf(profile, c.Request)
	suspect, err := a.awaitVerdict(ctx, fingerprint, deadline)
	if err != nil {
		return mangogateway.Answer{}, unknownIfSentBefore(c, profile, err)
	}
	answer, err := a.dispatcher.Run(ctx, mangodispatch.Call{
		ID: c.ID, Customer: c.Customer, Profile: profile, Deadline: deadline, FirstSubmission: c.FirstSubmission,
		Fingerprint: fingerprint, Suspect: suspect,
		Request: mangoupstream.Request{
			Method: c.Method, Path: c.Path, ContentType: c.ContentType, Body: c.Body, IdempotencyKey: c.IdempotencyKey,
		},
	})
	if err != nil {
		return mangogateway.Answer{}, err
	}
	if suspect {
		a.crashTracker.Complete(fingerprint, time.Now())
	}
	return mangogateway.Answer{Status: answer.Status, ContentType: answer.ContentType, Body: answer.Body}, nil
}

// unknownIfSentBefore changes the outcome NotRun of a refused non-idempotent call to Unknown, unless the caller states that
// it has not sent the idempotency key before. The record of the key has not been read yet, so an earlier submission may have
// run.
func unknownIfSentBefore(c mangogateway.ServiceCall, profile *mangomessage.Profile, err error) error {
	var e *mangocall.Error
	if !profile.GetNonIdempotent() || c.FirstSubmission || !errors.As(err, &e) || e.Outcome != mangocall.NotRun {
		return err
	}
	return &mangocall.Error{Op: e.Op, Kind: e.Kind, Outcome: mangocall.Unknown, RetryAfter: e.RetryAfter, Err: e.Err}
}

// admit resolves the profile and checks that the customer may call it and is within its rate limit.
func (a *Admission) admit(ctx context.Context, r mangogateway.Request, kind string) (*mangomessage.Profile, *mangomessage.Customer, error) {
	profile, err := a.control.Resolve(ctx, r.RequestedProfile)
	if err != nil {
		return nil, nil, reject(mangocall.KindUnknownProfile, errors.Errorf("no profile or alias is named %q", r.RequestedProfile))
	}
	if profile.Kind != kind {
		return nil, nil, reject(mangocall.KindInvalid, errors.Errorf("profile %q is of kind %q; this path serves kind %q", r.RequestedProfile, profile.Kind, kind))
	}
	customer := a.control.Snapshot().Book.Customer(r.Customer)
	if customer == nil || !mayCall(customer, r.RequestedProfile, profile.Name) {
		return nil, nil, reject(mangocall.KindUnauthorised, errors.Errorf("customer %q may not call %q", r.Customer, r.RequestedProfile))
	}
	if a.limiter != nil {
		err = a.limiter.Allow(customer, time.Now())
	}
	return profile, customer, err
}

// heldPollInterval is the time between two checks whether a held call may run.
const heldPollInterval = 100 * time.Millisecond

// awaitVerdict reports whether a call to a plain service is a suspect, or an error if it must not run. A call that was in
// several crashes waits until the reports of all daemons on them have arrived, so that it does not crash a third upstream.
func (a *Admission) awaitVerdict(ctx context.Context, fingerprint string, deadline time.Time) (bool, error) {
	for {
		verdict, err := a.checkQuarantine(fingerprint)
		if err != nil || verdict == mangocrash.Clear {
			return false, err
		}
		// The fingerprint is passed as a host name that no host has, to learn only whether the call is held and not whether
		// a certain host is free.
		if a.crashTracker.Acquire(fingerprint, fingerprint, time.Now()) {
			a.crashTracker.Release(fingerprint, fingerprint)
			return true, nil
		}
		select {
		case <-ctx.Done():
		case <-time.After(heldPollInterval):
		}
		if ctx.Err() != nil || !time.Now().Before(deadline) {
			return false, &mangocall.Error{
				Op: "admit", Kind: mangocall.KindDeadline, Outcome: mangocall.NotRun, Err: errors.New("cancelled or timed out while waiting for crash reports of other daemons"),
			}
		}
	}
}

// checkQuarantine returns the verdict on a request, or an error if it must not run because it crashed upstreams.
func (a *Admission) checkQuarantine(fingerprint string) (mangocrash.Verdict, error) {
	if a.crashTracker == nil {
		return mangocrash.Clear, nil
	}
	verdict := a.crashTracker.Check(fingerprint, time.Now())
	if verdict == mangocrash.Blocked {
		a.logger.WithFields(logrus.Fields{"event": "quarantined", "fingerprint": fingerprint}).Warn("request refused because it crashed upstreams")
		return verdict, reject(mangocall.KindQuarantine, errors.New("the request crashed upstreams"))
	}
	return verdict, nil
}

// reject returns an error with the outcome Rejected: the request is invalid or must not be tried again.
func reject(kind mangocall.Kind, err error) error {
	return &mangocall.Error{Op: "admit", Kind: kind, Outcome: mangocall.Rejected, Err: err}
}

// mayCall reports whether a customer may call a profile by any of its names; a customer without a list may call all.
func mayCall(customer *mangomessage.Customer, names ...string) bool {
	return len(customer.Profiles) == 0 || slices.ContainsFunc(names, func(n string) bool { return slices.Contains(customer.Profiles, n) })
}

// maxTokens returns the number of tokens that the caller requested, bounded by the limit of the profile.
func maxTokens(profile *mangomessage.Profile, requested int) int {
	limit := int(profile.MaxTokens)
	if limit == 0 {
		limit = defaultMaxTokens
	}
	if requested == 0 {
		return limit
	}
	return min(requested, limit)
}

// deadlineOf returns the deadline of a request: that of the profile, or the caller's own if it is earlier.
func deadlineOf(profile *mangomessage.Profile, r mangogateway.Request) time.Time {
	timeout := time.Duration(profile.DeadlineMs) * time.Millisecond
	if timeout == 0 {
		timeout = defaultDeadline
	}
	if r.CallerTimeout > 0 {
		timeout = min(timeout, r.CallerTimeout)
	}
	return r.ArrivedAt.Add(timeout)
}
