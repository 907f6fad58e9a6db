package mangoload

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// arrival is a call at its intended time after the start.
type arrival struct {
	offset   time.Duration
	kind     *CallKind
	customer *Customer
	target   int
	prompt   string
	// key is the idempotency key of a service call.
	idempotencyKey string
}

// schedule returns all calls of the plan in order. It depends only on the plan.
func (p Plan) schedule() []arrival {
	var all []arrival
	for i := range p.Kinds {
		k := &p.Kinds[i]
		random := rand.New(rand.NewPCG(p.Seed, uint64(i)))
		for at := 0.0; ; {
			at += random.ExpFloat64() / (k.Rate * p.Peaks.maxFactor())
			if at >= milliseconds(p.DurationMs).Seconds() {
				break
			}
			if p.Peaks != nil && random.Float64()*p.Peaks.maxFactor() >= p.Peaks.factorAt(at) {
				continue
			}
			all = append(all, arrival{
				offset: time.Duration(at * float64(time.Second)), kind: k, customer: p.pickCustomer(random),
				target: random.IntN(len(p.Targets)), prompt: k.randomPrompt(random),
				idempotencyKey: fmt.Sprintf("load-%d-%016x", p.Seed, random.Uint64()),
			})
		}
	}
	slices.SortStableFunc(all, func(a, b arrival) int { return cmp.Compare(a.offset, b.offset) })
	return all
}

// pickCustomer chooses a customer by share.
func (p Plan) pickCustomer(random *rand.Rand) *Customer {
	total := 0.0
	for _, c := range p.Customers {
		total += c.Share
	}
	remaining := random.Float64() * total
	for i := range p.Customers {
		remaining -= p.Customers[i].Share
		if remaining < 0 {
			return &p.Customers[i]
		}
	}
	return &p.Customers[len(p.Customers)-1]
}

// randomPrompt returns random words after the prefix of a random group.
func (k *CallKind) randomPrompt(random *rand.Rand) string {
	var words []string
	if k.Prefixes > 0 {
		prefixRandom := rand.New(rand.NewPCG(uint64(random.IntN(k.Prefixes)), 1))
		for range min(k.PrefixWords, k.PromptWords) {
			words = append(words, fmt.Sprintf("p%d", prefixRandom.IntN(5000)))
		}
	}
	for len(words) < k.PromptWords {
		words = append(words, fmt.Sprintf("w%d", random.IntN(5000)))
	}
	return strings.Join(words, " ")
}
