// Package mangostate follows the platform's store and holds what a daemon knows from it: the configuration, the replicas
// and the other daemons.
//
// # Usage
//
// The goroutine of Controller.Run owns the state and publishes immutable views:
//
//	controller := mangostate.New(feed, health)
//	go func() { ended <- controller.Run(ctx) }()
//	view := controller.View()
//
// A later view never has an older configuration than an earlier one.
package mangostate
