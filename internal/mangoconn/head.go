package mangoconn

import (
	"bufio"
	"io"
	"net/http"

	"github.com/pkg/errors"
)

const (
	// MaxHeadBytes bounds the head of an answer together with the informational answers before it.
	MaxHeadBytes = 64 << 10
	// readBufferSize is enough for several events of a stream.
	readBufferSize = 4 << 10
)

// ErrHeadTooLarge means that an upstream sent MaxHeadBytes without completing the head of its answer.
var ErrHeadTooLarge = errors.New("the head of the answer is too large")

// ErrInvalidStatus means that an upstream sent a status that is none of a final or informational answer.
var ErrInvalidStatus = errors.New("the answer has an invalid status")

// maxStatus is the highest status of HTTP.
const maxStatus = 599

// CheckStatus returns ErrInvalidStatus for a status below 100 or above 599, and for 101, since no request asks to switch protocols.
func CheckStatus(status int) error {
	if status < http.StatusContinue || status > maxStatus || status == http.StatusSwitchingProtocols {
		return ErrInvalidStatus
	}
	return nil
}

// ReadResponse reads the head of the final answer to a request from a connection, as http.ReadResponse does, and skips
// informational answers (1xx) before it. It fails with ErrInvalidStatus on an invalid status, since the bytes after it cannot be
// attributed to an answer, and with ErrHeadTooLarge if the head is not complete after MaxHeadBytes. The body has no bound.
func ReadResponse(conn io.Reader, request *http.Request) (*http.Response, error) {
	response, _, err := readResponse(conn, request)
	return response, err
}

// readResponse is ReadResponse, and also returns the reader of the body, which may have bytes that follow the answer.
func readResponse(conn io.Reader, request *http.Request) (*http.Response, *bufio.Reader, error) {
	head := &headReader{conn: conn, left: MaxHeadBytes}
	reader := bufio.NewReaderSize(head, readBufferSize)
	for {
		response, err := http.ReadResponse(reader, request)
		if err != nil {
			return nil, nil, err
		}
		if err := CheckStatus(response.StatusCode); err != nil {
			return nil, nil, err
		}
		if response.StatusCode >= http.StatusOK {
			head.complete = true
			return response, reader, nil
		}
	}
}

// headReader bounds the bytes that are read from a connection until the head of an answer is complete.
type headReader struct {
	conn     io.Reader
	left     int
	complete bool
}

// Read implements io.Reader.
func (r *headReader) Read(p []byte) (int, error) {
	if r.complete {
		return r.conn.Read(p)
	}
	if r.left <= 0 {
		return 0, ErrHeadTooLarge
	}
	n, err := r.conn.Read(p[:min(len(p), r.left)])
	r.left -= n
	return n, err
}
