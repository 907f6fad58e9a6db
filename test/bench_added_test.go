package test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"mangopath.org/mangopath/internal/mangobench"
	"mangopath.org/mangopath/internal/mangoupstream"
	"mangopath.org/mangopath/pkg/mangomessage"
)

const (
	// addedLatencyCalls is the number of calls on each path, addedLatencyTokens the tokens of each call.
	addedLatencyCalls  = 60
	addedLatencyTokens = 24
)

// waitEntriesServing waits until each entry host answers a completion with the key of the deployment's first customer.
func (f *benchFleet) waitEntriesServing() {
	f.t.Helper()
	plan := f.deployment.LoadPlan(nil, 1, f.loadShape())
	for _, e := range f.entryHosts {
		eventually(f.t, startTimeout, e.name+" serves", func() bool {
			a := requestCompletionAs(context.Background(), "http://"+e.callerAddress, plan.Customers[0].Key, plan.Kinds[0].Profile, "warm up", 2)
			return a.err == nil && a.completed
		})
	}
}

// benchAddedLatency measures the latency that an entry host adds: it alternates between calls through the entry host and
// the same steps sent directly to the only chain, one call at a time. Engine steps take 2 ms to keep the timer error of
// the engines small against the added latency.
func benchAddedLatency(t *testing.T, report *mangobench.Report) {
	f := newFleet(t)
	e := f.startEntryHost("a-entry", "nieuwegein")
	var chain []string
	for i := range 3 {
		from, to := stageLayers(i)
		chain = append(chain, f.startEngine(engineSpec{
			name: fmt.Sprintf("added-%d", i), centre: "nieuwegein", version: "v1", from: from, to: to,
			flags: []string{"--step-time", "2ms", "--trace-lines", "0"},
		}))
	}
	f.publishHostList()
	f.declareStandardProfiles()
	f.waitServing("tekst")
	var calls, tokens [2][]time.Duration
	for i := range addedLatencyCalls {
		began := time.Now()
		times, err := runWithoutRouter(chain, fmt.Sprintf("direct-%d", i))
		if err != nil {
			t.Fatal(err)
		}
		calls[0] = append(calls[0], times[0].Sub(began))
		tokens[0] = append(tokens[0], tokenGaps(times)...)
		began = time.Now()
		a := requestCompletion(context.Background(), e, "tekst", "a calm young dog", addedLatencyTokens)
		if a.err != nil || len(a.tokenTimes) != addedLatencyTokens {
			t.Fatalf("answer through the entry host: %+v", a)
		}
		calls[1] = append(calls[1], a.tokenTimes[0].Sub(began))
		tokens[1] = append(tokens[1], tokenGaps(a.tokenTimes)...)
	}
	report.Added = append(report.Added,
		mangobench.NewAddedLatency("mangopath", "request, to its first token", calls[0], calls[1]),
		mangobench.NewAddedLatency("mangopath", "token after the first", tokens[0], tokens[1]))
}

// tokenGaps returns the time between each token and the next.
func tokenGaps(times []time.Time) []time.Duration {
	var all []time.Duration
	for i := 1; i < len(times); i++ {
		all = append(all, times[i].Sub(times[i-1]))
	}
	return all
}

// runWithoutRouter opens a stream to each engine of the chain, runs one call step by step and returns the arrival times of
// its tokens.
func runWithoutRouter(chain []string, call string) ([]time.Time, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	client := mangoupstream.New()
	var streams []mangoupstream.Stream
	for i, at := range chain {
		from, to := stageLayers(i)
		s, _, err := client.Open(ctx, at, &mangomessage.Open{
			Call: call, Attempt: 1, Model: "tekst-model", Version: "v1", FromLayer: uint32(from), ToLayer: uint32(to),
		})
		if err != nil {
			return nil, err
		}
		defer func() { _ = s.Close() }()
		streams = append(streams, s)
	}
	var times []time.Time
	next := &mangomessage.Step{Text: "a calm young dog"}
	position := uint32(0)
	for range addedLatencyTokens {
		var result *mangomessage.StepResult
		for i, s := range streams {
			from, to := stageLayers(i)
			next.Call, next.Attempt, next.Version, next.Position = call, 1, "v1", position
			next.FromLayer, next.ToLayer = uint32(from), uint32(to)
			var err error
			if result, err = s.Step(ctx, next); err != nil {
				return nil, err
			}
			next = &mangomessage.Step{Count: result.GetCount(), Hidden: result.GetHidden()}
		}
		position += result.GetCount()
		next = &mangomessage.Step{Count: 1, Tokens: []uint32{result.GetToken()}}
		times = append(times, time.Now())
	}
	return times, nil
}
