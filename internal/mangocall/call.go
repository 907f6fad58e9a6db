package mangocall

import (
	"context"
	"time"

	"mangopath.org/mangopath/internal/mangochain"
	"mangopath.org/mangopath/pkg/mangomessage"
)

// Call is a completion request that passed authentication and validation.
type Call struct {
	ID       string
	Customer string
	// Profile is the resolved profile; it does not change during the call.
	Profile *mangomessage.Profile
	// Name is the name that the caller asked for.
	Name      string
	Prompt    string
	MaxTokens int
	// Deadline is the time by which the whole answer must have been sent.
	Deadline time.Time
	// Fingerprint identifies customer, profile and body.
	Fingerprint string
	// Suspect calls run on replicas that carry no other suspect.
	Suspect bool
}

// Result ends a whole answer.
type Result struct {
	// FinishReason is "stop" or "length".
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
	// Passed lets other suspects run on the chain; nil when the call runs apart from none. It is called once the attempt
	// has run past the position at which an earlier one met a crash.
	EndIsolation func()
	// Cleared drops the suspicion; nil when there is none. It is called once the attempt has also run for longer than
	// the one that met the crash, so that a crash which depends on time would have come again.
	ClearSuspicion func()
}

// Chooser chooses a chain on the present view and counts it as in flight.
type Chooser interface {
	Choose(ctx context.Context, request mangochain.Request, suspect bool) (Assignment, error)
	// Leaving reports whether a host is to be left by running calls.
	Leaving(host string) bool
}

// Observer receives what calls see of upstreams; its methods never block.
type Observer interface {
	// StepDone reports the time of a step of count positions and the load stated in the reply.
	StepDone(host string, took time.Duration, count int, result *mangomessage.StepResult)
	// Failed reports a failure of a kind on a host.
	Failed(host string, err error)
	// Crashed reports that a host died while the calls of these fingerprints were aboard, as far as this call knows.
	Crashed(host string, fingerprint string)
	// Token reports the time from one token to the next; first is set for the first of an answer.
	Token(profile string, took time.Duration, first bool)
}
