package mangostore

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/time/rate"
)

// limitedRetryDelay is the delay before a call that the platform refused with KindLimited is sent again.
const limitedRetryDelay = 50 * time.Millisecond

// tokenQueue is a queue of calls that wait for tokens of a limiter. Only the call at its head waits in the limiter, so that
// calls of other purposes, which have a short wait, are behind one call and not behind the whole queue.
type tokenQueue struct {
	limiter *rate.Limiter
	// head holds one element while the call at the head waits in the limiter.
	head       chan struct{}
	waiting    atomic.Int64
	maxWaiting int64
}

func newTokenQueue(limiter *rate.Limiter, limit int) *tokenQueue {
	return &tokenQueue{limiter: limiter, head: make(chan struct{}, 1), maxWaiting: int64(limit)}
}

// wait returns nil once it has taken a token. A call that cannot get one in time is refused at once, since its wait would
// only delay others.
func (q *tokenQueue) wait(ctx context.Context, within time.Duration) error {
	ahead := q.waiting.Add(1) - 1
	defer q.waiting.Add(-1)
	if ahead >= q.maxWaiting {
		return errors.Errorf("the queue is full with %d calls", ahead)
	}
	if need := time.Duration(float64(ahead) / float64(q.limiter.Limit()) * float64(time.Second)); need > within {
		return errors.Errorf("%d calls are in the queue, too many for the allowed wait of %v", ahead, within)
	}
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	select {
	case q.head <- struct{}{}:
		defer func() { <-q.head }()
	case <-ctx.Done():
		return ctx.Err()
	}
	return q.limiter.Wait(ctx)
}

// purposeQueues has the queues of one purpose. Its calls wait for the budget for at most half of the time to their
// deadline; the other half is left for the call itself.
type purposeQueues struct {
	reads  *tokenQueue
	writes *tokenQueue
}

// PurposeOption sets an optional property of the calls of one purpose.
type PurposeOption func(*Budget, *purposeStore)

// WithQueue queues up to limit reads and limit writes of a purpose. They wait for the budget for up to half of the time to
// their deadlines, instead of the budget's usual wait. Calls that the platform refuses with KindLimited are repeated within
// the same time.
func WithQueue(limit int) PurposeOption {
	return func(b *Budget, s *purposeStore) {
		s.queues = &purposeQueues{reads: newTokenQueue(b.reads, limit), writes: newTokenQueue(b.writes, limit)}
	}
}

// maxWait returns how long a queued call may wait: half of the time to its deadline, or the budget's usual wait if it has
// none.
func (s *purposeStore) maxWait(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return s.budget.maxWait
	}
	return max(time.Until(deadline)/2, 0)
}

// read takes a token for a read and sends it.
func (s *purposeStore) read(ctx context.Context, op string, send func() error) error {
	var q *tokenQueue
	if s.queues != nil {
		q = s.queues.reads
	}
	return s.send(ctx, op, s.budget.reads, q, func(c *CallCounts) { c.Reads++ }, send)
}

// write takes a token for a write and sends it.
func (s *purposeStore) write(ctx context.Context, op string, send func() error) error {
	var q *tokenQueue
	if s.queues != nil {
		q = s.queues.writes
	}
	return s.send(ctx, op, s.budget.writes, q, func(c *CallCounts) { c.Writes++ }, send)
}

// send waits for a token and sends the call. With a queue it sends the call again after the platform refused it with
// KindLimited, which had no effect.
func (s *purposeStore) send(
	ctx context.Context, op string, limiter *rate.Limiter, q *tokenQueue, add func(*CallCounts), send func() error,
) error {
	begin, within := time.Now(), s.maxWait(ctx)
	for {
		err := s.waitForToken(ctx, limiter, q, within-time.Since(begin))
		s.budget.countCall(s.purpose, add, err)
		if err != nil {
			return &Error{Op: op, Kind: KindLimited, Err: errors.WithMessage(err, "wait for the call budget of this daemon")}
		}
		err = send()
		var e *Error
		if q == nil || !errors.As(err, &e) || e.Kind != KindLimited || time.Since(begin)+limitedRetryDelay > within {
			return err
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(limitedRetryDelay):
		}
	}
}

// waitForToken takes a token of the limiter in the way that the options of the purpose set.
func (s *purposeStore) waitForToken(ctx context.Context, limiter *rate.Limiter, q *tokenQueue, within time.Duration) error {
	if q != nil {
		return q.wait(ctx, within)
	}
	if s.lowPriority != nil {
		return s.lowPriority.wait(ctx, limiter)
	}
	// A token that is there is taken even if the wait ends before the limiter looks at it, as on a machine without processor time.
	if ctx.Err() == nil && limiter.Allow() {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, s.budget.maxWait)
	defer cancel()
	return limiter.Wait(ctx)
}
