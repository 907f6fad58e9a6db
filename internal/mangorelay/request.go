package mangorelay

import (
	"net/http"
	"time"

	"mangopath.org/mangopath/internal/mangopipeline"
	"mangopath.org/mangopath/internal/mangoreplica"
)

// Request is one attempt of a caller to have a request served.
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
	// APIKey identifies the customer.
	APIKey    string
	ArrivedAt time.Time
	// CallerTimeout is how long the caller waits for the answer; 0 if it did not say.
	CallerTimeout time.Duration
	// PromptTokens and AnswerTokens are the numbers of tokens of the prompt and the answer that the caller states for a
	// request to a model; 0 if it did not.
	PromptTokens int
	AnswerTokens int
	// AnswerHint is the caller's estimate of the number of tokens of the answer; 0 if it has none.
	AnswerHint int
	// PromptParts has the ids of the parts of the prompt that other requests may share, in their order.
	PromptParts []string
	// LastEventID is the id of the last event of the stream that the caller has received; Resumes says that it has any.
	LastEventID uint64
	Resumes     bool
}

// UpstreamRequest is a request as it is sent to one upstream.
type UpstreamRequest struct {
	Request *Request
	Replica *mangoreplica.Replica
	// Stages is the chain that the request passes through; empty for plain services.
	Stages   []mangopipeline.Stage
	Customer string
	// TimeLeft is the time until the deadline; 0 means no limit.
	TimeLeft time.Duration
	// Priority is the rank of the request; 0 is the most urgent.
	Priority    int
	LastEventID uint64
	Resumes     bool
}

// AnswerHead is the status and header of an upstream's answer.
type AnswerHead struct {
	Status int
	// Header has the fields that are passed on.
	Header http.Header
	// ID is the caller's id of the attempt that the answer belongs to.
	ID string
	// Sealed says that the answer has the header with the upstream's seal.
	Sealed bool
	// NotRun says that the upstream did not run the request and never will.
	NotRun bool
	// FaultAddress is the address of the replica because of which the request was refused.
	FaultAddress string
	// Notice is what the replica says about itself.
	Notice mangoreplica.Notice
}

// Codec translates requests and answers to and from the HTTP messages of upstreams.
type Codec interface {
	Encode(u UpstreamRequest) (*http.Request, error)
	Decode(r *http.Response) AnswerHead
}
