package mangoload

import (
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/pkg/errors"

	"mangopath.org/mangopath/internal/mangoengine"
)

// Customer sends a share of the calls.
type Customer struct {
	Name string
	Key  string
	// Share is relative to the other customers; 0 means 1.
	Share float64
}

// ExpectedModel is a model whose fault-free answer is accepted.
type ExpectedModel struct {
	mangoengine.Model
	Layers uint32
}

// CallKind is a sort of calls.
type CallKind struct {
	Name    string
	Profile string
	// Service sends calls to the plain service of the profile instead of completions.
	Service bool
	// Path is the rest of the path of a service call.
	Path string
	// Rate is in calls per second; arrivals are a Poisson process.
	Rate float64
	// PromptWords is the length of a prompt or of a service call's body.
	PromptWords int
	// PrefixWords of a prompt are the same for all prompts of a group, and Prefixes is the number of groups.
	PrefixWords int
	Prefixes    int
	MaxTokens   int
	// Unary asks for the whole completion in one reply instead of a stream.
	Unary bool
	// DeadlineMs counts from the intended time.
	DeadlineMs int64
	// Weight is the value of a call that is answered whole and on time; 0 means 1.
	Weight float64
	// Expected models of a completion; without any the text is not checked. A switch of profiles during the run needs two.
	Expected []ExpectedModel
}

// RetryPolicy lets the caller send a NotRun call again with the same idempotency key.
type RetryPolicy struct {
	// Max is the number of retries of a call; 0 means none.
	Max int
	// PauseMs is the time before a retry when the reply states none.
	PauseMs int64
}

// Peaks are bursts at regular times. The rates of the kinds are means: outside the peaks there are as many fewer calls.
type Peaks struct {
	PeriodMs int64
	// LengthMs of each period, from its beginning, is the peak.
	LengthMs int64
	// Factor of the mean rate during a peak; LengthMs times Factor may not be above PeriodMs.
	Factor float64
}

// Plan says what to send.
type Plan struct {
	// Targets are base URLs; a call goes to one at random, and to the next one when a connection is refused.
	Targets   []string
	Customers []Customer
	Kinds     []CallKind
	// WarmupMs at the beginning and CooldownMs at the end of DurationMs are not counted. A cool-down as long as the
	// deadlines keeps calls that finish in an idle fleet out of the counts.
	WarmupMs   int64
	CooldownMs int64
	DurationMs int64
	// Peaks vary the load around the rates; nil means steady rates.
	Peaks *Peaks
	// GraceMs past its deadline a call is abandoned; 0 means 2 s.
	GraceMs int64
	Seed    uint64
	Retry   RetryPolicy
	// MaxInFlight bounds the calls at a time; further ones count as Unsent. 0 means 20000.
	MaxInFlight int
}

// ReadPlan reads a JSON file and checks it.
func ReadPlan(path string) (Plan, error) {
	var p Plan
	data, err := os.ReadFile(path)
	if err != nil {
		return p, errors.Wrap(err, "read plan")
	}
	if err := json.Unmarshal(data, &p); err != nil {
		return p, errors.Wrap(err, path)
	}
	return p.withDefaults(), errors.Wrap(p.check(), path)
}

func (p Plan) check() error {
	switch {
	case len(p.Targets) == 0:
		return errors.New("Targets must have a URL")
	case len(p.Customers) == 0:
		return errors.New("Customers must have an entry")
	case len(p.Kinds) == 0:
		return errors.New("Kinds must have an entry")
	case p.DurationMs <= p.WarmupMs+p.CooldownMs:
		return fmt.Errorf("DurationMs is %d and must be above WarmupMs %d and CooldownMs %d together", p.DurationMs, p.WarmupMs, p.CooldownMs)
	case p.Peaks != nil && !p.Peaks.valid():
		return errors.New("Peaks must have LengthMs from 1 to below PeriodMs and Factor from 1 to PeriodMs/LengthMs")
	}
	for _, k := range p.Kinds {
		switch {
		case k.Name == "" || k.Profile == "":
			return errors.New("Name and Profile of a kind must be set")
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
