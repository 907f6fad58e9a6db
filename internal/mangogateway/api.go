package mangogateway

import (
	"context"
	"time"

	"mangopath.org/mangopath/internal/mangocall"
)

// Request has what completions and calls to services have in common.
type Request struct {
	// ID is unique among all calls of all entry hosts.
	ID       string
	Customer string
	// Name is the profile or alias that the caller asked for.
	RequestedProfile string
	// BodyDigest is the SHA-256 digest of the body in hexadecimal.
	BodyDigest string
	// Arrived is the time at which the header of the request had been read.
	ArrivedAt time.Time
	// Within is the caller's own deadline, counted from Arrived; 0 when it set none.
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
	// Complete hands the tokens to sink in order and returns when the answer is whole. Errors are *mangocall.Error;
	// any other error counts as Unknown.
	Complete(ctx context.Context, completion Completion, sink mangocall.Sink) (mangocall.Result, error)
}

// ServiceCall is an authenticated call to a plain service.
type ServiceCall struct {
	Request
	Method string
	// Path is the escaped rest of the path after the name with the query; it begins with a slash.
	Path        string
	ContentType string
	Accept      string
	// Key is the idempotency key; empty when the caller gave none.
	IdempotencyKey string
	// First states that the caller has not sent the key before.
	FirstSubmission bool
	Body  []byte
}

// Answer is what a plain service answered.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
}

// ServiceCaller runs calls to plain services.
type ServiceCaller interface {
	// Call returns the answer of the service. Errors are *mangocall.Error; any other error counts as Unknown.
	Call(ctx context.Context, call ServiceCall) (Answer, error)
}

// Authenticator tells the customer of a key.
type Authenticator interface {
	// Customer returns the name of the customer; the error is a *mangocall.Error of KindUnauthorised.
	Customer(key string) (string, error)
}

// Kinds of calls as they are counted.
const (
	KindCompletion = "completion"
	KindService    = "service"
)

// OutcomeAnswer is the outcome of a call that was answered.
const OutcomeAnswer = "Answer"

// Observer counts calls; its methods never block.
type Observer interface {
	// CallDone reports the end of a call; reason is the kind of its error, empty for an answer.
	CallDone(kind, outcome, reason string, took time.Duration)
}

type noObserver struct{}

var _ Observer = noObserver{}

// CallDone implements Observer.
func (noObserver) CallDone(string, string, string, time.Duration) {}
