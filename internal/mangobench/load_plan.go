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
	// tokenScale and deadlineScale divide the token limits and deadlines of the profiles. Calls then last up to three
	// seconds, which is short compared with a run of ten seconds.
	tokenScale    = 20
	deadlineScale = 10
	// smallCustomerShare is the share of the throughput bound that each small customer requests at any load. It is below the
	// customer's fair share of 4% (weight 1 of a sum of 24 to 25).
	smallCustomerShare = 0.02
	// serviceRate is the number of calls per second of each service. Service calls use no engines, so their rate is the same
	// at any load.
	serviceRate = 4

	warmupMs, countedMs, cooldownMs = 2000, 5000, 3500
	planSeed                        = 20261204
)

// LoadShape describes how the load varies around its mean.
type LoadShape struct {
	// Peaks are the bursts of the load plan; nil means a constant load.
	Peaks *mangoload.Peaks
}

// LoadPlan returns a plan whose completions request the given multiple of the throughput bound in tokens per second. The
// rate of service calls does not depend on it.
func (d *Deployment) LoadPlan(targets []string, multiple float64, shape LoadShape) mangoload.Plan {
	plan := mangoload.Plan{
		Targets: targets, Customers: d.customerShares(multiple), WarmupMs: warmupMs, CooldownMs: cooldownMs,
		DurationMs: warmupMs + countedMs + cooldownMs, GraceMs: 500, Seed: planSeed, Peaks: shape.Peaks,
	}
	callRate := d.ThroughputBound() * multiple / d.meanMaxTokens()
	completions := d.profilesByAlias("completion")
	for _, name := range slices.Sorted(maps.Keys(completions)) {
		p := completions[name]
		plan.Kinds = append(plan.Kinds, mangoload.CallKind{
			Name: name, Profile: name, Rate: callRate / float64(len(completions)), PromptWords: 10, MaxTokens: scaledMaxTokens(p),
			DeadlineMs: int64(p.DeadlineMs) / deadlineScale, Weight: float64(p.Weight), Expected: d.expectedModels(),
		})
	}
	services := d.profilesByAlias("service")
	for _, name := range slices.Sorted(maps.Keys(services)) {
		plan.Kinds = append(plan.Kinds, mangoload.CallKind{
			Name: name, Profile: name, Service: true, Path: "calls", Rate: serviceRate, PromptWords: 10,
			DeadlineMs: int64(services[name].DeadlineMs), Weight: float64(services[name].Weight),
		})
	}
	return plan
}

// expectedModels returns the model of the deployment, whose answers are the right ones.
func (d *Deployment) expectedModels() []mangoload.ExpectedModel {
	model := mangoengine.Model{Name: d.ModelProfile.Model, Version: d.ModelProfile.Version, Adapters: d.ModelProfile.Adapters}
	return []mangoload.ExpectedModel{{Model: model, Layers: d.ModelProfile.Layers}}
}

// scaledMaxTokens returns the token limit of a profile's calls in the benchmark.
func scaledMaxTokens(p *mangomessage.Profile) int { return max(int(p.MaxTokens)/tokenScale, 1) }

// meanMaxTokens returns the mean token limit of the completions; all their kinds are equally frequent.
func (d *Deployment) meanMaxTokens() float64 {
	sum, completions := 0, d.profilesByAlias("completion")
	for _, p := range completions {
		sum += scaledMaxTokens(p)
	}
	return float64(sum) / math.Max(float64(len(completions)), 1)
}

// customerShares returns the customers with their shares of the load. The rate of small customers is the same at any
// load; the large ones share the rest by their weights in the book and so cause the overload.
func (d *Deployment) customerShares(multiple float64) []mangoload.Customer {
	largeWeight, remainingShare := 0.0, multiple
	for _, c := range d.Customers {
		if d.IsSmallCustomer(c.Name) {
			remainingShare -= smallCustomerShare
		} else {
			largeWeight += float64(c.Weight)
		}
	}
	var customers []mangoload.Customer
	for _, c := range d.Customers {
		share := smallCustomerShare
		if !d.IsSmallCustomer(c.Name) {
			share = remainingShare * float64(c.Weight) / largeWeight
		}
		customers = append(customers, mangoload.Customer{Name: c.Name, Key: testAPIKey(c.Name), Share: share})
	}
	return customers
}
