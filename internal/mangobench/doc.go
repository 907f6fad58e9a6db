// Package mangobench holds the parts of the end-to-end benchmark that need no running processes: the fleets of the example
// deployments, their load plans and throughput bounds, and the tables and plots of the results.
//
// # Usage
//
//	speed := mangobench.EngineSpeed{MaxBatch: 4, StepTime: 30 * time.Millisecond}
//	d, err := mangobench.ReadDeployment("examples/isartal", speed)
//	plan := d.LoadPlan(targets, 1.5, mangobench.LoadShape{})
package mangobench
