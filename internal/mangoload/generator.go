package mangoload

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// Generator sends the calls of a plan and measures their answers.
type Generator struct {
	plan   Plan
	client *http.Client
}

// New returns a generator for a valid plan.
func New(plan Plan) *Generator {
	plan = plan.withDefaults()
	transport := &http.Transport{MaxIdleConnsPerHost: plan.MaxInFlight, IdleConnTimeout: 30 * time.Second}
	return &Generator{plan: plan, client: &http.Client{Transport: transport}}
}

// Run sends all calls and returns when each has ended or was abandoned. When the context ends, running calls are cancelled
// and the remaining ones are not sent.
func (g *Generator) Run(ctx context.Context) Result {
	defer g.client.CloseIdleConnections()
	reports := make(chan callReport, 1024)
	results := make(chan Result, 1)
	go func() { results <- g.collectResult(reports) }()
	maxDelay := g.sendAll(ctx, reports)
	close(reports)
	result := <-results
	result.MaxSendDelayMs = float64(maxDelay.Microseconds()) / 1000
	return result
}

// sendAll starts each call at its intended time and waits for all of them. It returns how late the latest start was.
func (g *Generator) sendAll(ctx context.Context, reports chan<- callReport) time.Duration {
	var calls sync.WaitGroup
	defer calls.Wait()
	slots := make(chan struct{}, g.plan.MaxInFlight)
	schedule := g.plan.schedule()
	start := time.Now()
	var maxDelay time.Duration
	for _, a := range schedule {
		intended := start.Add(a.offset)
		if !waitUntil(ctx, intended) {
			break
		}
		maxDelay = max(maxDelay, time.Since(intended))
		select {
		case slots <- struct{}{}:
		default:
			reports <- callReport{arrival: a, outcome: Unsent}
			continue
		}
		calls.Go(func() {
			reports <- g.sendWithRetries(ctx, a, intended)
			<-slots
		})
	}
	return maxDelay
}

// waitUntil waits until a time and returns true, or false if the context ends first.
func waitUntil(ctx context.Context, at time.Time) bool {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-timer.C:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}

// collectResult computes the result from the reports of all calls. It alone updates the counts, which need no lock. Calls
// whose intended time is in the warm-up or the cool-down are left out.
func (g *Generator) collectResult(reports <-chan callReport) Result {
	total, kinds, customers := newTally(), map[string]*tally{}, map[string]*tally{}
	result := Result{Seed: g.plan.Seed, Kinds: map[string]CallStats{}, Customers: map[string]CallStats{}}
	for r := range reports {
		result.AllTokens += len(r.tokenTimes)
		if r.arrival.offset < milliseconds(g.plan.WarmupMs) || r.arrival.offset >= milliseconds(g.plan.DurationMs-g.plan.CooldownMs) {
			continue
		}
		total.add(r)
		tallyFor(kinds, r.arrival.kind.Name).add(r)
		tallyFor(customers, r.arrival.customer.Name).add(r)
		if (r.outcome != Answered || r.isWrong) && len(result.Details) < maxFailureDetails {
			result.Details = append(result.Details, fmt.Sprintf(
				"at %s kind %s customer %s outcome %s: %.300s",
				r.arrival.offset.Round(time.Millisecond), r.arrival.kind.Name, r.arrival.customer.Name, r.outcome, r.detail))
		}
	}
	result.Seconds = milliseconds(g.plan.DurationMs - g.plan.WarmupMs - g.plan.CooldownMs).Seconds()
	result.Total = total.summary(result.Seconds)
	for name, t := range kinds {
		result.Kinds[name] = t.summary(result.Seconds)
	}
	for name, t := range customers {
		result.Customers[name] = t.summary(result.Seconds)
	}
	return result
}

// tallyFor returns the tally of a name, which it creates if needed.
func tallyFor(tallies map[string]*tally, name string) *tally {
	if tallies[name] == nil {
		tallies[name] = newTally()
	}
	return tallies[name]
}
