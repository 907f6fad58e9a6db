package mangobench

import (
	"fmt"
	"io"
	"math"
	"text/tabwriter"

	"mangopath.org/mangopath/internal/mangoload"
)

// Row is one run of a router.
type Row struct {
	Deployment string
	Router     string
	// Multiple is the offered load by the bound.
	Multiple float64
	// Bound is in tokens per second.
	Bound float64
	// Goodput is the weight of the completions that were answered whole, right and on time, by the weight that the
	// bound allows with the plan's mix of kinds.
	Goodput float64
	// TokenGoodput is the same with calls weighted by their tokens.
	TokenGoodput float64
	// SmallOnTime and LargeOnTime are the shares of calls of customers.
	SmallOnTime float64
	LargeOnTime float64
	// ServiceOnTime is the share of service calls on time.
	ServiceOnTime float64
	// Refused is the share of calls with outcome NotRun, Failed that of calls without an answer for other reasons, Late
	// that of calls answered past their deadline.
	Refused float64
	Failed  float64
	Late    float64
	Wrong   int
	// CPUPerToken is the routers' processor time in microseconds for each token that reached a caller.
	CPUPerToken float64
	Result      mangoload.Result
}

// NewRow computes the figures of a run; processor time is in seconds over the whole run.
func NewRow(d *Deployment, router string, multiple float64, plan mangoload.Plan, r mangoload.Result, processor float64) Row {
	row := Row{Deployment: d.Name, Router: router, Multiple: multiple, Bound: d.ThroughputBound(), Wrong: r.Total.Wrong, Result: r}
	weight, offered, good, tokensOffered, tokensGood := 0.0, 0.0, 0.0, 0.0, 0.0
	service := group{}
	for _, k := range plan.Kinds {
		g := r.Kinds[k.Name]
		if k.Service {
			service.add(g)
			continue
		}
		weight += k.Weight * k.Rate / multiple
		offered += k.Weight * float64(g.Sent)
		good += k.Weight * float64(g.OnTime)
		tokensOffered += float64(k.MaxTokens * g.Sent)
		tokensGood += float64(k.MaxTokens * g.OnTime)
	}
	// The calls that were sent differ from the plan's rate by chance; the share of them that was on time does not.
	row.Goodput = multiple * ratio(good, offered)
	row.TokenGoodput = multiple * ratio(tokensGood, tokensOffered)
	row.ServiceOnTime = service.onTime()
	row.customers(d, r)
	sent := float64(r.Total.Sent)
	row.Refused = ratio(float64(r.Total.Outcomes[mangoload.NotRun]), sent)
	row.Late = ratio(float64(r.Total.Late), sent)
	row.Failed = ratio(sent-float64(r.Total.Outcomes[mangoload.NotRun]+r.Total.Outcomes[mangoload.Answered]), sent)
	row.CPUPerToken = ratio(processor*1e6, float64(r.AllTokens))
	return row
}

// group is calls and those on time.
type group struct{ sent, good int }

func (g *group) add(o mangoload.CallStats) { g.sent, g.good = g.sent+o.Sent, g.good+o.OnTime }

func (g *group) onTime() float64 { return ratio(float64(g.good), float64(g.sent)) }

func (row *Row) customers(d *Deployment, r mangoload.Result) {
	small, large := group{}, group{}
	for name, g := range r.Customers {
		if d.IsSmallCustomer(name) {
			small.add(g)
		} else {
			large.add(g)
		}
	}
	row.SmallOnTime, row.LargeOnTime = small.onTime(), large.onTime()
}

func ratio(a, b float64) float64 {
	if b == 0 || math.IsNaN(a) {
		return 0
	}
	return a / b
}

// WriteTable prints rows as a Markdown table.
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
