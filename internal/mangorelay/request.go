package mangorelay

import (
	"net/http"
	"time"

	"mangopath.org/mangopath/internal/mangopipeline"
	"mangopath.org/mangopath/internal/mangoreplica"
)

// Request is one attempt of a caller.
type Request struct {
	// ID is the caller's id of the attempt.
	ID     string
	Method string
	// URI is the request target as it was received; Path is its path without the query.
	URI  string
	Path string
	Host string
	// Header has the fields that are passed on.
	Header http.Header
	Body   []byte
	// Key identifies the customer.
	APIKey     string
	ArrivedAt time.Time
	// Patience is the time for which the caller waits; 0 if it did not say.
	CallerTimeout time.Duration
	// PromptTokens and AnswerTokens are the size of a request to a model.
	PromptTokens int
	AnswerTokens int
	// LastEvent is the id of the last event that the caller has of the stream; Resumes says that it has any.
	LastEventID uint64
	Resumes   bool
}

// UpstreamRequest is one try of a request at an upstream.
type UpstreamRequest struct {
	Request *Request
	Replica *mangoreplica.Replica
	// Parts is the chain that the request passes through; empty for plain services.
	Parts    []mangopipeline.Stage
	Customer string
	// Left is the time until the answer is of no use; 0 means no limit.
	TimeLeft time.Duration
	// Priority is the rank of the request; 0 is the most urgent.
	Priority  int
	LastEventID uint64
	Resumes   bool
}

// AnswerHead is the head of an upstream's answer.
type AnswerHead struct {
	Status int
	// Header has the fields that are passed on.
	Header http.Header
	// ID is the id of the attempt that the answer belongs to.
	ID string
	// Sealed says that the answer bears the upstream's seal.
	Sealed bool
	// NotRun says that the upstream did not run the request and never will.
	NotRun bool
	// FaultAt is the address of the replica that keeps the request from running.
	FaultAddress string
	// Busy and Slots are the load of the replica; Slots is 0 if it did not tell.
	Busy  int
	Slots int
}

// Codec translates between requests and what upstreams speak.
type Codec interface {
	Encode(s UpstreamRequest) (*http.Request, error)
	Decode(r *http.Response) AnswerHead
}
