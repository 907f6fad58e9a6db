package mangocall

import (
	"context"
	"time"

	"mangopath.org/mangopath/internal/mangochain"
	"mangopath.org/mangopath/pkg/mangomessage"
)

// Call is a completion request that has passed authentication and validation.
type Call struct {
	ID       string
	Customer string
	// Profile is the resolved profile; it does not change during the call.
	Profile *mangomessage.Profile
	// Name is the profile name or alias that the caller asked for.
	Name      string
	Prompt    string
	MaxTokens int
	// Deadline is the time by which the whole answer must have been sent; zero means the deadline of the profile.
	Deadline time.Time
	// Fingerprint identifies the customer, profile and body of a request. Crashes of upstreams are counted by it.
	Fingerprint string
	// Suspect says that the request may crash upstreams, so that it runs only on replicas without another suspect.
	Suspect bool
}

// Result describes a complete answer, or after an error, in Tokens and Attempts, the part that was run.
type Result struct {
	// FinishReason is "stop" when the model ended the answer and "length" when the token limit was reached.
	FinishReason string
	Tokens       int
	Attempts     int
}

// Sink receives the tokens of an answer in order, each once.
type Sink interface {
	Token(text string) error
}

// Assignment is a chosen chain whose stages are counted as in flight until Release.
type Assignment struct {
	Chain   mangochain.Chain
	Release func()
	// EndIsolation lets other suspects run on the replicas of the chain. It is nil when the call is not isolated. It is called
	// once the attempt has run past the position at which a host crashed in an earlier attempt.
	EndIsolation func()
	// ClearSuspicion withdraws the suspicion against the call. It is nil when there is none. It is called once the attempt has
	// also run for longer than the attempts in which hosts crashed, so that a crash that depends on time would have recurred.
	ClearSuspicion func()
}

// Chooser chooses a chain by the current state of the replicas and counts the call as in flight on it.
type Chooser interface {
	Choose(ctx context.Context, request mangochain.Request, suspect bool) (Assignment, error)
	// Leaving reports whether running calls have to move off a host.
	Leaving(host string) bool
}

// Observer receives what calls observe of upstreams; its methods must not block.
type Observer interface {
	// StepDone reports how long a step of count positions took; result has the load that the engine stated.
	StepDone(host string, took time.Duration, count int, result *mangomessage.StepResult)
	// Failed reports that an operation failed on a host.
	Failed(host string, err error)
	// Crashed reports that a host probably crashed while the call with this fingerprint was running on it.
	Crashed(host string, fingerprint string)
	// Token reports the time since the previous token, or for the first token of an answer since the start of the call.
	Token(profile string, took time.Duration, first bool)
}
