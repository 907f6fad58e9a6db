package mangostore

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/time/rate"
)

// limitedRetryDelay is the time before a call that the platform refused for its rate is sent again.
const limitedRetryDelay = 50 * time.Millisecond

// tokenQueue is a queue for tokens of a limiter. Only its head holds a reservation, so that other purposes, which wait for
// a short time, are behind one call and not behind the whole queue.
type tokenQueue struct {
	limiter    *rate.Limiter
	head       chan struct{}
	waiting    atomic.Int64
	maxWaiting int64
}

func newTokenQueue(limiter *rate.Limiter, limit int) *tokenQueue {
	return &tokenQueue{limiter: limiter, head: make(chan struct{}, 1), maxWaiting: int64(limit)}
}

// wait returns once a token was taken. A call that cannot get one in time is refused at once, since waiting in vain
// would only keep others back.
func (l *tokenQueue) wait(ctx context.Context, within time.Duration) error {
	ahead := l.waiting.Add(1) - 1
	defer l.waiting.Add(-1)
	if ahead >= l.maxWaiting {
		return errors.Errorf("%d calls wait already", ahead)
	}
	if need := time.Duration(float64(ahead) / float64(l.limiter.Limit()) * float64(time.Second)); need > within {
		return errors.Errorf("%d calls wait already and the deadline leaves %v", ahead, within)
	}
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	select {
	case l.head <- struct{}{}:
		defer func() { <-l.head }()
	case <-ctx.Done():
		return ctx.Err()
	}
	return l.limiter.Wait(ctx)
}

// purposeQueues makes the calls of a purpose wait for the budget for half of the time that their deadline leaves; the
// other half is for the call itself.
type purposeQueues struct {
	reads  *tokenQueue
	writes *tokenQueue
}

// PurposeOption sets an optional property of the calls of one purpose.
type PurposeOption func(*Budget, *purposeStore)

// WithQueue lets up to limit reads and limit writes wait for the budget as long as their deadlines allow instead of
// for the budget's usual wait. Calls that the platform refuses for its rate are repeated within the same time.
func WithQueue(limit int) PurposeOption {
	return func(b *Budget, s *purposeStore) {
		s.queues = &purposeQueues{reads: newTokenQueue(b.reads, limit), writes: newTokenQueue(b.writes, limit)}
	}
}

// maxWait returns the time that a call may wait.
func (s *purposeStore) maxWait(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return s.budget.maxWait
	}
	return max(time.Until(deadline)/2, 0)
}

// read sends a read within the budget.
func (s *purposeStore) read(ctx context.Context, op string, send func() error) error {
	var l *tokenQueue
	if s.queues != nil {
		l = s.queues.reads
	}
	return s.send(ctx, op, s.budget.reads, l, func(c *CallCounts) { c.Reads++ }, send)
}

// write sends a write within the budget.
func (s *purposeStore) write(ctx context.Context, op string, send func() error) error {
	var l *tokenQueue
	if s.queues != nil {
		l = s.queues.writes
	}
	return s.send(ctx, op, s.budget.writes, l, func(c *CallCounts) { c.Writes++ }, send)
}

// send waits for a token and sends; with a queue it sends again after a refusal for the platform's rate, which had no
// effect.
func (s *purposeStore) send(ctx context.Context, op string, limiter *rate.Limiter, l *tokenQueue, add func(*CallCounts), send func() error) error {
	begin, within := time.Now(), s.maxWait(ctx)
	for {
		err := s.waitForToken(ctx, limiter, l, within-time.Since(begin))
		s.budget.countCall(s.purpose, add, err)
		if err != nil {
			return &Error{Op: op, Kind: KindLimited, Err: errors.WithMessage(err, "budget of this daemon")}
		}
		err = send()
		var e *Error
		if l == nil || !errors.As(err, &e) || e.Kind != KindLimited || time.Since(begin)+limitedRetryDelay > within {
			return err
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(limitedRetryDelay):
		}
	}
}

func (s *purposeStore) waitForToken(ctx context.Context, limiter *rate.Limiter, l *tokenQueue, within time.Duration) error {
	if l != nil {
		return l.wait(ctx, within)
	}
	if s.lowPriority != nil {
		return s.lowPriority.wait(ctx, limiter)
	}
	ctx, cancel := context.WithTimeout(ctx, s.budget.maxWait)
	defer cancel()
	return limiter.Wait(ctx)
}
