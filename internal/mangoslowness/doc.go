// Package mangoslowness finds the replicas of a split model that are slow.
//
// # Usage
//
//	detector := mangoslowness.New(state, engines, health, broadcaster.AnnouncePace, mangoslowness.WithLogger(logger))
//	go func() { ended <- detector.Run(ctx) }()
//	detector.ReportSlow("model", "zone-a")
//
// A replica's slowness is the time of its decode steps in units of the usual one. No replica is probed while requests are
// served in time. A daemon whose requests are slow in a data centre probes the replicas there and sends the results to the
// other daemons, which then don't probe for a while. It probes slow replicas again until they no longer are.
package mangoslowness
