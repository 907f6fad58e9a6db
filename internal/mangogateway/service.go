package mangogateway

import (
	"net/http"
	"strings"

	"github.com/pkg/errors"

	"mangopath.org/mangopath/internal/mangocall"
)

const servicesPrefix = "/v1/services/"

// maxIdempotencyKeyBytes bounds the size that a key adds to a record in the store.
const maxIdempotencyKeyBytes = 255

// serveServiceCall serves POST /v1/services/{name}/...
func (g *Gateway) serveServiceCall(x *exchange, name string) {
	request, body, ok := x.readRequest(KindService)
	if !ok {
		return
	}
	call := ServiceCall{
		Request: request, Method: x.request.Method, Body: body,
		ContentType: x.request.Header.Get("Content-Type"), Accept: x.request.Header.Get("Accept"),
	}
	call.RequestedProfile, x.logFields["name"] = name, name
	var err error
	if call.Path, err = servicePath(x.request, name); err == nil {
		call.IdempotencyKey, err = idempotencyKey(x.request.Header)
	}
	if err == nil {
		call.FirstSubmission, err = firstSubmission(x.request.Header)
	}
	if err != nil {
		x.answerError(err)
		return
	}
	answer, err := g.serviceCaller.Call(x.request.Context(), call)
	if err != nil {
		x.answerError(err)
		return
	}
	x.writeAnswer(answer)
}

// writeAnswer passes the answer of a service on to the caller.
func (x *exchange) writeAnswer(answer Answer) {
	header := x.writer.Header()
	// A nil Content-Type keeps net/http from guessing one if the service sent none.
	header["Content-Type"] = nil
	if answer.ContentType != "" {
		header.Set("Content-Type", answer.ContentType)
	}
	header.Set(headerOutcome, OutcomeAnswer)
	x.writer.WriteHeader(answer.Status)
	if _, err := x.writer.Write(answer.Body); err != nil {
		x.failure, x.mustAbort = cancelledError(err), true
	}
}

// servicePath returns the path after the name of the service, as the caller escaped it, with the query. It rejects segments
// . and .., which could lead outside the path of the service.
func servicePath(r *http.Request, name string) (string, error) {
	if err := checkName("the name in the path", name); err != nil {
		return "", err
	}
	rest, found := strings.CutPrefix(r.URL.EscapedPath(), servicesPrefix+name)
	if !found || (rest != "" && rest[0] != '/') {
		return "", rejectedError("Read", mangocall.KindInvalid, errors.New("the name in the path must not have escaped characters"))
	}
	for _, part := range strings.Split(r.URL.Path, "/") {
		if part == "." || part == ".." {
			return "", rejectedError("Read", mangocall.KindInvalid, errors.New("the path must not have a segment . or .."))
		}
	}
	if rest == "" {
		rest = "/"
	}
	if r.URL.RawQuery != "" {
		rest += "?" + r.URL.RawQuery
	}
	return rest, nil
}

// idempotencyKey returns the idempotency key of a request, or an empty string if it has none.
func idempotencyKey(header http.Header) (string, error) {
	values := header.Values(headerIdempotencyKey)
	if len(values) == 0 {
		return "", nil
	}
	key := values[0]
	printable := func(r rune) bool { return r >= ' ' && r <= '~' }
	if len(values) > 1 || key == "" || len(key) > maxIdempotencyKeyBytes || strings.ContainsFunc(key, func(r rune) bool { return !printable(r) }) {
		return "", rejectedError("Read", mangocall.KindInvalid,
			errors.Errorf("header %s is not one value of 1 to %d printable ASCII characters", headerIdempotencyKey, maxIdempotencyKeyBytes))
	}
	return key, nil
}

// firstSubmission reports whether the caller states that it has not sent the idempotency key before.
func firstSubmission(header http.Header) (bool, error) {
	values := header.Values(headerSubmission)
	if len(values) == 0 {
		return false, nil
	}
	if len(values) > 1 || values[0] != "first" {
		return false, rejectedError("Read", mangocall.KindInvalid, errors.Errorf("header %s is not exactly one value \"first\"", headerSubmission))
	}
	return true, nil
}
