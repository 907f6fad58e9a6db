// Package mangodaemon assembles the parts of an entry host and starts and stops them.
//
// # Usage
//
//	daemon, err := mangodaemon.Initialize(settings, logger)
//	err = daemon.Run(ctx)
package mangodaemon
