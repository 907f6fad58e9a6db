package mangoload

import (
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/pkg/errors"

	"mangopath.org/mangopath/internal/mangoengine"
)

// Customer is a customer in whose name a share of the calls is sent.
type Customer struct {
	Name string
	// Key is the API key.
	Key string
	// Share is the weight in the random choice of a call's customer; 0 means 1.
	Share float64
}

// ExpectedModel is a model whose fault-free answers are accepted.
type ExpectedModel struct {
	mangoengine.Model
	// Layers is the number of layers of the model.
	Layers uint32
}

// CallKind describes a stream of similar calls with its rate.
type CallKind struct {
	Name string
	// Profile is the profile or alias that is called.
	Profile string
	// Service is true for calls of the profile's plain service, false for completions.
	Service bool
	// Path is the part of a service call's URL path after the profile.
	Path string
	// Rate is the mean number of calls per second; arrivals are a Poisson process.
	Rate float64
	// PromptWords is the number of words in a prompt or in the text of a service call.
	PromptWords int
	// PrefixWords is the number of words at the start of a prompt that are shared by a group of prompts; Prefixes is the
	// number of groups.
	PrefixWords int
	Prefixes    int
	MaxTokens   int
	// Unary asks for the completion in one reply instead of a stream.
	Unary bool
	// DeadlineMs is the deadline in milliseconds after the intended time.
	DeadlineMs int64
	// Weight is what a call that is answered on time adds to the goodput; 0 means 1.
	Weight float64
	// Expected are the models whose answers are accepted; without any the text is not checked. A run during which an alias
	// switches to another model needs both.
	Expected []ExpectedModel
}

// RetryPolicy bounds how often a call with the outcome NotRun is sent again, with the same idempotency key.
type RetryPolicy struct {
	// Max is the number of retries of a call; 0 means none.
	Max int
	// PauseMs is the shortest pause before a retry; a longer one that the reply asks for takes precedence.
	PauseMs int64
}

// Peaks are bursts at regular intervals. The rates of the kinds stay the means: the rate outside the peaks is lowered to
// compensate.
type Peaks struct {
	PeriodMs int64
	// LengthMs is the duration of the peak at the beginning of each period.
	LengthMs int64
	// Factor is the ratio of the rate during a peak to the mean rate. LengthMs times Factor must not exceed PeriodMs, since
	// the rate outside the peaks cannot be negative.
	Factor float64
}

// Plan describes the load of a run: which calls are sent to which targets, for how long and at which rates.
type Plan struct {
	// Targets are base URLs. A call goes to a random one, and to the next one when the connection is refused.
	Targets   []string
	Customers []Customer
	Kinds     []CallKind
	// WarmupMs at the beginning and CooldownMs at the end of DurationMs are excluded from the counts. A cool-down as long as
	// the deadlines excludes the calls that finish in an otherwise idle fleet.
	WarmupMs   int64
	CooldownMs int64
	DurationMs int64
	// Peaks vary the load around the mean rates; nil means constant rates.
	Peaks *Peaks
	// GraceMs is the time after its deadline at which a call is abandoned; 0 means 2 s.
	GraceMs int64
	Seed    uint64
	Retry   RetryPolicy
	// MaxInFlight bounds the number of concurrent calls; further ones count as Unsent. 0 means 20000.
	MaxInFlight int
}

// ReadPlan reads a plan from a JSON file, validates it and sets the defaults.
func ReadPlan(path string) (Plan, error) {
	var p Plan
	data, err := os.ReadFile(path)
	if err != nil {
		return p, errors.Wrap(err, "read plan")
	}
	if err := json.Unmarshal(data, &p); err != nil {
		return p, errors.Wrap(err, path)
	}
	return p.withDefaults(), errors.Wrap(p.validate(), path)
}

func (p Plan) validate() error {
	switch {
	case len(p.Targets) == 0:
		return errors.New("Targets is empty and must hold at least one URL")
	case len(p.Customers) == 0:
		return errors.New("Customers is empty and must hold at least one entry")
	case len(p.Kinds) == 0:
		return errors.New("Kinds is empty and must hold at least one entry")
	case p.DurationMs <= p.WarmupMs+p.CooldownMs:
		return fmt.Errorf("DurationMs is %d and must be above the sum of WarmupMs %d and CooldownMs %d", p.DurationMs, p.WarmupMs, p.CooldownMs)
	case p.Peaks != nil && !p.Peaks.isValid():
		return errors.New("Peaks must have LengthMs from 1 to below PeriodMs and Factor from 1 to PeriodMs/LengthMs")
	}
	for _, k := range p.Kinds {
		switch {
		case k.Name == "" || k.Profile == "":
			return errors.New("a kind lacks its Name or Profile")
		case k.Rate <= 0:
			return fmt.Errorf("kind %s: Rate is %v and must be above 0", k.Name, k.Rate)
		case k.DeadlineMs <= 0:
			return fmt.Errorf("kind %s: DeadlineMs is %d and must be above 0", k.Name, k.DeadlineMs)
		case !k.Service && k.MaxTokens <= 0:
			return fmt.Errorf("kind %s: MaxTokens is %d and must be above 0", k.Name, k.MaxTokens)
		}
	}
	return nil
}

func (p Plan) withDefaults() Plan {
	if p.GraceMs == 0 {
		p.GraceMs = 2000
	}
	if p.MaxInFlight == 0 {
		p.MaxInFlight = 20000
	}
	kinds := append([]CallKind(nil), p.Kinds...)
	for i := range kinds {
		if kinds[i].Weight == 0 {
			kinds[i].Weight = 1
		}
	}
	p.Kinds = kinds
	customers := append([]Customer(nil), p.Customers...)
	for i := range customers {
		if customers[i].Share == 0 {
			customers[i].Share = 1
		}
	}
	p.Customers = customers
	return p
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
