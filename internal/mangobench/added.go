package mangobench

import (
	"fmt"
	"io"
	"slices"
	"time"
)

// Quantiles are in milliseconds.
type Quantiles struct{ P50, P95, P99 float64 }

// AddedLatency is what a router adds to a direct run of the same chain.
type AddedLatency struct {
	Router string
	What   string
	Direct Quantiles
	Routed Quantiles
}

// NewAddedLatency compares samples of direct and routed times.
func NewAddedLatency(router, what string, direct, routed []time.Duration) AddedLatency {
	return AddedLatency{Router: router, What: what, Direct: quantiles(direct), Routed: quantiles(routed)}
}

func quantiles(samples []time.Duration) Quantiles {
	if len(samples) == 0 {
		return Quantiles{}
	}
	sorted := slices.Sorted(slices.Values(samples))
	at := func(q float64) float64 {
		return float64(sorted[min(int(q*float64(len(sorted))), len(sorted)-1)].Microseconds()) / 1000
	}
	return Quantiles{P50: at(0.5), P95: at(0.95), P99: at(0.99)}
}

func writeAdded(w io.Writer, all []AddedLatency) error {
	if len(all) == 0 {
		return nil
	}
	_, err := fmt.Fprint(w, "\n| router | time of | direct p50/p95/p99 ms | routed p50/p95/p99 ms | added p50/p95/p99 ms |\n| --- | --- | --- | --- | --- |\n")
	for _, a := range all {
		_, err = fmt.Fprintf(w, "| %s | %s | %.2f / %.2f / %.2f | %.2f / %.2f / %.2f | %.2f / %.2f / %.2f |\n", a.Router, a.What,
			a.Direct.P50, a.Direct.P95, a.Direct.P99, a.Routed.P50, a.Routed.P95, a.Routed.P99,
			a.Routed.P50-a.Direct.P50, a.Routed.P95-a.Direct.P95, a.Routed.P99-a.Direct.P99)
	}
	return err
}
