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
	// streamReadSize is the size of a read in bytes; events that arrive together should fit.
	streamReadSize = 4 << 10
	// meanGapSamples is the number of gaps over which the moving mean of a stream's gaps adapts.
	meanGapSamples = 8
	// slowGapShare and slowFirstEventShare are the mean gap of a stream and the wait for a first event, as shares of the
	// route's targets, from which the replicas are asked how slow they are. Under normal load both are below a fifth.
	slowGapShare        = 0.4
	slowFirstEventShare = 0.3
	// maxBufferedAnswer is the largest answer in bytes that is read as a whole before it is passed on.
	maxBufferedAnswer = 16 << 20
)

// streamAnswer passes events on as they arrive. The head of the answer is written with the first event, so that until
// then the request can be sent to another upstream without the caller noticing.
func (c *call) streamAnswer(callerCtx, deadlineCtx context.Context, t target, a AnswerHead, response *mangoconn.Response) sendResult {
	c.events.pending = nil
	data := make([]byte, streamReadSize)
	for {
		n, err := response.Body.Read(data)
		if n > 0 {
			whole := c.events.add(data[:n])
			if c.events.hasGap {
				// The caller must not get events with a gap between their ids in one answer.
				return c.lostOrCut(resultLost)
			}
			if len(whole) > 0 {
				if writeErr := c.forwardEvents(t, a, whole); writeErr != nil {
					return resultCallerGone
				}
			}
		}
		if err == nil {
			continue
		}
		if err == io.EOF && len(c.events.pending) == 0 {
			return c.completeStream(t, a)
		}
		return c.lostOrCut(c.handleFailure(callerCtx, deadlineCtx, t, mangoconn.KindOf(deadlineCtx, err), err))
	}
}

// lostOrCut turns the loss of a started stream into resultCut if the route does not allow a repeat.
func (c *call) lostOrCut(r sendResult) sendResult {
	if r == resultLost && c.started && !c.route.Repeatable() {
		return resultCut
	}
	return r
}

// forwardEvents writes whole events to the caller and updates the times of the stream.
func (c *call) forwardEvents(t target, a AnswerHead, events []byte) error {
	if !c.started {
		c.writeHead(a, -1)
		c.firstEventDelay = time.Since(c.request.ArrivedAt)
		c.relay.observer.FirstEvent(c.route.Name, c.firstEventDelay)
	} else {
		gap := time.Since(c.lastEventAt)
		c.longestGap = max(c.longestGap, gap)
		c.meanGap += (gap - c.meanGap) / meanGapSamples
	}
	c.lastEventAt = time.Now()
	c.reportIfSlow(t)
	if c.sendFirstEventDelay == 0 {
		c.sendFirstEventDelay = c.lastEventAt.Sub(c.sendStartedAt)
		c.refusalsInRow = 0
		c.relay.health.ResetRefusals(t.incarnations()...)
		if c.firstEventWait != nil {
			c.firstEventWait.FirstEvent(c.lastEventAt)
		}
	}
	if _, err := c.writer.Write(events); err != nil {
		return err
	}
	return c.control.Flush()
}

// reportIfSlow has the replicas of a data centre asked how slow they are if events come much later than under normal
// load.
func (c *call) reportIfSlow(t target) {
	if len(t.stages) == 0 || c.route.GapTarget <= 0 {
		return
	}
	if float64(c.meanGap) >= slowGapShare*float64(c.route.GapTarget) {
		c.relay.slowReplicas.ReportSlow(c.serviceName, t.dataCentre)
	}
}

// completeStream records the regular end of a stream.
func (c *call) completeStream(t target, a AnswerHead) sendResult {
	if !c.started {
		c.writeHead(a, -1)
	}
	c.relay.crashes.Complete(c.fingerprint, time.Now())
	c.relay.health.RecordResult(t.first.Incarnation(), false, time.Now())
	return resultDelivered
}

// writeHead writes the status and header of an answer; length is negative if it is not known.
func (c *call) writeHead(a AnswerHead, length int) {
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
	if c.relay.closeConnections() {
		header.Set("Connection", "close")
	}
	c.writer.WriteHeader(a.Status)
}

// bufferedAnswer is an answer that has been read as a whole.
type bufferedAnswer struct {
	head AnswerHead
	body []byte
}

// bufferAnswer reads an answer as a whole and then passes it on. An answer with a status of 500 or above is kept in
// failedAnswer instead if the request may be repeated.
func (c *call) bufferAnswer(callerCtx, deadlineCtx context.Context, t target, a AnswerHead, response *mangoconn.Response) sendResult {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxBufferedAnswer+1))
	if err != nil || len(body) > maxBufferedAnswer {
		return c.handleFailure(callerCtx, deadlineCtx, t, mangoconn.KindOf(deadlineCtx, err), err)
	}
	b := &bufferedAnswer{head: a, body: body}
	c.relay.health.RecordResult(t.first.Incarnation(), a.Status >= http.StatusInternalServerError, time.Now())
	if a.Status >= http.StatusInternalServerError && c.route.Repeatable() {
		c.failedAnswer = b
		c.failedReplicas[t.first.ID] = true
		return resultFailed
	}
	if isSuccess(a.Status) {
		c.relay.crashes.Complete(c.fingerprint, time.Now())
	}
	b.write(c)
	return resultDelivered
}

// write passes the answer on, unless a part of another one has been sent.
func (b *bufferedAnswer) write(c *call) {
	if c.started {
		return
	}
	length := len(b.body)
	if c.request.Method == http.MethodHead || b.head.Status == http.StatusNoContent || b.head.Status == http.StatusNotModified {
		length = -1
	}
	c.writeHead(b.head, length)
	// The write fails if the caller has left; there is nobody to tell.
	_, _ = c.writer.Write(b.body)
}
