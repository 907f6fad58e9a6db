package mangobench

import (
	"fmt"
	"io"
	"math"
	"text/tabwriter"

	"mangopath.org/mangopath/internal/mangoload"
)

// Row is the result of one run of a load plan through a router.
type Row struct {
	Deployment string
	Router     string
	// Multiple is the ratio of the offered load to the throughput bound.
	Multiple float64
	// Bound is the throughput bound in tokens per second.
	Bound float64
	// Goodput is the summed weight of the completions that were answered in full, correctly and on time, as a ratio to the
	// weight that the throughput bound allows with the plan's mix of kinds.
	Goodput float64
	// TokenGoodput is the same ratio with each call weighted by its token limit.
	TokenGoodput float64
	// SmallOnTime and LargeOnTime are the shares of the calls of small and large customers that were answered on time.
	SmallOnTime float64
	LargeOnTime float64
	// ServiceOnTime is the share of service calls that were answered on time.
	ServiceOnTime float64
	// Refused is the share of calls with the outcome NotRun, Failed that of calls without an answer for other reasons, and
	// Late that of calls that were answered after their deadline.
	Refused float64
	Failed  float64
	Late    float64
	// Wrong is the number of calls with an unexpected answer.
	Wrong int
	// CPUPerToken is the processor time of the routers per token that reached a caller, in microseconds.
	CPUPerToken float64
	Result      mangoload.Result
}

// NewRow computes the figures of a run; processorSeconds is the processor time of the routers over the whole run.
func NewRow(d *Deployment, router string, multiple float64, plan mangoload.Plan, r mangoload.Result, processorSeconds float64) Row {
	row := Row{Deployment: d.Name, Router: router, Multiple: multiple, Bound: d.ThroughputBound(), Wrong: r.Total.Wrong, Result: r}
	weight, sentWeight, onTime, tokensSent, tokensOnTime := 0.0, 0.0, 0.0, 0.0, 0.0
	service := callCounts{}
	for _, k := range plan.Kinds {
		g := r.Kinds[k.Name]
		if k.Service {
			service.add(g)
			continue
		}
		weight += k.Weight * k.Rate / multiple
		sentWeight += k.Weight * float64(g.Sent)
		onTime += k.Weight * float64(g.OnTime)
		tokensSent += float64(k.MaxTokens * g.Sent)
		tokensOnTime += float64(k.MaxTokens * g.OnTime)
	}
	// The number of calls sent deviates randomly from the planned rate, so goodput is computed from the share on time.
	row.Goodput = multiple * ratio(onTime, sentWeight)
	row.TokenGoodput = multiple * ratio(tokensOnTime, tokensSent)
	row.ServiceOnTime = service.onTimeShare()
	row.setCustomerShares(d, r)
	sent := float64(r.Total.Sent)
	row.Refused = ratio(float64(r.Total.Outcomes[mangoload.NotRun]), sent)
	row.Late = ratio(float64(r.Total.Late), sent)
	row.Failed = ratio(sent-float64(r.Total.Outcomes[mangoload.NotRun]+r.Total.Outcomes[mangoload.Answered]), sent)
	row.CPUPerToken = ratio(processorSeconds*1e6, float64(r.AllTokens))
	return row
}

// callCounts counts calls and those that were answered on time.
type callCounts struct{ sent, onTime int }

func (g *callCounts) add(o mangoload.CallStats) { g.sent, g.onTime = g.sent+o.Sent, g.onTime+o.OnTime }

func (g *callCounts) onTimeShare() float64 { return ratio(float64(g.onTime), float64(g.sent)) }

// setCustomerShares sets the shares on time of small and large customers.
func (row *Row) setCustomerShares(d *Deployment, r mangoload.Result) {
	small, large := callCounts{}, callCounts{}
	for name, g := range r.Customers {
		if d.IsSmallCustomer(name) {
			small.add(g)
		} else {
			large.add(g)
		}
	}
	row.SmallOnTime, row.LargeOnTime = small.onTimeShare(), large.onTimeShare()
}

// ratio returns a/b, or 0 if b is 0 or a is not a number.
func ratio(a, b float64) float64 {
	if b == 0 || math.IsNaN(a) {
		return 0
	}
	return a / b
}

// WriteTable writes the rows as a Markdown table.
func WriteTable(w io.Writer, rows []Row) error {
	t := tabwriter.NewWriter(w, 0, 0, 1, ' ', 0)
	_, _ = fmt.Fprintln(t, "| deployment\t| router\t| load\t| goodput\t| by tokens\t| small on time\t| large on time\t| services on time\t| refused\t| failed\t| late\t| wrong\t| CPU us/token\t| p95 ms\t|")
	_, _ = fmt.Fprintln(t, "| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t|")
	for _, r := range rows {
		p95 := 0.0
		if r.Result.Total.Latency != nil {
			p95 = r.Result.Total.Latency.P95
		}
		_, _ = fmt.Fprintf(t, "| %s\t| %s\t| %.1f\t| %.3f\t| %.3f\t| %.3f\t| %.3f\t| %.3f\t| %.3f\t| %.3f\t| %.3f\t| %d\t| %.0f\t| %.0f\t|\n",
			r.Deployment, r.Router, r.Multiple, r.Goodput, r.TokenGoodput, r.SmallOnTime, r.LargeOnTime, r.ServiceOnTime,
			r.Refused, r.Failed, r.Late, r.Wrong, r.CPUPerToken, p95)
	}
	return t.Flush()
}
