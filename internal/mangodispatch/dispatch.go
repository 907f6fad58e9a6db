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
	// Deadline is the time by which the answer must have arrived; zero means that the profile's deadline applies.
	Deadline time.Time
	// FirstSubmission states that the caller has not sent the idempotency key before.
	FirstSubmission bool
	// Fingerprint identifies the content of the request to the crash observer.
	Fingerprint string
	// Suspect says that a replica crashed before while it ran a request with this fingerprint.
	Suspect bool
	// Exclude has the hosts that must not be used.
	Exclude map[string]bool
}

// Ledger keeps the at-most-once records of non-idempotent calls. It is implemented by mangoledger.Ledger.
type Ledger interface {
	Begin(ctx context.Context, customer, key, digest string) (*mangoledger.Ticket, error)
	Finish(ctx context.Context, ticket *mangoledger.Ticket, status int, contentType string, answer []byte)
	Abandon(ticket *mangoledger.Ticket)
	MarkUnknown(ticket *mangoledger.Ticket)
	ConfirmNotRun(attempt string)
	Lookup(customer, key, attempt string) *mangomessage.StatusReply
}

// StatusClient asks the daemon that owns a record for the status of its attempt.
type StatusClient interface {
	QueryStatus(ctx context.Context, address string, request *mangomessage.StatusRequest) (*mangomessage.StatusReply, error)
}

// PickedReplica is the replica picked for a call, which counts as in flight there until Release.
type PickedReplica struct {
	Host    string
	Address string
	Release func()
}

// Picker picks a replica for a call.
type Picker interface {
	// Pick returns a replica that is not on a host in exclude; false means that there is none.
	Pick(profile *mangomessage.Profile, exclude map[string]bool) (PickedReplica, bool)
}

// Observer receives the result of each send. It never blocks.
type Observer interface {
	// Sent reports a send to a host; err is nil if it was answered.
	Sent(host string, took time.Duration, err error)
}

// Dispatcher runs calls of plain services.
type Dispatcher struct {
	service      mangoupstream.Service
	picker       Picker
	ledger       Ledger
	statusClient StatusClient
	observer     Observer
	// prober is nil if lost connections are not checked for crashes.
	prober        CrashProber
	crashObserver CrashObserver
	budget        *retryBudget
	answerTimes   *answerTimes
	pollInterval  time.Duration
}

// Option sets a property of a Dispatcher.
type Option func(*Dispatcher)

// WithRetryBudget sets the number of retries allowed per hundred successful calls; the default is 20.
func WithRetryBudget(perHundred int) Option {
	return func(d *Dispatcher) { d.budget = newRetryBudget(float64(perHundred) / 100) }
}

// WithPollInterval sets the time between status queries to the owner of a running call; the default is 100 ms.
func WithPollInterval(t time.Duration) Option { return func(d *Dispatcher) { d.pollInterval = t } }

// WithObserver sets the receiver of send results.
func WithObserver(o Observer) Option { return func(d *Dispatcher) { d.observer = o } }

// New returns a dispatcher that sends calls through service to the replicas that picker picks.
func New(service mangoupstream.Service, picker Picker, ledger Ledger, statusClient StatusClient, opts ...Option) *Dispatcher {
	d := &Dispatcher{
		service: service, picker: picker, ledger: ledger, statusClient: statusClient,
		observer: noObserver{}, budget: newRetryBudget(0.2), answerTimes: newAnswerTimes(), pollInterval: 100 * time.Millisecond,
	}
	for _, o := range opts {
		o(d)
	}
	return d
}

// defaultDeadline is the time allowed for a call if neither the call nor its profile has a deadline.
const defaultDeadline = 60 * time.Second

// Run runs a call and returns the answer of the service, or an error of type *mangocall.Error.
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
	return d.runNonIdempotent(ctx, call)
}

// send sends a request once to a picked replica, releases the replica and reports the result to the observer.
func (d *Dispatcher) send(ctx context.Context, picked PickedReplica, request mangoupstream.Request) (mangoupstream.Answer, error) {
	defer picked.Release()
	start := time.Now()
	answer, err := d.service.Call(ctx, picked.Address, request)
	d.observer.Sent(picked.Host, time.Since(start), err)
	return answer, err
}

// noObserver is the Observer of a dispatcher without one.
type noObserver struct{}

func (noObserver) Sent(string, time.Duration, error) {}

func newError(kind mangocall.Kind, outcome mangocall.Outcome, retry time.Duration, err error) error {
	return &mangocall.Error{Op: "Dispatch", Kind: kind, Outcome: outcome, RetryAfter: retry, Err: err}
}
