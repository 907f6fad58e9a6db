package mangoload

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// Generator sends the calls of a plan.
type Generator struct {
	plan   Plan
	client *http.Client
}

// New returns a generator for a checked plan.
func New(plan Plan) *Generator {
	plan = plan.withDefaults()
	transport := &http.Transport{MaxIdleConnsPerHost: plan.MaxInFlight, IdleConnTimeout: 30 * time.Second}
	return &Generator{plan: plan, client: &http.Client{Transport: transport}}
}

// Run sends all calls and returns when each has ended or was abandoned. An early end of the context ends the rest.
func (g *Generator) Run(ctx context.Context) Result {
	defer g.client.CloseIdleConnections()
	reports := make(chan report, 1024)
	results := make(chan Result, 1)
	go func() { results <- g.collect(reports) }()
	delay := g.send(ctx, reports)
	close(reports)
	result := <-results
	result.MaxSendDelayMs = float64(delay.Microseconds()) / 1000
	return result
}

// send starts each call at its intended time, waits for all and returns the longest delay of a start.
func (g *Generator) send(ctx context.Context, reports chan<- report) time.Duration {
	var calls sync.WaitGroup
	defer calls.Wait()
	slots := make(chan struct{}, g.plan.MaxInFlight)
	schedule := g.plan.schedule()
	start := time.Now()
	var delay time.Duration
	for _, a := range schedule {
		intended := start.Add(a.at)
		if !waitUntil(ctx, intended) {
			break
		}
		delay = max(delay, time.Since(intended))
		select {
		case slots <- struct{}{}:
		default:
			reports <- report{arrival: a, outcome: Unsent}
			continue
		}
		calls.Go(func() {
			reports <- g.call(ctx, a, intended)
			<-slots
		})
	}
	return delay
}

// waitUntil returns false when the context ended first.
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

// collect owns all counts; calls that were intended during the warm-up or the cool-down are left out.
func (g *Generator) collect(reports <-chan report) Result {
	total, kinds, customers := newTally(), map[string]*tally{}, map[string]*tally{}
	result := Result{Seed: g.plan.Seed, Kinds: map[string]CallStats{}, Customers: map[string]CallStats{}}
	for r := range reports {
		result.AllTokens += len(r.tokens)
		if r.arrival.at < milliseconds(g.plan.WarmupMs) || r.arrival.at >= milliseconds(g.plan.DurationMs-g.plan.CooldownMs) {
			continue
		}
		total.add(r)
		tallyOf(kinds, r.arrival.kind.Name).add(r)
		tallyOf(customers, r.arrival.customer.Name).add(r)
		if (r.outcome != Answered || r.wrong) && len(result.Details) < maxDetails {
			result.Details = append(result.Details, fmt.Sprintf(
				"at %s kind %s customer %s outcome %s: %.300s",
				r.arrival.at.Round(time.Millisecond), r.arrival.kind.Name, r.arrival.customer.Name, r.outcome, r.detail))
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

func tallyOf(tallies map[string]*tally, name string) *tally {
	if tallies[name] == nil {
		tallies[name] = newTally()
	}
	return tallies[name]
}
