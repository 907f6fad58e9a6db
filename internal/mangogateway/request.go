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
	maxKeyBytes = 512
	// maxNameBytes bounds names of profiles and aliases before they are looked up and logged.
	maxNameBytes = 128
	maxDeadline  = time.Hour
)

// admit authenticates a request and reads its header and body; it answers itself when it returns false.
func (x *exchange) admit(kind string) (Request, []byte, bool) {
	x.kind = kind
	request := Request{ID: x.id, ArrivedAt: x.arrived}
	customer, err := x.authenticate()
	if err != nil {
		x.refuse(err)
		return request, nil, false
	}
	request.Customer, x.fields["customer"] = customer, customer
	if request.CallerTimeout, err = deadline(x.request.Header); err != nil {
		x.fail(err)
		return request, nil, false
	}
	body, err := x.readBody()
	if err != nil {
		x.fail(err)
		return request, nil, false
	}
	digest := sha256.Sum256(body)
	request.BodyDigest = hex.EncodeToString(digest[:])
	return request, body, true
}

func (x *exchange) authenticate() (string, error) {
	values := x.request.Header.Values("Authorization")
	if len(values) != 1 {
		return "", rejected("Authenticate", mangocall.KindUnauthorised, errors.New("one header Authorization: Bearer KEY is needed"))
	}
	scheme, key, _ := strings.Cut(values[0], " ")
	key = strings.TrimSpace(key)
	if !strings.EqualFold(scheme, "Bearer") || key == "" || len(key) > maxKeyBytes {
		return "", rejected("Authenticate", mangocall.KindUnauthorised,
			errors.Errorf("header Authorization is not Bearer KEY with a key of 1 to %d bytes", maxKeyBytes))
	}
	return x.gateway.authenticator.Customer(key)
}

// readBody reads the whole body within the bounds of size and time.
func (x *exchange) readBody() ([]byte, error) {
	body, err := io.ReadAll(http.MaxBytesReader(x.writer.ResponseWriter, x.request.Body, x.gateway.maxBody))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, rejected("Read", mangocall.KindTooLarge, errors.Errorf("the body is larger than %d bytes", tooLarge.Limit))
	}
	if err != nil {
		return nil, rejected("Read", mangocall.KindInvalid, errors.New("the body is incomplete or came too slowly"))
	}
	return body, nil
}

func deadline(header http.Header) (time.Duration, error) {
	values := header.Values(headerDeadline)
	if len(values) == 0 {
		return 0, nil
	}
	ms, err := strconv.ParseInt(values[0], 10, 64)
	if err != nil || len(values) > 1 || ms < 1 || ms > maxDeadline.Milliseconds() {
		return 0, rejected("Read", mangocall.KindInvalid,
			errors.Errorf("header %s is not one whole number from 1 to %d", headerDeadline, maxDeadline.Milliseconds()))
	}
	return time.Duration(ms) * time.Millisecond, nil
}

func checkName(what, name string) error {
	if name == "" || len(name) > maxNameBytes {
		return rejected("Read", mangocall.KindInvalid, errors.Errorf("%s is not a name of 1 to %d bytes", what, maxNameBytes))
	}
	return nil
}
