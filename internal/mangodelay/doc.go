// Package mangodelay estimates how long a request that is sent now waits for its first event.
//
// # Usage
//
//	delays := mangodelay.New()
//	send := delays.Begin("service", "data centre", now)
//	send.First(now) // or send.End()
//	wait := delays.Estimate("service", "data centre", now)
//
// The estimate is the greater of what requests waited lately and of the age of those that still wait. The second one
// follows a growing queue at once, before any of its requests has its first event.
package mangodelay
