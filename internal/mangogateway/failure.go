package mangogateway

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"mangopath.org/mangopath/internal/mangocall"
	"mangopath.org/mangopath/pkg/mangomessage"
)

// asCallError returns the *mangocall.Error in the chain of err, or wraps err with the outcome Unknown if there is none.
func asCallError(err error) *mangocall.Error {
	var failure *mangocall.Error
	if errors.As(err, &failure) {
		return failure
	}
	return &mangocall.Error{Op: "Serve", Outcome: mangocall.Unknown, Err: err}
}

// httpStatus returns the HTTP status of a failure.
func httpStatus(e *mangocall.Error) int {
	switch e.Outcome {
	case mangocall.NotRun:
		if e.Kind == mangocall.KindLimit {
			return http.StatusTooManyRequests
		}
		return http.StatusServiceUnavailable
	case mangocall.Rejected:
		return rejectedStatus(e.Kind)
	case mangocall.Unknown:
		if e.Kind == mangocall.KindLimit {
			return http.StatusTooManyRequests
		}
		return http.StatusGatewayTimeout
	default:
		return http.StatusGatewayTimeout
	}
}

// rejectedStatus returns the HTTP status of a rejected request.
func rejectedStatus(kind mangocall.Kind) int {
	statuses := map[mangocall.Kind]int{
		mangocall.KindInvalid:        http.StatusBadRequest,
		mangocall.KindUnauthorised:   http.StatusForbidden,
		mangocall.KindUnknownProfile: http.StatusNotFound,
		mangocall.KindMismatch:       http.StatusConflict,
		mangocall.KindInProgress:     http.StatusConflict,
		mangocall.KindTooLarge:       http.StatusRequestEntityTooLarge,
		mangocall.KindQuarantine:     http.StatusUnprocessableEntity,
	}
	if status, found := statuses[kind]; found {
		return status
	}
	return http.StatusBadRequest
}

// reasonOf returns the name of the kind of a failure, or Internal for panics and errors of other types, which have no kind.
func reasonOf(e *mangocall.Error) string {
	if e.Kind == 0 {
		return "Internal"
	}
	return e.Kind.String()
}

// answerError answers with the error of a call and the status that follows from it.
func (x *exchange) answerError(err error) {
	x.failure = asCallError(err)
	x.writeFailure(httpStatus(x.failure))
}

// answerUnauthorised answers a failed authentication with status 401. For KindUnauthorised, httpStatus returns 403, which
// tells an authenticated customer that it lacks a permission.
func (x *exchange) answerUnauthorised(err error) {
	x.failure = asCallError(err)
	x.writer.Header().Set("WWW-Authenticate", "Bearer")
	x.writeFailure(http.StatusUnauthorized)
}

// writeFailure writes the header and body of an error answer.
func (x *exchange) writeFailure(status int) {
	header := x.writer.Header()
	header.Set("Content-Type", "application/json")
	header.Set(headerOutcome, string(x.failure.Outcome))
	if seconds := retryAfterSeconds(x.failure.RetryAfter); seconds > 0 {
		header.Set("Retry-After", strconv.Itoa(seconds))
	}
	x.writer.WriteHeader(status)
	_, _ = x.writer.Write(x.failureBody())
}

// failureBody encodes the failure as JSON.
func (x *exchange) failureBody() []byte {
	body, _ := json.Marshal(&mangomessage.CallErrorBody{Error: &mangomessage.CallError{
		Outcome: string(x.failure.Outcome), Kind: reasonOf(x.failure), Message: callerMessage(x.failure), Call: x.id,
		RetryAfterMs: retryAfterMs(x.failure.RetryAfter),
	}})
	return body
}

// callerMessage returns the message of an error answer. Only the cause of a rejection is included; causes of other failures
// are only logged, as they name hosts.
func callerMessage(e *mangocall.Error) string {
	if e.Outcome == mangocall.Rejected && e.Err != nil {
		return e.Err.Error()
	}
	switch e.Outcome {
	case mangocall.NotRun:
		return "the request did not run: " + reasonOf(e)
	case mangocall.Rejected:
		return "the request was rejected: " + reasonOf(e)
	case mangocall.Unknown:
		return "the request may have run: " + reasonOf(e)
	default:
		return "the request may have run: " + reasonOf(e)
	}
}

// retryAfterSeconds rounds up, so that no caller retries too early.
func retryAfterSeconds(d time.Duration) int {
	return int(math.Ceil(d.Seconds()))
}

func retryAfterMs(d time.Duration) uint32 {
	return uint32(min(max(d.Milliseconds(), 0), math.MaxUint32))
}
