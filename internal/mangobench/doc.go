// Package mangobench has what the benchmark of the whole path needs besides processes: fleets of the example
// deployments, load plans, the throughput bound, tables and plots.
//
// # Usage
//
//	d, err := mangobench.ReadDeployment("examples/isartal", mangobench.Engine{MaxBatch: 4, Step: 30 * time.Millisecond})
//	plan := d.Plan(targets, 1.5)
package mangobench
