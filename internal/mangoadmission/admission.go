package mangoadmission

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"mangopath.org/mangopath/internal/mangocall"
	"mangopath.org/mangopath/internal/mangocontrol"
	"mangopath.org/mangopath/internal/mangocustomer"
	"mangopath.org/mangopath/internal/mangodispatch"
	"mangopath.org/mangopath/internal/mangogateway"
	"mangopath.org/mangopath/internal/mangosuspect"
	"mangopath.org/mangopath/internal/mangoupstream"
	"mangopath.org/mangopath/pkg/mangomessage"
)

const (
	defaultDeadline  = 60 * time.Second
	defaultMaxTokens = 512
)

// Control resolves names on the present control state.
type Control interface {
	Resolve(ctx context.Context, name string) (*mangomessage.Profile, error)
	Snapshot() *mangocontrol.Snapshot
}

// Queue admits calls fairly.
type Queue interface {
	Acquire(ctx context.Context, request mangocustomer.Request) (func(), error)
}

// Limiter bounds the rate of a customer across all entry hosts; the error says when to try again.
type Limiter interface {
	Allow(customer *mangomessage.Customer, now time.Time) error
}

// Suspects knows the requests that crashed upstreams.
type Suspects interface {
	Check(fingerprint string, now time.Time) mangosuspect.Verdict
	Complete(fingerprint string, now time.Time)
	// Acquire reports whether a suspect may run now; Release follows when it is true.
	Acquire(fingerprint, host string, now time.Time) bool
	Release(fingerprint, host string)
}

// Driver runs completions.
type Driver interface {
	Run(ctx context.Context, call mangocall.Call, sink mangocall.Sink) (mangocall.Result, error)
}

// Dispatcher runs calls to plain services.
type Dispatcher interface {
	Run(ctx context.Context, call mangodispatch.Call) (mangoupstream.Answer, error)
}

// Admission is the path of a request from the gateway to its driver.
type Admission struct {
	control    Control
	queue      Queue
	driver     Driver
	dispatcher Dispatcher
	limiter    Limiter
	suspects   Suspects
	logger     logrus.FieldLogger
}

var (
	_ mangogateway.Completer     = (*Admission)(nil)
	_ mangogateway.Caller        = (*Admission)(nil)
	_ mangogateway.Authenticator = (*Admission)(nil)
)

// Option changes an admission during construction.
type Option func(*Admission)

// WithLimiter sets the limits of customers.
func WithLimiter(limiter Limiter) Option { return func(a *Admission) { a.limiter = limiter } }

// WithSuspects sets the knowledge of requests that crashed upstreams.
func WithSuspects(suspects Suspects) Option { return func(a *Admission) { a.suspects = suspects } }

// WithLogger sets the logger of refusals.
func WithLogger(logger logrus.FieldLogger) Option { return func(a *Admission) { a.logger = logger } }

// New returns an admission.
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
	verdict, err := a.verdict(fingerprint)
	if err != nil {
		return mangocall.Result{}, err
	}
	call := mangocall.Call{
		ID: c.ID, Customer: c.Customer, Profile: profile, Name: c.Name, Prompt: c.Prompt, MaxTokens: maxTokens(profile, c.MaxTokens),
		Deadline: deadline(profile, c.Request), Fingerprint: fingerprint, Suspect: verdict == mangosuspect.Suspect,
	}
	release, err := a.queue.Acquire(ctx, mangocustomer.Request{
		Customer: c.Customer, Weight: customer.Weight, Profile: mangocontrol.Pool(profile),
		Class: profile.Name, Cost: float64(call.MaxTokens), Deadline: call.Deadline,
	})
	if err != nil {
		return mangocall.Result{}, err
	}
	defer release()
	result, err := a.driver.Run(ctx, call, sink)
	if err == nil && a.suspects != nil {
		a.suspects.Complete(fingerprint, time.Now())
	}
	return result, err
}

// Call implements mangogateway.Caller.
func (a *Admission) Call(ctx context.Context, c mangogateway.ServiceCall) (mangogateway.Answer, error) {
	profile, _, err := a.admit(ctx, c.Request, mangocontrol.KindService)
	if err != nil {
		return mangogateway.Answer{}, refused(c, profile, err)
	}
	fingerprint := Fingerprint(c.Request, profile)
	limit := deadline(profile, c.Request)
	suspect, err := a.settled(ctx, fingerprint, limit)
	if err != nil {
		return mangogateway.Answer{}, refused(c, profile, err)
	}
	answer, err := a.dispatcher.Run(ctx, mangodispatch.Call{
		ID: c.ID, Customer: c.Customer, Profile: profile, Deadline: limit, First: c.First,
		Fingerprint: fingerprint, Suspect: suspect,
		Request: mangoupstream.Request{
			Method: c.Method, Path: c.Path, ContentType: c.ContentType, Body: c.Body, IdempotencyKey: c.Key,
		},
	})
	if err != nil {
		return mangogateway.Answer{}, err
	}
	if suspect {
		a.suspects.Complete(fingerprint, time.Now())
	}
	return mangogateway.Answer{Status: answer.Status, ContentType: answer.ContentType, Body: answer.Body}, nil
}

// refused turns NotRun into Unknown for a non-idempotent call that was refused before its record was read, unless the
// caller states that it has not sent the key before: an earlier submission may have run.
func refused(c mangogateway.ServiceCall, profile *mangomessage.Profile, err error) error {
	var e *mangocall.Error
	if !profile.GetNonIdempotent() || c.First || !errors.As(err, &e) || e.Outcome != mangocall.NotRun {
		return err
	}
	return &mangocall.Error{Op: e.Op, Kind: e.Kind, Outcome: mangocall.Unknown, RetryAfter: e.RetryAfter, Err: e.Err}
}

// admit resolves the profile and checks that the customer may call it now.
func (a *Admission) admit(ctx context.Context, r mangogateway.Request, kind string) (*mangomessage.Profile, *mangomessage.Customer, error) {
	profile, err := a.control.Resolve(ctx, r.Name)
	if err != nil {
		return nil, nil, reject(mangocall.KindUnknownProfile, errors.Errorf("no profile or alias is named %q", r.Name))
	}
	if profile.Kind != kind {
		return nil, nil, reject(mangocall.KindInvalid, errors.Errorf("profile %q is of kind %q; this path serves kind %q", r.Name, profile.Kind, kind))
	}
	customer := a.control.Snapshot().Book.Customer(r.Customer)
	if customer == nil || !allowed(customer, r.Name, profile.Name) {
		return nil, nil, reject(mangocall.KindUnauthorised, errors.Errorf("customer %q may not call %q", r.Customer, r.Name))
	}
	if a.limiter != nil {
		err = a.limiter.Allow(customer, time.Now())
	}
	return profile, customer, err
}

// heldPause is the time between questions whether a suspect call may go on.
const heldPause = 100 * time.Millisecond

// settled reports whether a call to a plain service is a suspect. A call that is held until all reports on its crashes
// have arrived waits for them, so that it does not crash a third upstream.
func (a *Admission) settled(ctx context.Context, fingerprint string, limit time.Time) (bool, error) {
	for {
		verdict, err := a.verdict(fingerprint)
		if err != nil || verdict == mangosuspect.Clear {
			return false, err
		}
		// A name that no host has asks only whether the call is held, not whether a host is free.
		if a.suspects.Acquire(fingerprint, fingerprint, time.Now()) {
			a.suspects.Release(fingerprint, fingerprint)
			return true, nil
		}
		select {
		case <-ctx.Done():
		case <-time.After(heldPause):
		}
		if ctx.Err() != nil || !time.Now().Before(limit) {
			return false, &mangocall.Error{
				Op: "admit", Kind: mangocall.KindDeadline, Outcome: mangocall.NotRun, Err: errors.New("the call waited for reports on crashes"),
			}
		}
	}
}

// verdict refuses a request that crashed upstreams.
func (a *Admission) verdict(fingerprint string) (mangosuspect.Verdict, error) {
	if a.suspects == nil {
		return mangosuspect.Clear, nil
	}
	v := a.suspects.Check(fingerprint, time.Now())
	if v == mangosuspect.Blocked {
		a.logger.WithFields(logrus.Fields{"event": "quarantined", "fingerprint": fingerprint}).Warn("request refused")
		return v, reject(mangocall.KindQuarantine, errors.New("the request crashed upstreams"))
	}
	return v, nil
}

func reject(kind mangocall.Kind, err error) error {
	return &mangocall.Error{Op: "admit", Kind: kind, Outcome: mangocall.Rejected, Err: err}
}

func allowed(customer *mangomessage.Customer, names ...string) bool {
	return len(customer.Profiles) == 0 || slices.ContainsFunc(names, func(n string) bool { return slices.Contains(customer.Profiles, n) })
}

func maxTokens(profile *mangomessage.Profile, asked int) int {
	limit := int(profile.MaxTokens)
	if limit == 0 {
		limit = defaultMaxTokens
	}
	if asked == 0 {
		return limit
	}
	return min(asked, limit)
}

// deadline is the profile's, or the caller's own when that is earlier.
func deadline(profile *mangomessage.Profile, r mangogateway.Request) time.Time {
	within := time.Duration(profile.DeadlineMs) * time.Millisecond
	if within == 0 {
		within = defaultDeadline
	}
	if r.Within > 0 {
		within = min(within, r.Within)
	}
	return r.Arrived.Add(within)
}
