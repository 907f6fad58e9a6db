// Package mangoload is an open-loop load generator for completions and service calls.
//
// # Usage
//
// Calls are sent at times that a plan and its seed fix, whether or not earlier ones have been answered, and latency
// counts from the intended time:
//
//	plan, err := mangoload.ReadPlan("plan.json")
//	result := mangoload.New(plan).Run(ctx)
package mangoload
