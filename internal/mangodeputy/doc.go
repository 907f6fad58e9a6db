// Package mangodeputy lets a daemon place layers while no daemon reaches the store and the holder of the lease is gone.
//
// # Usage
//
//	deputy := mangodeputy.New(self, tenure, state, alone, announce)
//	go func() { ended <- deputy.Run(ctx) }()
//	if fence, ok := deputy.Holds(); ok { ... }
//
// While the store is out of reach for all, the daemon that places layers tells the others so, several times a second. A
// daemon that hears no such claim for a while takes over, the first in the order of names soonest. A deputy orders under
// the fencing number of the last holder. It needs no agreement: each order names the number of orders that the replica is
// to have accepted before, so of two daemons that give orders at the same time only one has its way with a replica, and
// the next holder of the lease has a higher fencing number than both.
package mangodeputy
