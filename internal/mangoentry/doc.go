// Package mangoentry assembles and runs a daemon that serves the platform's requests.
//
// # Usage
//
//	daemon, err := mangoentry.Initialize(settings, logger, lines)
//	err = daemon.Run(ctx)
//
// Run returns once the context has ended and running requests have been answered or the grace period is over.
package mangoentry
