// Package mangodelay estimates the time to the first event of a request that is sent to a data centre now.
//
// # Usage
//
//	estimator := mangodelay.New()
//	request := estimator.Begin("service", "data centre", now)
//	request.FirstEvent(now) // or request.End() if there is none
//	wait := estimator.Estimate("service", "data centre", now)
//
// The estimate is the greater of the mean wait of recent requests and the median age of those that still wait. The age
// follows a growing queue at once, before any of its requests has its first event.
package mangodelay
