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
	// headerSubmission with the value first states that the key was not sent before.
	headerSubmission = "Mangopath-Submission"
)

// exchange is one HTTP request and its answer.
type exchange struct {
	gateway   *Gateway
	writer    *responseWriter
	request   *http.Request
	id        string
	arrivedAt time.Time
	callKind  string
	logFields logrus.Fields
	// failure is what was answered, nil for an answer.
	failure *mangocall.Error
	// abort closes the connection instead of ending the response.
	mustAbort bool
}

type exchangeKey struct{}

func newExchange(g *Gateway, w http.ResponseWriter, r *http.Request) *exchange {
	x := &exchange{gateway: g, id: rand.Text(), arrivedAt: g.now(), callKind: "none", logFields: logrus.Fields{}}
	x.writer = &responseWriter{ResponseWriter: w, writeTimeout: g.writeTimeout}
	x.request = r.WithContext(context.WithValue(r.Context(), exchangeKey{}, x))
	// A kept connection still has the deadline of its last answer.
	x.writer.extendDeadline()
	w.Header().Set(headerCallID, x.id)
	return x
}

func exchangeOf(r *restful.Request) *exchange {
	x, _ := r.Request.Context().Value(exchangeKey{}).(*exchange)
	return x
}

// finish answers a panic, counts and logs the call, and aborts the connection of a truncated answer.
func (x *exchange) finish() {
	if p := recover(); p != nil {
		x.answerPanic(p)
	}
	x.reportCall()
	if x.mustAbort {
		panic(http.ErrAbortHandler)
	}
}

func (x *exchange) answerPanic(p any) {
	x.gateway.logger.WithFields(logrus.Fields{"call": x.id, "panic": p, "stack": string(debug.Stack())}).
		Error("panic in a handler")
	x.failure = &mangocall.Error{Op: "Serve", Outcome: mangocall.Unknown, Err: errors.New("internal error")}
	if x.writer.status != 0 {
		x.mustAbort = true
		return
	}
	x.writeFailure(http.StatusInternalServerError)
}

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

// answerUnrouted answers a request that no route takes.
func (x *exchange) answerUnrouted(status int) {
	kind := mangocall.KindInvalid
	if status == http.StatusNotFound {
		kind = mangocall.KindUnknownProfile
	}
	x.failure = rejectedError("Route", kind, errors.Errorf("%s %s is not served", x.request.Method, x.request.URL.Path))
	x.writeFailure(status)
}
