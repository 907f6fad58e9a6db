package mangostore

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/time/rate"
)

// retryPause is the time before a call that the platform refused for its rate is sent again.
const retryPause = 50 * time.Millisecond

// line is a queue for tokens of a limiter. Only its head holds a reservation, so that other purposes, which wait for
// a short time, are behind one call and not behind the whole queue.
type line struct {
	limiter *rate.Limiter
	turn    chan struct{}
	queued  atomic.Int64
	limit   int64
}

func newLine(limiter *rate.Limiter, limit int) *line {
	return &line{limiter: limiter, turn: make(chan struct{}, 1), limit: int64(limit)}
}

// wait returns once a token was taken. A call that cannot get one in time is refused at once, since waiting in vain
// would only keep others back.
func (l *line) wait(ctx context.Context, within time.Duration) error {
	ahead := l.queued.Add(1) - 1
	defer l.queued.Add(-1)
	if ahead >= l.limit {
		return errors.Errorf("%d calls wait already", ahead)
	}
	if need := time.Duration(float64(ahead) / float64(l.limiter.Limit()) * float64(time.Second)); need > within {
		return errors.Errorf("%d calls wait already and the deadline leaves %v", ahead, within)
	}
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	select {
	case l.turn <- struct{}{}:
		defer func() { <-l.turn }()
	case <-ctx.Done():
		return ctx.Err()
	}
	return l.limiter.Wait(ctx)
}

// patience makes the calls of a purpose wait for the budget for half of the time that their deadline leaves; the
// other half is for the call itself.
type patience struct {
	reads  *line
	writes *line
}

// PurposeOption sets an optional property of the calls of one purpose.
type PurposeOption func(*Budget, *budgeted)

// WithQueue lets up to limit reads and limit writes wait for the budget as long as their deadlines allow instead of
// for the budget's usual wait. Calls that the platform refuses for its rate are repeated within the same time.
func WithQueue(limit int) PurposeOption {
	return func(b *Budget, s *budgeted) {
		s.patience = &patience{reads: newLine(b.reads, limit), writes: newLine(b.writes, limit)}
	}
}

// within returns the time that a call may wait.
func (s *budgeted) within(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return s.budget.wait
	}
	return max(time.Until(deadline)/2, 0)
}

// read sends a read within the budget.
func (s *budgeted) read(ctx context.Context, op string, send func() error) error {
	var l *line
	if s.patience != nil {
		l = s.patience.reads
	}
	return s.send(ctx, op, s.budget.reads, l, func(c *CallCounts) { c.Reads++ }, send)
}

// write sends a write within the budget.
func (s *budgeted) write(ctx context.Context, op string, send func() error) error {
	var l *line
	if s.patience != nil {
		l = s.patience.writes
	}
	return s.send(ctx, op, s.budget.writes, l, func(c *CallCounts) { c.Writes++ }, send)
}

// send waits for a token and sends; with a queue it sends again after a refusal for the platform's rate, which had no
// effect.
func (s *budgeted) send(ctx context.Context, op string, limiter *rate.Limiter, l *line, add func(*CallCounts), send func() error) error {
	begin, within := time.Now(), s.within(ctx)
	for {
		err := s.token(ctx, limiter, l, within-time.Since(begin))
		s.budget.count(s.purpose, add, err)
		if err != nil {
			return &Error{Op: op, Kind: KindLimited, Err: errors.WithMessage(err, "budget of this daemon")}
		}
		err = send()
		var e *Error
		if l == nil || !errors.As(err, &e) || e.Kind != KindLimited || time.Since(begin)+retryPause > within {
			return err
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(retryPause):
		}
	}
}

func (s *budgeted) token(ctx context.Context, limiter *rate.Limiter, l *line, within time.Duration) error {
	if l != nil {
		return l.wait(ctx, within)
	}
	if s.spare != nil {
		return s.spare.wait(ctx, limiter)
	}
	ctx, cancel := context.WithTimeout(ctx, s.budget.wait)
	defer cancel()
	return limiter.Wait(ctx)
}
