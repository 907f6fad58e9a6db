package mangobench

import (
	"fmt"
	"io"
	"slices"
	"time"
)

// Quantiles are quantiles of a duration in milliseconds.
type Quantiles struct{ P50, P95, P99 float64 }

// AddedLatency compares durations through a router with those of direct calls of the same chain of replicas.
type AddedLatency struct {
	Router string
	// What says which duration was measured.
	What   string
	Direct Quantiles
	Routed Quantiles
}

// NewAddedLatency compares samples of direct and routed durations.
func NewAddedLatency(router, what string, direct, routed []time.Duration) AddedLatency {
	return AddedLatency{Router: router, What: what, Direct: quantiles(direct), Routed: quantiles(routed)}
}

// quantiles returns the quantiles of samples, or zeros if there are none.
func quantiles(samples []time.Duration) Quantiles {
	if len(samples) == 0 {
		return Quantiles{}
	}
	sorted := slices.Sorted(slices.Values(samples))
	quantile := func(q float64) float64 {
		return float64(sorted[min(int(q*float64(len(sorted))), len(sorted)-1)].Microseconds()) / 1000
	}
	return Quantiles{P50: quantile(0.5), P95: quantile(0.95), P99: quantile(0.99)}
}

// writeAddedLatency writes the comparisons as a Markdown table, or nothing if there are none.
func writeAddedLatency(w io.Writer, all []AddedLatency) error {
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
