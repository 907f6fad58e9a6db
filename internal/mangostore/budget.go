package mangostore

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/time/rate"
)

// DefaultBudgetWait is how long a call waits for the budget; a longer queue would only hide that it is used up.
const DefaultBudgetWait = 100 * time.Millisecond

// Budget limits and counts the calls of one daemon, since the platform meters every call.
type Budget struct {
	inner  Backend
	reads  *rate.Limiter
	writes *rate.Limiter
	wait   time.Duration

	mu     sync.Mutex
	counts map[string]*Count
}

// Count has the calls of one purpose since the start.
type Count struct {
	Purpose string
	Reads   uint64
	Writes  uint64
	// Refused calls found the budget used up and were not sent.
	Refused uint64
}

// BudgetOption sets an optional property of a Budget.
type BudgetOption func(*Budget)

// WithBudgetWait sets how long a call may wait for the budget.
func WithBudgetWait(d time.Duration) BudgetOption { return func(b *Budget) { b.wait = d } }

// NewBudget limits calls to inner to reads and writes per second, with bursts of one second.
func NewBudget(inner Backend, reads, writes float64, opts ...BudgetOption) *Budget {
	b := &Budget{
		inner:  inner,
		reads:  rate.NewLimiter(rate.Limit(reads), max(1, int(reads))),
		writes: rate.NewLimiter(rate.Limit(writes), max(1, int(writes))),
		wait:   DefaultBudgetWait,
		counts: map[string]*Count{},
	}
	for _, o := range opts {
		o(b)
	}
	return b
}

// For returns a store whose calls are counted under a purpose and share the budget. A call that finds the budget used
// up gives KindLimited.
func (b *Budget) For(purpose string) Backend { return &budgeted{budget: b, purpose: purpose} }

// Counts returns the calls of each purpose, ordered by purpose.
func (b *Budget) Counts() []Count {
	b.mu.Lock()
	defer b.mu.Unlock()
	counts := make([]Count, 0, len(b.counts))
	for _, c := range b.counts {
		counts = append(counts, *c)
	}
	slices.SortFunc(counts, func(a, b Count) int { return cmp.Compare(a.Purpose, b.Purpose) })
	return counts
}

func (b *Budget) read(ctx context.Context, purpose, op string) error {
	err := b.take(ctx, b.reads, op)
	b.count(purpose, func(c *Count) { c.Reads++ }, err)
	return err
}

func (b *Budget) write(ctx context.Context, purpose, op string) error {
	err := b.take(ctx, b.writes, op)
	b.count(purpose, func(c *Count) { c.Writes++ }, err)
	return err
}

func (b *Budget) take(ctx context.Context, l *rate.Limiter, op string) error {
	ctx, cancel := context.WithTimeout(ctx, b.wait)
	defer cancel()
	if err := l.Wait(ctx); err != nil {
		return &Error{Op: op, Kind: KindLimited, Err: errors.WithMessage(err, "budget of this daemon")}
	}
	return nil
}

func (b *Budget) count(purpose string, add func(*Count), err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.counts[purpose]
	if c == nil {
		c = &Count{Purpose: purpose}
		b.counts[purpose] = c
	}
	if err != nil {
		c.Refused++
		return
	}
	add(c)
}
