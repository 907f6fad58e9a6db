package mangogateway

import (
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"mangopath.org/mangopath/internal/mangocall"
)

const (
	maxAPIKeyBytes = 512
	// maxNameBytes bounds the names of profiles and aliases before they are looked up.
	maxNameBytes = 128
	maxDeadline  = time.Hour
)

// readRequest authenticates a request and reads its header and body. If it returns false, it has already answered with an
// error.
func (x *exchange) readRequest(kind string) (Request, []byte, bool) {
	x.callKind = kind
	request := Request{ID: x.id, ArrivedAt: x.arrivedAt}
	customer, err := x.authenticate()
	if err != nil {
		x.answerUnauthorised(err)
		return request, nil, false
	}
	request.Customer, x.logFields["customer"] = customer, customer
	if request.CallerTimeout, err = callerTimeout(x.request.Header); err != nil {
		x.answerError(err)
		return request, nil, false
	}
	body, err := x.readBody()
	if err != nil {
		x.answerError(err)
		return request, nil, false
	}
	digest := sha256.Sum256(body)
	request.BodyDigest = hex.EncodeToString(digest[:])
	return request, body, true
}

// authenticate returns the customer that the API key of the request belongs to.
func (x *exchange) authenticate() (string, error) {
	values := x.request.Header.Values("Authorization")
	if len(values) != 1 {
		return "", rejectedError("Authenticate", mangocall.KindUnauthorised, errors.New("exactly one header Authorization: Bearer KEY is required"))
	}
	scheme, key, _ := strings.Cut(values[0], " ")
	key = strings.TrimSpace(key)
	if !strings.EqualFold(scheme, "Bearer") || key == "" || len(key) > maxAPIKeyBytes {
		return "", rejectedError("Authenticate", mangocall.KindUnauthorised,
			errors.Errorf("header Authorization is not Bearer KEY with a key of 1 to %d bytes", maxAPIKeyBytes))
	}
	return x.gateway.authenticator.Customer(key)
}

// readBody reads the whole body, up to the maximum size and within the read timeout of the server.
func (x *exchange) readBody() ([]byte, error) {
	body, err := io.ReadAll(http.MaxBytesReader(x.writer.ResponseWriter, x.request.Body, x.gateway.maxBody))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, rejectedError("Read", mangocall.KindTooLarge, errors.Errorf("the body is larger than %d bytes", tooLarge.Limit))
	}
	if err != nil {
		return nil, rejectedError("Read", mangocall.KindInvalid, errors.New("the body is incomplete or did not arrive within the read timeout"))
	}
	return body, nil
}

// callerTimeout returns the time that the caller allows for the call, or 0 if it sets none.
func callerTimeout(header http.Header) (time.Duration, error) {
	values := header.Values(headerDeadline)
	if len(values) == 0 {
		return 0, nil
	}
	ms, err := strconv.ParseInt(values[0], 10, 64)
	if err != nil || len(values) > 1 || ms < 1 || ms > maxDeadline.Milliseconds() {
		return 0, rejectedError("Read", mangocall.KindInvalid,
			errors.Errorf("header %s is not one whole number from 1 to %d", headerDeadline, maxDeadline.Milliseconds()))
	}
	return time.Duration(ms) * time.Millisecond, nil
}

// checkName returns an error if a name is empty or too long; field tells where the request has the name.
func checkName(field, name string) error {
	if name == "" || len(name) > maxNameBytes {
		return rejectedError("Read", mangocall.KindInvalid, errors.Errorf("%s is not a name of 1 to %d bytes", field, maxNameBytes))
	}
	return nil
}
