// Package mangoentry assembles and runs a daemon that serves the platform's requests.
//
// # Usage
//
//	daemon, err := mangoentry.Initialize(settings, logger, logWriter)
//	err = daemon.Run(ctx)
//
// When the context ends, Run drains the daemon. It returns once the running requests have been answered or the grace period
// is over.
package mangoentry
