package mangoupstream

import (
	"context"

	"mangopath.org/mangopath/pkg/mangomessage"
)

// Engine sends requests to the model engine at an address. An engine holds a range of the layers of a model.
type Engine interface {
	// Open opens a stream on a connection of its own.
	Open(ctx context.Context, address string, open *mangomessage.Open) (Stream, *mangomessage.Opened, error)
	// State reads the state that an engine reports, which includes its load.
	State(ctx context.Context, address string) (*mangomessage.EngineState, error)
	// Events reads the cache events that follow a sequence number.
	Events(ctx context.Context, address string, after uint64) (*mangomessage.CacheEvents, error)
	// Cancel ends a call and frees its KV cache.
	Cancel(ctx context.Context, address string, cancel *mangomessage.Cancel) error
	// Export reads the KV cache of a call from an engine, which may drop it.
	Export(ctx context.Context, address string, transfer *mangomessage.Transfer) (*mangomessage.Transfer, error)
	// Import stores the KV cache of a call on an engine.
	Import(ctx context.Context, address string, transfer *mangomessage.Transfer) error
	// Order sends a placement order to an engine.
	Order(ctx context.Context, address string, order *mangomessage.Order) (*mangomessage.OrderReply, error)
}

// Stream carries the steps that one call runs on one engine.
type Stream interface {
	// Step sends a step and waits for its result. Results that do not match the step are dropped and reported to the hooks.
	Step(ctx context.Context, step *mangomessage.Step) (*mangomessage.StepResult, error)
	// Close closes the connection, which is never reused.
	Close() error
}

// Request is a call to a plain service.
type Request struct {
	// Method and Path are those of the caller's request.
	Method string
	Path   string
	// ContentType and Body are those of the caller's request.
	ContentType string
	Body        []byte
	// IdempotencyKey is sent to the upstream unless it is empty.
	IdempotencyKey string
	// Idempotent says that the transport may send the request again.
	Idempotent bool
	// CallID is sent to the upstream for its logs.
	CallID string
}

// Answer is the response of a plain service.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
}

// Service sends requests to the plain service at an address.
type Service interface {
	// Call sends the request once. After an error of KindNotSent or KindRefused it did not run; after others it may have run.
	Call(ctx context.Context, address string, request Request) (Answer, error)
}
