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
	at       time.Duration
	kind     *CallKind
	customer *Customer
	target   int
	prompt   string
	// key is the idempotency key of a service call.
	key string
}

// schedule returns all calls of the plan in order. It depends only on the plan.
func (p Plan) schedule() []arrival {
	var all []arrival
	for i := range p.Kinds {
		k := &p.Kinds[i]
		random := rand.New(rand.NewPCG(p.Seed, uint64(i)))
		for at := 0.0; ; {
			at += random.ExpFloat64() / (k.Rate * p.Peaks.most())
			if at >= milliseconds(p.DurationMs).Seconds() {
				break
			}
			if p.Peaks != nil && random.Float64()*p.Peaks.most() >= p.Peaks.factor(at) {
				continue
			}
			all = append(all, arrival{
				at: time.Duration(at * float64(time.Second)), kind: k, customer: p.pick(random),
				target: random.IntN(len(p.Targets)), prompt: k.prompt(random),
				key: fmt.Sprintf("load-%d-%016x", p.Seed, random.Uint64()),
			})
		}
	}
	slices.SortStableFunc(all, func(a, b arrival) int { return cmp.Compare(a.at, b.at) })
	return all
}

// pick chooses a customer by share.
func (p Plan) pick(random *rand.Rand) *Customer {
	total := 0.0
	for _, c := range p.Customers {
		total += c.Share
	}
	left := random.Float64() * total
	for i := range p.Customers {
		left -= p.Customers[i].Share
		if left < 0 {
			return &p.Customers[i]
		}
	}
	return &p.Customers[len(p.Customers)-1]
}

// prompt returns random words after the prefix of a random group.
func (k *CallKind) prompt(random *rand.Rand) string {
	var words []string
	if k.Prefixes > 0 {
		group := rand.New(rand.NewPCG(uint64(random.IntN(k.Prefixes)), 1))
		for range min(k.PrefixWords, k.PromptWords) {
			words = append(words, fmt.Sprintf("p%d", group.IntN(5000)))
		}
	}
	for len(words) < k.PromptWords {
		words = append(words, fmt.Sprintf("w%d", random.IntN(5000)))
	}
	return strings.Join(words, " ")
}
