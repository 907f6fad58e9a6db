package mangogateway

import (
	"context"
	"time"

	"mangopath.org/mangopath/internal/mangocall"
)

// Request has the fields that completions and calls to services have in common.
type Request struct {
	// ID identifies the call; it is unique among all entry hosts.
	ID       string
	Customer string
	// RequestedProfile is the name of the profile or alias that the caller asked for.
	RequestedProfile string
	// BodyDigest is the SHA-256 digest of the body in hexadecimal.
	BodyDigest string
	// ArrivedAt is the time when the header of the request had been read.
	ArrivedAt time.Time
	// CallerTimeout is the time that the caller allows for the call, counted from ArrivedAt; 0 when it set none.
	CallerTimeout time.Duration
}

// Completion is an authenticated and well-formed completion request.
type Completion struct {
	Request
	Prompt string
	// MaxTokens is 0 when the caller set none.
	MaxTokens int
}

// Completer runs completions.
type Completer interface {
	// Complete passes the tokens to sink in order and returns when the answer is complete. Errors are of type
	// *mangocall.Error; any other error is answered with the outcome Unknown.
	Complete(ctx context.Context, completion Completion, sink mangocall.Sink) (mangocall.Result, error)
}

// ServiceCall is an authenticated call to a plain service.
type ServiceCall struct {
	Request
	Method string
	// Path is the part of the path after the name of the service, as the caller escaped it, with the query. It begins with
	// a slash.
	Path        string
	ContentType string
	Accept      string
	// IdempotencyKey is empty when the caller gave none.
	IdempotencyKey string
	// FirstSubmission is true when the caller states that it has not sent the key before.
	FirstSubmission bool
	Body            []byte
}

// Answer is the HTTP answer of a plain service.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
}

// ServiceCaller runs calls to plain services.
type ServiceCaller interface {
	// Call returns the answer of the service. Errors are of type *mangocall.Error; any other error is answered with the
	// outcome Unknown.
	Call(ctx context.Context, call ServiceCall) (Answer, error)
}

// Authenticator identifies the customer that an API key belongs to.
type Authenticator interface {
	// Customer returns the name of the customer with this API key; the error is a *mangocall.Error of KindUnauthorised.
	Customer(key string) (string, error)
}

// Kinds of calls that an Observer counts.
const (
	KindCompletion = "completion"
	KindService    = "service"
)

// OutcomeAnswer is the outcome of a call that was answered with a result.
const OutcomeAnswer = "Answer"

// Observer counts calls; its methods never block.
type Observer interface {
	// CallDone reports the end of a call. The reason is the kind of its error, or empty if the call was answered.
	CallDone(kind, outcome, reason string, took time.Duration)
}

// noObserver is the observer of a gateway without WithObserver; it does nothing.
type noObserver struct{}

var _ Observer = noObserver{}

// CallDone implements Observer.
func (noObserver) CallDone(string, string, string, time.Duration) {}
