package mangogateway

import (
	"context"
	"crypto/rand"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/emicklei/go-restful/v3"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"mangopath.org/mangopath/internal/mangocall"
)

const (
	headerOutcome        = "Mangopath-Outcome"
	headerCallID         = "Mangopath-Call"
	headerDeadline       = "Mangopath-Deadline-Ms"
	headerIdempotencyKey = "Idempotency-Key"
	// headerSubmission with the value "first" states that the idempotency key has not been sent before.
	headerSubmission = "Mangopath-Submission"
)

// exchange is the state of one HTTP request and its answer.
type exchange struct {
	gateway   *Gateway
	writer    *responseWriter
	request   *http.Request
	id        string
	arrivedAt time.Time
	// callKind is KindCompletion or KindService, or "none" before a route has taken the request.
	callKind  string
	logFields logrus.Fields
	// failure is the error that ended the call, nil if the call was answered with a result.
	failure *mangocall.Error
	// mustAbort is true when the connection must be closed before the end of the response, so that the caller does not take
	// a truncated answer for a complete one.
	mustAbort bool
}

// exchangeKey is the key of the exchange in the context of its request.
type exchangeKey struct{}

func newExchange(g *Gateway, w http.ResponseWriter, r *http.Request) *exchange {
	x := &exchange{gateway: g, id: rand.Text(), arrivedAt: g.now(), callKind: "none", logFields: logrus.Fields{}}
	x.writer = &responseWriter{ResponseWriter: w, writeTimeout: g.writeTimeout}
	x.request = r.WithContext(context.WithValue(r.Context(), exchangeKey{}, x))
	// A kept-alive connection still has the write deadline of its previous answer.
	x.writer.extendDeadline()
	w.Header().Set(headerCallID, x.id)
	return x
}

// exchangeOf returns the exchange of a request that Handler dispatched.
func exchangeOf(r *restful.Request) *exchange {
	x, _ := r.Request.Context().Value(exchangeKey{}).(*exchange)
	return x
}

// finish answers with an error if the handler panicked, reports the call, and aborts the connection if the answer is
// truncated.
func (x *exchange) finish() {
	if p := recover(); p != nil {
		x.answerPanic(p)
	}
	x.reportCall()
	if x.mustAbort {
		panic(http.ErrAbortHandler)
	}
}

// answerPanic logs a panic and answers with status 500, or has the connection aborted if the answer has begun.
func (x *exchange) answerPanic(p any) {
	x.gateway.logger.WithFields(logrus.Fields{"call": x.id, "panic": p, "stack": string(debug.Stack())}).
		Error("handler panicked")
	x.failure = &mangocall.Error{Op: "Serve", Outcome: mangocall.Unknown, Err: errors.New("internal error")}
	if x.writer.status != 0 {
		x.mustAbort = true
		return
	}
	x.writeFailure(http.StatusInternalServerError)
}

// reportCall counts and logs the end of the call.
func (x *exchange) reportCall() {
	outcome, reason := OutcomeAnswer, ""
	if x.failure != nil {
		outcome, reason = string(x.failure.Outcome), reasonOf(x.failure)
	}
	took := x.gateway.now().Sub(x.arrivedAt)
	x.gateway.observer.CallDone(x.callKind, outcome, reason, took)
	line := x.gateway.logger.WithFields(x.logFields).WithFields(logrus.Fields{
		"call": x.id, "kind": x.callKind, "outcome": outcome, "status": x.writer.status, "took_ms": took.Milliseconds(),
	})
	if x.failure != nil {
		line.WithField("reason", reason).WithError(x.failure).Warn("call failed")
		return
	}
	line.Info("call answered")
}

// answerUnrouted answers a request whose method or path has no route.
func (x *exchange) answerUnrouted(status int) {
	kind := mangocall.KindInvalid
	if status == http.StatusNotFound {
		kind = mangocall.KindUnknownProfile
	}
	x.failure = rejectedError("Route", kind, errors.Errorf("%s %s is not served", x.request.Method, x.request.URL.Path))
	x.writeFailure(status)
}
