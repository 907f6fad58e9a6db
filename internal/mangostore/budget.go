package mangostore

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// DefaultBudgetWait is how long a call waits for the budget unless its purpose has a queue; for calls that are
// repeated anyway a longer wait would only hide that the budget is used up.
const DefaultBudgetWait = 100 * time.Millisecond

// Budget limits and counts the calls of one daemon, since the platform meters every call.
type Budget struct {
	inner  ConditionalStore
	reads  *rate.Limiter
	writes *rate.Limiter
	wait   time.Duration

	mu     sync.Mutex
	counts map[string]*CallCounts
}

// CallCounts has the calls of one purpose since the start.
type CallCounts struct {
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
func NewBudget(inner ConditionalStore, reads, writes float64, opts ...BudgetOption) *Budget {
	b := &Budget{
		inner:  inner,
		reads:  rate.NewLimiter(rate.Limit(reads), max(1, int(reads))),
		writes: rate.NewLimiter(rate.Limit(writes), max(1, int(writes))),
		wait:   DefaultBudgetWait,
		counts: map[string]*CallCounts{},
	}
	for _, o := range opts {
		o(b)
	}
	return b
}

// ForPurpose returns a store whose calls are counted under a purpose and share the budget. A call that finds the budget used
// up gives KindLimited.
func (b *Budget) ForPurpose(purpose string, opts ...PurposeOption) ConditionalStore {
	s := &budgeted{budget: b, purpose: purpose}
	for _, o := range opts {
		o(b, s)
	}
	return s
}

// Counts returns the calls of each purpose, ordered by purpose.
func (b *Budget) Counts() []CallCounts {
	b.mu.Lock()
	defer b.mu.Unlock()
	counts := make([]CallCounts, 0, len(b.counts))
	for _, c := range b.counts {
		counts = append(counts, *c)
	}
	slices.SortFunc(counts, func(a, b CallCounts) int { return cmp.Compare(a.Purpose, b.Purpose) })
	return counts
}

func (b *Budget) count(purpose string, add func(*CallCounts), err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.counts[purpose]
	if c == nil {
		c = &CallCounts{Purpose: purpose}
		b.counts[purpose] = c
	}
	if err != nil {
		c.Refused++
		return
	}
	add(c)
}
