// Package mangonews tells the other daemons at once what concerns all of them: replicas that were lost and requests that
// may crash replicas.
//
// # Usage
//
//	news := mangonews.New(self, address, client, state, board, suspects)
//	go func() { ended <- news.Run(ctx) }()
//	news.Announce(outage)
//
// News is also the handler of the peers' server. News that a daemon has from another one is not told again.
package mangonews
