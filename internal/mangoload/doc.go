// Package mangoload is an open-loop load generator for completions and service calls. It measures latency, goodput and
// how calls end for their callers.
//
// # Usage
//
// The plan and its seed determine when each call is sent. Calls do not wait for earlier ones to be answered, and latency is
// measured from the intended send time, so a slow target cannot hide its latency by receiving less load:
//
//	plan, err := mangoload.ReadPlan("plan.json")
//	result := mangoload.New(plan).Run(ctx)
package mangoload
