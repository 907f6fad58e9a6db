package mangogateway

import (
	"net/http"
	"strings"

	"github.com/pkg/errors"

	"mangopath.org/mangopath/internal/mangocall"
)

const servicesPrefix = "/v1/services/"

// maxIdempotencyKey bounds what a key adds to the store's records, in bytes.
const maxIdempotencyKey = 255

// callService serves POST /v1/services/{name}/...
func (g *Gateway) callService(x *exchange, name string) {
	request, body, ok := x.admit(KindService)
	if !ok {
		return
	}
	call := ServiceCall{
		Request: request, Method: x.request.Method, Body: body,
		ContentType: x.request.Header.Get("Content-Type"), Accept: x.request.Header.Get("Accept"),
	}
	call.RequestedProfile, x.fields["name"] = name, name
	var err error
	if call.Path, err = restOfPath(x.request, name); err == nil {
		call.IdempotencyKey, err = idempotencyKey(x.request.Header)
	}
	if err == nil {
		call.FirstSubmission, err = firstSubmission(x.request.Header)
	}
	if err != nil {
		x.fail(err)
		return
	}
	answer, err := g.caller.Call(x.request.Context(), call)
	if err != nil {
		x.fail(err)
		return
	}
	x.writeAnswer(answer)
}

func (x *exchange) writeAnswer(answer Answer) {
	header := x.writer.Header()
	// An absent type is set to nil, so that net/http does not guess one.
	header["Content-Type"] = nil
	if answer.ContentType != "" {
		header.Set("Content-Type", answer.ContentType)
	}
	header.Set(headerOutcome, OutcomeAnswer)
	x.writer.WriteHeader(answer.Status)
	if _, err := x.writer.Write(answer.Body); err != nil {
		x.failure, x.abort = cancelled(err), true
	}
}

// restOfPath returns the path after the name in the form that the caller sent, with the query.
func restOfPath(r *http.Request, name string) (string, error) {
	if err := checkName("the name in the path", name); err != nil {
		return "", err
	}
	rest, found := strings.CutPrefix(r.URL.EscapedPath(), servicesPrefix+name)
	if !found || (rest != "" && rest[0] != '/') {
		return "", rejected("Read", mangocall.KindInvalid, errors.New("the name in the path has escaped characters"))
	}
	for _, part := range strings.Split(r.URL.Path, "/") {
		if part == "." || part == ".." {
			return "", rejected("Read", mangocall.KindInvalid, errors.New("the path has a segment . or .."))
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

func idempotencyKey(header http.Header) (string, error) {
	values := header.Values(headerKey)
	if len(values) == 0 {
		return "", nil
	}
	key := values[0]
	printable := func(r rune) bool { return r >= ' ' && r <= '~' }
	if len(values) > 1 || key == "" || len(key) > maxIdempotencyKey || strings.ContainsFunc(key, func(r rune) bool { return !printable(r) }) {
		return "", rejected("Read", mangocall.KindInvalid,
			errors.Errorf("header %s is not one value of 1 to %d printable ASCII characters", headerKey, maxIdempotencyKey))
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
		return false, rejected("Read", mangocall.KindInvalid, errors.Errorf("header %s is not one value first", headerSubmission))
	}
	return true, nil
}
