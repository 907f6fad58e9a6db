package mangocapacity

import (
	"maps"
	"time"

	"mangopath.org/mangopath/internal/mangoroute"
)

// Class is a group of requests that are admitted with the same probability.
type Class struct {
	Rank mangoroute.Rank
	// Returning says that their callers were refused before.
	Returning bool
}

// compare orders classes by urgency; returning callers come before new ones of the same rank.
func (c Class) compare(o Class) int {
	if order := c.Rank.Compare(o.Rank); order != 0 || c.Returning == o.Returning {
		return order
	}
	if c.Returning {
		return -1
	}
	return 1
}

// DemandKey identifies the demand of one class of requests to a service at the daemons of one data centre.
type DemandKey struct {
	Service, DataCentre string
	Class               Class
}

// Demand is the rate at which requests arrive, refused ones included.
type Demand struct {
	// Requests, Tokens and PromptTokens are per second. Tokens is the memory that the requests need.
	Requests, Tokens, PromptTokens float64
	// TokenSteps is the sum of the products of that memory and the expected number of answer tokens, per second. Each token of
	// an answer is a step, so it tells how much memory is needed for how long.
	TokenSteps float64
}

// With returns the demand with another one added.
func (d Demand) With(o Demand) Demand {
	return Demand{Requests: d.Requests + o.Requests, Tokens: d.Tokens + o.Tokens, PromptTokens: d.PromptTokens + o.PromptTokens, TokenSteps: d.TokenSteps + o.TokenSteps}
}

// without returns the demand with another one taken away, but nothing below 0.
func (d Demand) without(o Demand) Demand {
	return Demand{
		Requests: max(d.Requests-o.Requests, 0), Tokens: max(d.Tokens-o.Tokens, 0), PromptTokens: max(d.PromptTokens-o.PromptTokens, 0),
		TokenSteps: max(d.TokenSteps-o.TokenSteps, 0),
	}
}

func (d Demand) scaled(f float64) Demand {
	return Demand{Requests: d.Requests * f, Tokens: d.Tokens * f, PromptTokens: d.PromptTokens * f, TokenSteps: d.TokenSteps * f}
}

// SiteKey identifies the replicas of a service in one data centre.
type SiteKey struct{ Service, DataCentre string }

// Progress describes the requests that were sent to the replicas of a service in one data centre.
type Progress struct {
	// Pending is the number of requests that wait for their first event, PendingTokens that of their prompt tokens and
	// PendingSeconds the sum of the times for which they have waited.
	Pending, PendingTokens, PendingSeconds float64
	// ReadTokens is the prefill rate: prompt tokens per second of requests that got their first event.
	ReadTokens float64
	// EndedSteps is the expected number of answer tokens per second of requests that ended after a first event, and
	// EndedSeconds the sum of the times from the send to the end, in seconds per second.
	EndedSteps, EndedSeconds float64
}

// With returns the progress with another one added.
func (p Progress) With(o Progress) Progress {
	return Progress{
		Pending: p.Pending + o.Pending, PendingTokens: p.PendingTokens + o.PendingTokens, PendingSeconds: p.PendingSeconds + o.PendingSeconds,
		ReadTokens: p.ReadTokens + o.ReadTokens, EndedSteps: p.EndedSteps + o.EndedSteps, EndedSeconds: p.EndedSeconds + o.EndedSeconds,
	}
}

// without returns the progress with another one taken away, but nothing below 0.
func (p Progress) without(o Progress) Progress {
	return Progress{
		Pending: max(p.Pending-o.Pending, 0), PendingTokens: max(p.PendingTokens-o.PendingTokens, 0),
		PendingSeconds: max(p.PendingSeconds-o.PendingSeconds, 0), ReadTokens: max(p.ReadTokens-o.ReadTokens, 0),
		EndedSteps: max(p.EndedSteps-o.EndedSteps, 0), EndedSeconds: max(p.EndedSeconds-o.EndedSeconds, 0),
	}
}

// Report is what one or several daemons observe. The maps of a report are not changed once it has been made.
type Report struct {
	// Demand is the demand by class, and Progress that of the requests sent, by data centre of the replicas.
	Demand   map[DemandKey]Demand
	Progress map[SiteKey]Progress
	// Refusals has the times at which callers that were refused lately are to come back, by the keys of their requests.
	Refusals map[RefusalKey]time.Time
}

// With returns the report with another one added.
func (r Report) With(o Report) Report {
	return Report{
		Demand:   merge(r.Demand, o.Demand, Demand.With),
		Progress: merge(r.Progress, o.Progress, Progress.With),
		Refusals: merge(r.Refusals, o.Refusals, later),
	}
}

// Sum returns the sum of reports, with at most maxSumRefusals refusals, chosen at random if there are more.
func Sum(reports []Report) Report {
	sum := Report{Demand: map[DemandKey]Demand{}, Progress: map[SiteKey]Progress{}, Refusals: map[RefusalKey]time.Time{}}
	for _, r := range reports {
		add(sum.Demand, r.Demand, Demand.With)
		add(sum.Progress, r.Progress, Progress.With)
		add(sum.Refusals, r.Refusals, later)
	}
	// Go iterates over maps in random order. A refusal is part of several sums, so one that this sum leaves out can be in the next one.
	for key := range sum.Refusals {
		if len(sum.Refusals) <= maxSumRefusals {
			break
		}
		delete(sum.Refusals, key)
	}
	return sum
}

// without returns the report with another one taken away. Refusals are not sums, so all of them stay.
func (r Report) without(o Report) Report {
	return Report{
		Demand:   merge(r.Demand, o.Demand, Demand.without),
		Progress: merge(r.Progress, o.Progress, Progress.without),
		Refusals: r.Refusals,
	}
}

func merge[K comparable, V any](a, b map[K]V, join func(x, y V) V) map[K]V {
	joined := make(map[K]V, len(a)+len(b))
	maps.Copy(joined, a)
	add(joined, b, join)
	return joined
}

// add joins the values of b to those of sum, which it changes.
func add[K comparable, V any](sum, b map[K]V, join func(x, y V) V) {
	for k, v := range b {
		sum[k] = join(sum[k], v)
	}
}
