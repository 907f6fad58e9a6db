package mangoadmission

import (
	"errors"
	"testing"

	"github.com/matryer/is"

	"mangopath.org/mangopath/internal/mangocall"
	"mangopath.org/mangopath/internal/mangogateway"
	"mangopath.org/mangopath/pkg/mangomessage"
)

// Guards against the outcome NotRun for a call that is refused by the rate limit although an earlier submission with its key
// may have run.
func TestRefusalOfResend(t *testing.T) {
	tests := []struct {
		nonIdempotent, first bool
		in, out              mangocall.Outcome
	}{
		{true, false, mangocall.NotRun, mangocall.Unknown},
		{true, true, mangocall.NotRun, mangocall.NotRun},
		{false, false, mangocall.NotRun, mangocall.NotRun},
		{true, false, mangocall.Rejected, mangocall.Rejected},
	}
	for _, tt := range tests {
		is := is.New(t)
		err := unknownIfSentBefore(mangogateway.ServiceCall{FirstSubmission: tt.first}, &mangomessage.Profile{NonIdempotent: tt.nonIdempotent},
			&mangocall.Error{Op: "admit", Kind: mangocall.KindLimit, Outcome: tt.in})
		var e *mangocall.Error
		is.True(errors.As(err, &e))
		is.Equal(e.Outcome, tt.out)
		is.Equal(e.Kind, mangocall.KindLimit)
	}
}
