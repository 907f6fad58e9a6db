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

// ReadResponse reads the head of the final answer to a request from a connection, as http.ReadResponse does, and skips
// informational answers (1xx) before it. It reads at most MaxHeadBytes until the head is complete and fails with ErrHeadTooLarge
// then; the body of the response has no bound.
func ReadResponse(conn io.Reader, request *http.Request) (*http.Response, error) {
	head := &headReader{conn: conn, left: MaxHeadBytes}
	reader := bufio.NewReaderSize(head, readBufferSize)
	for {
		response, err := http.ReadResponse(reader, request)
		if err != nil {
			return nil, err
		}
		if response.StatusCode >= http.StatusOK {
			head.complete = true
			return response, nil
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
