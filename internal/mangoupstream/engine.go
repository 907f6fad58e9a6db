package mangoupstream

import (
	"context"

	"mangopath.org/mangopath/pkg/mangomessage"
)

// Engine is a model engine that holds a range of layers.
type Engine interface {
	// Open starts a stream on a connection of its own.
	Open(ctx context.Context, address string, open *mangomessage.Open) (Stream, *mangomessage.Opened, error)
	// State reads the engine's load report.
	State(ctx context.Context, address string) (*mangomessage.EngineState, error)
	// Events reads cache events after a sequence number.
	Events(ctx context.Context, address string, after uint64) (*mangomessage.CacheEvents, error)
	// Cancel ends a call and frees its KV cache.
	Cancel(ctx context.Context, address string, cancel *mangomessage.Cancel) error
	// Export takes the KV cache of a call off an engine.
	Export(ctx context.Context, address string, transfer *mangomessage.Transfer) (*mangomessage.Transfer, error)
	// Import puts the KV cache of a call on an engine.
	Import(ctx context.Context, address string, transfer *mangomessage.Transfer) error
	// Order sends a placement order.
	Order(ctx context.Context, address string, order *mangomessage.Order) (*mangomessage.OrderReply, error)
}

// Stream carries the steps of one call on one stage.
type Stream interface {
	// Step sends a step and waits for its own result; results that do not match the step are dropped and counted.
	Step(ctx context.Context, step *mangomessage.Step) (*mangomessage.StepResult, error)
	// Close ends the connection; it is never reused.
	Close() error
}

// Request is a call to a plain service.
type Request struct {
	// Method and Path as the caller gave them.
	Method string
	Path   string
	// ContentType and Body of the call.
	ContentType string
	Body        []byte
	// IdempotencyKey is passed on; empty means none.
	IdempotencyKey string
	// Idempotent calls may be sent again by the transport.
	Idempotent bool
	// Call is the id of the call, for the upstream's own logs.
	CallID string
}

// Answer is the reply of a plain service.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
}

// Service is a plain service.
type Service interface {
	// Call sends the request once. KindNotSent and KindRefused mean that it did not run; KindLost that it may have run.
	Call(ctx context.Context, address string, request Request) (Answer, error)
}
