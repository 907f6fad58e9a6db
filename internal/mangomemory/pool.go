package mangomemory

import "sync/atomic"

// Pool is the memory that requests may keep together. Its methods are safe for concurrent use.
type Pool struct {
	capacity int64
	used     atomic.Int64
	refusals atomic.Uint64
}

// New returns a pool of a number of bytes.
func New(capacity int64) *Pool { return &Pool{capacity: capacity} }

// Open returns an account that holds nothing.
func (p *Pool) Open() *Account { return &Account{pool: p} }

// Used returns the bytes that all accounts hold.
func (p *Pool) Used() int64 { return p.used.Load() }

// Refusals returns the number of times that an account got no more memory.
func (p *Pool) Refusals() uint64 { return p.refusals.Load() }

// take adds bytes to those in use, unless that exceeds the capacity.
func (p *Pool) take(n int64) bool {
	if p.used.Add(n) <= p.capacity {
		return true
	}
	p.used.Add(-n)
	p.refusals.Add(1)
	return false
}

// Account is what one request keeps. It is used by one goroutine at a time.
type Account struct {
	pool *Pool
	held int64
}

// Hold changes the bytes that the request keeps to n. It returns false, and changes nothing, if the pool has not so many.
func (a *Account) Hold(n int64) bool {
	if more := n - a.held; more > 0 && !a.pool.take(more) {
		return false
	} else if more < 0 {
		a.pool.used.Add(more)
	}
	a.held = n
	return true
}

// Held returns the bytes that the request keeps.
func (a *Account) Held() int64 { return a.held }

// Close gives all bytes back.
func (a *Account) Close() { a.Hold(0) }
