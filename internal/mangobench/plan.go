package mangobench

import (
	"maps"
	"math"
	"slices"

	"mangopath.org/mangopath/internal/mangoengine"
	"mangopath.org/mangopath/internal/mangoload"
	"mangopath.org/mangopath/pkg/mangomessage"
)

const (
	// tokenScale and deadlineScale shorten the answers and deadlines of the book, so that a call lasts up to three
	// seconds and a run of ten seconds is long beside it.
	tokenScale    = 20
	deadlineScale = 10
	// smallShare is the part of the bound that each small customer asks for at any load; its fair share at weight 1 of
	// 24 to 25 is 4%.
	smallShare = 0.02
	// serviceRate is the rate of each kind of service calls per second; they use no engines and stay the same at any load.
	serviceRate = 4

	warmupMs, countedMs, cooldownMs = 2000, 5000, 3500
	planSeed                        = 20261204
)

// LoadShape is how the load varies around its mean.
type LoadShape struct {
	// Peaks are mangoload's; nil means a steady load.
	Peaks *mangoload.Peaks
}

// LoadPlan returns the load at a multiple of the bound on completions.
func (d *Deployment) LoadPlan(targets []string, multiple float64, shape LoadShape) mangoload.Plan {
	plan := mangoload.Plan{
		Targets: targets, Customers: d.shares(multiple), WarmupMs: warmupMs, CooldownMs: cooldownMs,
		DurationMs: warmupMs + countedMs + cooldownMs, GraceMs: 500, Seed: planSeed, Peaks: shape.Peaks,
	}
	calls := d.ThroughputBound() * multiple / d.meanTokens()
	completions := d.aliases("completion")
	for _, name := range slices.Sorted(maps.Keys(completions)) {
		p := completions[name]
		plan.Kinds = append(plan.Kinds, mangoload.CallKind{
			Name: name, Profile: name, Rate: calls / float64(len(completions)), PromptWords: 10, MaxTokens: tokens(p),
			DeadlineMs: int64(p.DeadlineMs) / deadlineScale, Weight: float64(p.Weight), Expected: d.expected(),
		})
	}
	services := d.aliases("service")
	for _, name := range slices.Sorted(maps.Keys(services)) {
		plan.Kinds = append(plan.Kinds, mangoload.CallKind{
			Name: name, Profile: name, Service: true, Path: "calls", Rate: serviceRate, PromptWords: 10,
			DeadlineMs: int64(services[name].DeadlineMs), Weight: float64(services[name].Weight),
		})
	}
	return plan
}

func (d *Deployment) expected() []mangoload.ExpectedModel {
	model := mangoengine.Model{Name: d.ModelProfile.Model, Version: d.ModelProfile.Version, Adapters: d.ModelProfile.Adapters}
	return []mangoload.ExpectedModel{{Model: model, Layers: d.ModelProfile.Layers}}
}

func tokens(p *mangomessage.Profile) int { return max(int(p.MaxTokens)/tokenScale, 1) }

// meanTokens is that of all kinds of completions, which are equally frequent.
func (d *Deployment) meanTokens() float64 {
	sum, completions := 0, d.aliases("completion")
	for _, p := range completions {
		sum += tokens(p)
	}
	return float64(sum) / math.Max(float64(len(completions)), 1)
}

// shares lets small customers keep their rate; the large ones cause the overload, by their weights in the book.
func (d *Deployment) shares(multiple float64) []mangoload.Customer {
	large, left := 0.0, multiple
	for _, c := range d.Customers {
		if d.IsSmallCustomer(c.Name) {
			left -= smallShare
		} else {
			large += float64(c.Weight)
		}
	}
	var customers []mangoload.Customer
	for _, c := range d.Customers {
		share := smallShare
		if !d.IsSmallCustomer(c.Name) {
			share = left * float64(c.Weight) / large
		}
		customers = append(customers, mangoload.Customer{Name: c.Name, Key: testKey(c.Name), Share: share})
	}
	return customers
}
