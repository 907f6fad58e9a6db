package mangocapacity

import (
	"slices"
	"time"
)

const (
	// expectReturnsFrom and expectReturnsTo bound the time ahead in which expected returns count as demand. A report takes about
	// expectReturnsFrom to reach the other daemons.
	expectReturnsFrom = 500 * time.Millisecond
	expectReturnsTo   = 1500 * time.Millisecond
	// maxExpectedReturns bounds the expected returns that are kept; further ones are not recorded.
	maxExpectedReturns = 1024
)

// expectedReturn is a refused request whose caller was told when to come back.
type expectedReturn struct {
	key DemandKey
	Demand
	due time.Time
}

// ExpectReturn counts the work of a refused caller as demand of returning callers shortly before retryAfter has passed. Returning callers
// are admitted before new ones, so their demand has to be reported before they arrive: otherwise they would all be admitted on top of
// what fits. A retryAfter above maxRetryAfter is not recorded, since it would take an entry for minutes.
func (t *Tracker) ExpectReturn(service, dataCentre string, class Class, work Work, retryAfter time.Duration, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.returns) >= maxExpectedReturns || retryAfter > maxRetryAfter {
		return
	}
	class.Returning = true
	t.returns = append(t.returns, expectedReturn{
		key: DemandKey{Service: service, DataCentre: dataCentre, Class: class}, Demand: work.demand(), due: now.Add(retryAfter),
	})
}

// addExpectedReturns raises the demand of returning callers to that expected between expectReturnsFrom and expectReturnsTo from now.
func (t *Tracker) addExpectedReturns(demand map[DemandKey]Demand, now time.Time) {
	t.returns = slices.DeleteFunc(t.returns, func(r expectedReturn) bool { return r.due.Before(now.Add(expectReturnsFrom)) })
	expected := map[DemandKey]Demand{}
	for _, r := range t.returns {
		if r.due.Before(now.Add(expectReturnsTo)) {
			expected[r.key] = expected[r.key].With(r.scaled(1 / (expectReturnsTo - expectReturnsFrom).Seconds()))
		}
	}
	for k, d := range expected {
		if d.Tokens > demand[k].Tokens {
			demand[k] = d
		}
	}
}
