// Package mangostate keeps what a daemon knows from the platform's store: the configuration, the replicas and the other
// daemons.
//
// # Usage
//
// One control goroutine owns the state and publishes immutable views:
//
//	controller := mangostate.New(feed, board)
//	go func() { ended <- controller.Run(ctx) }()
//	view := controller.View()
//
// A view never goes back to an older configuration.
package mangostate
