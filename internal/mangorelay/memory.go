package mangorelay

import (
	"io"
	"slices"
)

// keptBytes returns the bytes of answers that the request keeps between its sends.
func (c *call) keptBytes() int64 {
	if c.failedAnswer == nil {
		return 0
	}
	return int64(cap(c.failedAnswer.body))
}

// readAnswer reads an answer up to its end, up to maxBufferedAnswer, or as far as there is memory for it. whole says that it is
// the whole answer.
func (c *call) readAnswer(source io.Reader) (body []byte, whole bool, err error) {
	for {
		if len(body) == cap(body) {
			size := max(2*cap(body), minBufferSize)
			if size > maxBufferedAnswer || !c.memory.Hold(c.keptBytes()+int64(size)) {
				return body, false, nil
			}
			body = slices.Grow(body, size-len(body))[:len(body):size]
		}
		n, err := source.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if err == io.EOF {
			return body, true, nil
		}
		if err != nil {
			return nil, false, err
		}
	}
}

// holdEvents takes memory for the events that have arrived and cannot be passed on yet, and reports whether there is enough.
func (c *call) holdEvents() bool {
	size := int64(cap(c.events.pending) + cap(c.position.held.text))
	if size <= streamReadSize {
		size = 0
	}
	return c.memory.Hold(c.keptBytes() + size)
}
