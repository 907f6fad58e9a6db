// Package mangodeputy elects a daemon that places layers while no daemon reaches the store and the holder of the placement
// lease is gone.
//
// # Usage
//
//	deputy := mangodeputy.New(self, lease, state, storeUnreachable, announce)
//	go func() { ended <- deputy.Run(ctx) }()
//	if fence, ok := deputy.Holds(); ok { ... }
//
// While the store is unreachable for all daemons, the daemon that places layers sends a claim to the others several times a
// second. A daemon that receives no claim for some time becomes the deputy; the first in the order of names waits the
// shortest. A deputy gives orders under the fencing number of the last lease holder.
//
// Two deputies at the same time do no harm, so that the election needs no consensus. Each order names the number of orders
// that the replica must have accepted before it, so that a replica accepts the order of only one of them. The next holder
// of the lease has a higher fencing number than both.
package mangodeputy
