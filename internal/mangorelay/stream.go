package mangorelay

import (
	"context"
	"errors"
	"io"
	"maps"
	"net/http"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"mangopath.org/mangopath/internal/mangoconn"
	"mangopath.org/mangopath/internal/mangoreplica"
)

// errEventTooLarge means that an upstream sent maxEventBytes without the end of an event.
var errEventTooLarge = errors.New("an event of the stream is too large")

const (
	// streamReadSize is the size of a read in bytes; events that arrive together should fit.
	streamReadSize = 4 << 10
	// meanGapSamples is the number of gaps over which the moving mean of a stream's gaps adapts.
	meanGapSamples = 8
	// slowGapShare and slowFirstEventShare are the mean gap of a stream and the wait for a first event, as shares of the
	// route's targets, from which the replicas are asked how slow they are. Under normal load both are below a fifth.
	slowGapShare        = 0.4
	slowFirstEventShare = 0.3
	// maxBufferedAnswer is the largest answer in bytes that is read as a whole before it is passed on, so that another one
	// can replace it if it breaks off. The rest of a larger one is passed on as it arrives, passOnSize at a time.
	maxBufferedAnswer = 256 << 10
	passOnSize        = 16 << 10
	// minBufferSize is the size in bytes of the first buffer for an answer.
	minBufferSize = 4 << 10
	// maxAnswer is the largest answer in bytes that is passed on; a longer one is broken off.
	maxAnswer = 64 << 20
	// answerBlock is the number of bytes of an answer other than a stream that count as progress. An upstream that sends
	// less in the time without progress has stalled.
	answerBlock = 4 << 10
)

// streamAnswer passes events on as they arrive. The head of the answer is written with the first event, so that until
// then the request can be sent to another upstream without the caller noticing.
func (c *call) streamAnswer(callerCtx, deadlineCtx context.Context, t target, a AnswerHead, response *mangoconn.Response, wait *mangoconn.ReadWaiter) sendResult {
	c.events.pending = nil
	c.position.beginRun(t.first.ID)
	data := make([]byte, streamReadSize)
	for {
		readBegun := time.Now()
		n, err := response.Body.Read(data)
		if n > 0 {
			before := c.events.count
			arrived := c.events.add(data[:n])
			if c.events.count > before {
				wait.Progress()
				waited := c.inFlight.recordProgress(readBegun)
				c.gaps.arrived(time.Now(), waited)
				if waited {
					c.relay.links.EventPassed(t.dataCentre)
				}
			}
			if c.events.oversized() {
				return c.lostOrCut(c.handleFailure(callerCtx, deadlineCtx, t, mangoconn.KindInvalid, errEventTooLarge))
			}
			ready, rejected := c.acceptEvents(arrived)
			if !c.holdEvents() {
				return c.lostOrCut(resultLost)
			}
			if r, ok := c.passEvents(t, a, ready, wait); !ok {
				return r
			}
			if rejected != nil {
				return c.rejectEvent(t, *rejected)
			}
		}
		if err == nil {
			continue
		}
		if err == io.EOF && len(c.events.pending) == 0 {
			return c.endStream(t, a, wait)
		}
		return c.lostOrCut(c.handleFailure(callerCtx, deadlineCtx, t, mangoconn.KindOf(deadlineCtx, err), err))
	}
}

// acceptEvents returns the bytes of events that may be passed on, and the first event that shows that the run is wrong; nil if there
// is none.
func (c *call) acceptEvents(arrived []event) (ready []byte, rejected *event) {
	for i := range arrived {
		text, sound := c.position.accept(arrived[i])
		ready = append(ready, text...)
		if !sound {
			return ready, &arrived[i]
		}
	}
	return ready, nil
}

// passEvents writes whole events to the caller. If that ends the request, it returns false and the result.
func (c *call) passEvents(t target, a AnswerHead, events []byte, wait *mangoconn.ReadWaiter) (sendResult, bool) {
	if len(events) == 0 {
		return 0, true
	}
	if !c.gate.begin() {
		return resultExpired, false
	}
	if err := excludeWrite(wait, func() error { return c.forwardEvents(t, a, events) }); err != nil {
		return resultCallerGone, false
	}
	c.lastEventAt = time.Now()
	return 0, true
}

// rejectEvent ends a run that gave an event which cannot be the next one of the stream.
func (c *call) rejectEvent(t target, e event) sendResult {
	c.relay.logger.WithFields(logrus.Fields{
		"event": "stream_event_rejected", "request": c.request.ID, "replica": t.first.ID, "number": e.number.String(), "last_event": c.position.last,
		"resumable": c.position.resumable,
	}).Warn("a replica sent an event that cannot be the next one of its stream")
	c.relay.health.RecordResult(t.first.Incarnation(), true, time.Now())
	return c.lostOrCut(resultLost)
}

// endStream handles the regular end of a run. The stream is complete unless an event is missing that a replica is known to have.
func (c *call) endStream(t target, a AnswerHead, wait *mangoconn.ReadWaiter) sendResult {
	ready, complete := c.position.endRun()
	if r, ok := c.passEvents(t, a, ready, wait); !ok {
		return r
	}
	if !complete {
		c.relay.logger.WithFields(logrus.Fields{
			"event": "stream_end_rejected", "request": c.request.ID, "replica": t.first.ID, "last_event": c.position.last,
		}).Warn("a stream ended with an event whose number is not confirmed")
		return c.lostOrCut(resultLost)
	}
	return c.completeStream(t, a)
}

// excludeWrite calls a function that writes to the caller. A caller that reads slowly does not make its upstream silent.
func excludeWrite(wait *mangoconn.ReadWaiter, write func() error) error {
	begun := time.Now()
	err := write()
	wait.Exclude(time.Since(begun))
	return err
}

// lostOrCut turns the loss of a started stream into resultCut if no other run can continue it.
func (c *call) lostOrCut(r sendResult) sendResult {
	if r == resultLost && c.started && !c.canContinueElsewhere() {
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
	c.clearParts()
	if c.sendFirstEventDelay == 0 {
		c.sendFirstEventDelay = c.lastEventAt.Sub(c.sendStartedAt)
		c.inFlight.firstEventAt.Store(c.lastEventAt.UnixNano())
		c.refusalsInRow = 0
		c.endTurn()
		c.relay.health.ResetRefusals(t.incarnations()...)
		if c.firstEventWait != nil {
			c.firstEventWait.FirstEvent(c.lastEventAt)
			c.progress.FirstEvent(c.lastEventAt)
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
	c.clearSuspicion()
	c.relay.health.RecordResult(t.first.Incarnation(), false, time.Now())
	return resultDelivered
}

// writeHead writes the status and header of an answer; length is negative if it is not known.
func (c *call) writeHead(a AnswerHead, length int) {
	c.started, c.status, c.streamType = true, a.Status, a.Header.Get("Content-Type")
	header := c.writer.Header()
	maps.Copy(header, a.Header)
	if length >= 0 {
		header.Set("Content-Length", strconv.Itoa(length))
	}
	if _, ok := a.Header["Content-Type"]; !ok {
		// A nil value keeps the server from guessing a type.
		header["Content-Type"] = nil
	}
	if c.relay.isStopping() {
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
// failedAnswer instead if the request may be repeated. An answer above maxBufferedAnswer, or for which there is no memory, is
// passed on while it arrives.
func (c *call) bufferAnswer(callerCtx, deadlineCtx context.Context, t target, a AnswerHead, response *mangoconn.Response, wait *mangoconn.ReadWaiter) sendResult {
	source := &blockReader{reader: response.Body, wait: wait}
	body, whole, err := c.readAnswer(source)
	if err != nil {
		return c.handleFailure(callerCtx, deadlineCtx, t, mangoconn.KindOf(deadlineCtx, err), err)
	}
	if !whole {
		return c.passOn(callerCtx, deadlineCtx, t, a, body, response.ContentLength, source)
	}
	b := &bufferedAnswer{head: a, body: body}
	c.relay.health.RecordResult(t.first.Incarnation(), a.Status >= http.StatusInternalServerError, time.Now())
	if a.Status >= http.StatusInternalServerError && c.route.Repeatable() {
		c.failedAnswer = b
		c.failedReplicas[t.first.ID] = true
		return resultFailed
	}
	if isSuccess(a.Status) {
		c.clearSuspicion()
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

// blockReader reads the body of an answer and records progress with each answerBlock of it.
type blockReader struct {
	reader io.Reader
	wait   *mangoconn.ReadWaiter
	// sinceProgress is the number of bytes since the last progress.
	sinceProgress int
}

// Read implements io.Reader.
func (r *blockReader) Read(p []byte) (int, error) {
	n, err := r.reader.Read(p)
	if r.sinceProgress += n; r.sinceProgress >= answerBlock {
		r.sinceProgress = 0
		r.wait.Progress()
	}
	return n, err
}

// passOn passes on a large answer, of which the first bytes have been read, while the rest arrives. length is negative if it
// is not known. If the answer breaks off or exceeds maxAnswer, the caller's connection is closed before its end.
func (c *call) passOn(
	callerCtx, deadlineCtx context.Context, t target, a AnswerHead, begin []byte, length int64, rest *blockReader,
) sendResult {
	if !c.gate.begin() {
		return resultExpired
	}
	c.writeHead(a, int(max(length, -1)))
	write := func(data []byte) error {
		return excludeWrite(rest.wait, func() error {
			_, err := c.writer.Write(data)
			return err
		})
	}
	if write(begin) != nil {
		return resultCallerGone
	}
	passed := len(begin)
	data := make([]byte, passOnSize)
	// It is less than the beginning took, which is not needed any more.
	c.memory.Hold(c.keptBytes() + passOnSize)
	for passed <= maxAnswer {
		n, err := rest.Read(data)
		if n > 0 {
			passed += n
			if write(data[:n]) != nil {
				return resultCallerGone
			}
		}
		if errors.Is(err, io.EOF) {
			c.relay.health.RecordResult(t.first.Incarnation(), a.Status >= http.StatusInternalServerError, time.Now())
			return resultDelivered
		}
		if err != nil {
			_ = c.handleFailure(callerCtx, deadlineCtx, t, mangoconn.KindOf(deadlineCtx, err), err)
			return resultCut
		}
	}
	c.relay.avoid(t.first, mangoreplica.CauseFaulty, holdFaulty, c.request.ID)
	return resultCut
}
