package mangorelay

import (
	"context"
	"io"
	"maps"
	"net/http"
	"strconv"
	"time"

	"mangopath.org/mangopath/internal/mangoconn"
)

const (
	// streamBuffer holds the events that arrive together.
	streamBuffer = 4 << 10
	// gapWeight is the number of pauses that the mean of a stream's pauses follows.
	gapWeight = 8
	// slowGap and slowFirst are the usual pause of a stream and the wait for its first event, in units of the route's
	// targets, from which the replicas are asked for their pace. On a calm day both are below a fifth.
	slowGap   = 0.4
	slowFirst = 0.3
	// maxBuffered bounds an answer that is gathered before it is passed on.
	maxBuffered = 16 << 20
)

// stream passes events on as they arrive. The head of the answer waits for the first event, so that until then another
// upstream can take over unnoticed.
func (c *call) stream(outer, inner context.Context, t target, a AnswerHead, response *mangoconn.Response) result {
	c.events.pending = nil
	data := make([]byte, streamBuffer)
	for {
		n, err := response.Body.Read(data)
		if n > 0 {
			whole := c.events.add(data[:n])
			if c.events.gap {
				// Events that do not follow each other must not reach the caller in one answer.
				return c.interrupted(lost)
			}
			if len(whole) > 0 {
				if failed := c.forward(t, a, whole); failed != nil {
					return gone
				}
			}
		}
		if err == nil {
			continue
		}
		if err == io.EOF && len(c.events.pending) == 0 {
			return c.complete(t, a)
		}
		return c.interrupted(c.after(outer, inner, t, mangoconn.KindOf(inner, err), err))
	}
}

// interrupted turns a lost stream into one that cannot go on if the route does not allow it.
func (c *call) interrupted(r result) result {
	if r == lost && c.started && !c.route.Repeatable() {
		return cut
	}
	return r
}

func (c *call) forward(t target, a AnswerHead, events []byte) error {
	if !c.started {
		c.head(a, -1)
		c.firstEvent = time.Since(c.request.ArrivedAt)
		c.relay.observer.FirstEvent(c.route.Name, c.firstEvent)
	} else {
		gap := time.Since(c.lastEvent)
		c.longestGap = max(c.longestGap, gap)
		c.usualGap += (gap - c.usualGap) / gapWeight
	}
	c.lastEvent = time.Now()
	c.suspectSlow(t)
	if c.sendFirst == 0 {
		c.sendFirst = c.lastEvent.Sub(c.sendBegan)
		c.refusals = 0
		c.relay.board.ResetRefusals(t.incarnations()...)
		if c.delay != nil {
			c.delay.FirstEvent(c.lastEvent)
		}
	}
	if _, err := c.writer.Write(events); err != nil {
		return err
	}
	return c.control.Flush()
}

// suspectSlow lets the replicas of a data centre be asked for their pace if events come much later than on a calm day.
func (c *call) suspectSlow(t target) {
	if len(t.parts) == 0 || c.route.GapTarget <= 0 {
		return
	}
	if float64(c.usualGap) >= slowGap*float64(c.route.GapTarget) {
		c.relay.pacer.Suspect(c.serviceName, t.dataCentre)
	}
}

func (c *call) complete(t target, a AnswerHead) result {
	if !c.started {
		c.head(a, -1)
	}
	c.relay.suspects.Complete(c.fingerprint, time.Now())
	c.relay.board.RecordResult(t.first.Incarnation(), false, time.Now())
	return delivered
}

// head writes the status and header of an answer; length is negative if it is not known.
func (c *call) head(a AnswerHead, length int) {
	c.started, c.status = true, a.Status
	header := c.writer.Header()
	maps.Copy(header, a.Header)
	if length >= 0 {
		header.Set("Content-Length", strconv.Itoa(length))
	}
	if _, ok := a.Header["Content-Type"]; !ok {
		// A nil value keeps the server from guessing a type.
		header["Content-Type"] = nil
	}
	if c.relay.closing() {
		header.Set("Connection", "close")
	}
	c.writer.WriteHeader(a.Status)
}

// buffered is a whole answer.
type buffered struct {
	answer AnswerHead
	body   []byte
}

// buffer gathers an answer and passes it on when it is whole. A failure is kept back if the request may be repeated.
func (c *call) buffer(outer, inner context.Context, t target, a AnswerHead, response *mangoconn.Response) result {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxBuffered+1))
	if err != nil || len(body) > maxBuffered {
		return c.after(outer, inner, t, mangoconn.KindOf(inner, err), err)
	}
	b := &buffered{answer: a, body: body}
	c.relay.board.RecordResult(t.first.Incarnation(), a.Status >= http.StatusInternalServerError, time.Now())
	if a.Status >= http.StatusInternalServerError && c.route.Repeatable() {
		c.failure = b
		c.exclude[t.first.ID] = true
		return failed
	}
	if success(a.Status) {
		c.relay.suspects.Complete(c.fingerprint, time.Now())
	}
	b.write(c)
	return delivered
}

func (b *buffered) write(c *call) {
	if c.started {
		return
	}
	length := len(b.body)
	if c.request.Method == http.MethodHead || b.answer.Status == http.StatusNoContent || b.answer.Status == http.StatusNotModified {
		length = -1
	}
	c.head(b.answer, length)
	// A caller that has left cannot be told anything.
	_, _ = c.writer.Write(b.body)
}
