// Package mangodaemon assembles the components of an entry host, the daemon that accepts the calls of callers and routes
// them to upstreams. It starts the components, waits for the end of the context and then drains and stops them.
//
// # Usage
//
//	daemon, err := mangodaemon.Initialize(settings, logger)
//	err = daemon.Run(ctx)
package mangodaemon
