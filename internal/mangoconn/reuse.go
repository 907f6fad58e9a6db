package mangoconn

import (
	"bufio"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	// defaultIdleTime is how long an idle connection is kept if its upstream states no Keep-Alive timeout.
	defaultIdleTime = 2 * time.Second
	// maxIdleTime bounds the timeout that an upstream can state: the longer a connection is idle, the likelier its path is lost.
	maxIdleTime = 10 * time.Second
	// idleMargin is how much earlier than the upstream's timeout a connection is closed here. It covers the network delay of the
	// end of the answer and of the next request, and early timers of the upstream.
	idleMargin = 300 * time.Millisecond
)

// countedBody is the body of an answer that records whether it was read to its end.
type countedBody struct {
	io.ReadCloser
	ended bool
	// endedAt is when its end was read, from which the upstream counts how long the connection is idle.
	endedAt time.Time
	// endErr takes the place of the end of the body if that is not nil.
	endErr error
}

// newCountedBody wraps the body of an answer.
func newCountedBody(body io.ReadCloser) *countedBody {
	return &countedBody{ReadCloser: body, ended: body == http.NoBody, endedAt: time.Now()}
}

// Read implements io.Reader.
func (b *countedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF && b.endErr != nil && !b.ended {
		return n, b.endErr
	}
	if err == io.EOF && !b.ended {
		b.ended, b.endedAt = true, time.Now()
	}
	return n, err
}

// AllowReuse lets Close keep the connection. It may only be called after the answer's id was compared with that of the request:
// behind a wrong answer, all later ones on the connection are wrong too.
func (r *Response) AllowReuse() { r.reusable = true }

// canBeKept reports whether the connection can take another request: the whole answer was read, its end was not that of the
// connection, nothing follows it, and the upstream does not close the connection.
func (r *Response) canBeKept() bool {
	if !r.reusable || r.keep == nil || !r.sentWhole || r.Response.Close || !r.ProtoAtLeast(1, 1) {
		return false
	}
	if r.endsWithConnection() {
		return false
	}
	return readBuffered(r.body, r.ContentLength, r.reader) && r.reader.Buffered() == 0
}

// endsWithConnection reports whether the end of the connection is the only sign of the end of the answer. If the upstream reset the
// connection while the request was still being written, the write took the error, and reads see an end like any other.
func (r *Response) endsWithConnection() bool {
	return r.ContentLength < 0 && (len(r.TransferEncoding) == 0 || r.TransferEncoding[0] != "chunked")
}

// readBuffered reads the rest of a body if all of it has arrived, as that of a refusal has, and reports whether the body was
// read to its end. It never waits.
func readBuffered(body *countedBody, length int64, reader *bufio.Reader) bool {
	if !body.ended && length >= 0 && length <= int64(reader.Buffered()) {
		// It cannot fail, as the bytes are in the buffer.
		_, _ = io.Copy(io.Discard, body)
	}
	return body.ended
}

// idleTime returns how long a connection may be idle after an answer. It is 0 or less if the upstream states a time that is too
// short or cannot be read.
func idleTime(header http.Header) time.Duration {
	for _, field := range strings.Split(strings.Join(header["Keep-Alive"], ","), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(strings.TrimSpace(name), "timeout") {
			continue
		}
		seconds, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
		// Every comparison with NaN is false.
		if err != nil || !(seconds > 0) {
			return 0
		}
		return min(time.Duration(min(seconds, maxIdleTime.Seconds())*float64(time.Second))-idleMargin, maxIdleTime)
	}
	return defaultIdleTime
}
