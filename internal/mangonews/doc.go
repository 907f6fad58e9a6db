// Package mangonews tells the other daemons at once what concerns all of them: replicas that were lost, requests that may
// crash replicas, layers that replicas hold or were ordered to hold, and who places layers while nobody reaches the store.
//
// # Usage
//
//	news := mangonews.New(self, client, state, board, suspects)
//	go func() { ended <- news.Run(ctx) }()
//	news.Announce(outage)
//
// Each daemon is told by a goroutine of its own, so that one that does not answer delays no other.
// News is also the handler of the peers' server. News that a daemon has from another one is not told again.
package mangonews
