// Package mangopace finds out which replicas of a split model are slow.
//
// # Usage
//
//	watcher := mangopace.New(state, engines, board, news.Paced, mangopace.WithLogger(logger))
//	go func() { ended <- watcher.Run(ctx) }()
//	watcher.Suspect("model", "zone-a")
//
// Nothing is asked while requests are served in time. A daemon whose requests are slow in a data centre asks the replicas
// there, once in a while for all daemons, and tells the others what it learned. It asks again those that are slow until they
// no longer are.
package mangopace
