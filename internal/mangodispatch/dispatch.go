package mangodispatch

import (
	"context"
	"time"

	"mangopath.org/mangopath/internal/mangocall"
	"mangopath.org/mangopath/internal/mangoledger"
	"mangopath.org/mangopath/internal/mangoupstream"
	"mangopath.org/mangopath/pkg/mangomessage"
)

// Call is a request to a plain service that passed authentication, limits and admission.
type Call struct {
	ID       string
	Customer string
	Profile  *mangomessage.Profile
	Request  mangoupstream.Request
	// Deadline is the time by which the answer must be there; zero means the profile's own.
	Deadline time.Time
	// First states that the caller has not sent the idempotency key before.
	FirstSubmission bool
	// Fingerprint identifies the request to the crash observer.
	Fingerprint string
	// Suspect requests were aboard a crash before.
	Suspect bool
	// Exclude names hosts that must not be used.
	Exclude map[string]bool
}

// Ledger is the at-most-once record keeper that dispatchers use.
type Ledger interface {
	Begin(ctx context.Context, customer, key, digest string) (*mangoledger.Ticket, error)
	Finish(ctx context.Context, ticket *mangoledger.Ticket, status int, contentType string, answer []byte)
	Abandon(ticket *mangoledger.Ticket)
	MarkUnknown(ticket *mangoledger.Ticket)
	Confirm(attempt string)
	Lookup(customer, key, attempt string) *mangomessage.StatusReply
}

// StatusClient asks the owner of a record for the status of an attempt.
type StatusClient interface {
	QueryStatus(ctx context.Context, address string, request *mangomessage.StatusRequest) (*mangomessage.StatusReply, error)
}

// PickedReplica is a replica that counts as in flight until Release.
type PickedReplica struct {
	Host    string
	Address string
	Release func()
}

// Picker picks a replica for a call; false means that none outside exclude is usable.
type Picker interface {
	Pick(profile *mangomessage.Profile, exclude map[string]bool) (PickedReplica, bool)
}

// Observer receives the result of each send; err is nil after an answer. It never blocks.
type Observer interface {
	Sent(host string, took time.Duration, err error)
}

// Dispatcher runs calls of plain services.
type Dispatcher struct {
	service  mangoupstream.Service
	picker   Picker
	ledger   Ledger
	asker    StatusClient
	observer Observer
	// prober is nil when crashes are not told from lost connections.
	prober  CrashProber
	crashes CrashObserver
	budget  *budget
	pace    *pace
	poll    time.Duration
}

// Option sets a property of a Dispatcher.
type Option func(*Dispatcher)

// WithRetryBudget sets the retries per hundred successes; the default is 20.
func WithRetryBudget(perHundred int) Option {
	return func(d *Dispatcher) { d.budget = newBudget(float64(perHundred) / 100) }
}

// WithPollInterval sets the time between questions to the owner of a running call; the default is 100 ms.
func WithPollInterval(t time.Duration) Option { return func(d *Dispatcher) { d.poll = t } }

// WithObserver sets the receiver of send results.
func WithObserver(o Observer) Option { return func(d *Dispatcher) { d.observer = o } }

// New returns a dispatcher.
func New(service mangoupstream.Service, picker Picker, ledger Ledger, asker StatusClient, opts ...Option) *Dispatcher {
	d := &Dispatcher{
		service: service, picker: picker, ledger: ledger, asker: asker,
		observer: ignore{}, budget: newBudget(0.2), pace: newPace(), poll: 100 * time.Millisecond,
	}
	for _, o := range opts {
		o(d)
	}
	return d
}

// defaultDeadline is used when neither call nor profile has a deadline.
const defaultDeadline = 60 * time.Second

// Run returns the answer of the service, or an error of type *mangocall.Error.
func (d *Dispatcher) Run(ctx context.Context, call Call) (mangoupstream.Answer, error) {
	if call.Deadline.IsZero() {
		limit := time.Duration(call.Profile.GetDeadlineMs()) * time.Millisecond
		if limit == 0 {
			limit = defaultDeadline
		}
		call.Deadline = time.Now().Add(limit)
	}
	call.Request.CallID = call.ID
	call.Request.Idempotent = !call.Profile.GetNonIdempotent()
	ctx, cancel := context.WithDeadline(ctx, call.Deadline)
	defer cancel()
	if call.Request.Idempotent {
		return d.runIdempotent(ctx, call)
	}
	return d.runOnce(ctx, call)
}

// send makes one send on a picked replica and releases it.
func (d *Dispatcher) send(ctx context.Context, picked PickedReplica, request mangoupstream.Request) (mangoupstream.Answer, error) {
	defer picked.Release()
	start := time.Now()
	answer, err := d.service.Call(ctx, picked.Address, request)
	d.observer.Sent(picked.Host, time.Since(start), err)
	return answer, err
}

type ignore struct{}

func (ignore) Sent(string, time.Duration, error) {}

func fail(kind mangocall.Kind, outcome mangocall.Outcome, retry time.Duration, err error) error {
	return &mangocall.Error{Op: "Dispatch", Kind: kind, Outcome: outcome, RetryAfter: retry, Err: err}
}
