// Package mangoduration keeps how long requests take.
//
// # Usage
//
//	tracker := mangoduration.New()
//	tracker.Record("route", took)
//	expected := tracker.Expected("route")
//
// The expected duration of a route is that of its slowest recent requests: it follows a slower request at once, and faster ones
// over some fifty of them. It does not change with time alone.
package mangoduration
