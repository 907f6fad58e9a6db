// Package mangolease keeps a key of the store under a lease, for leader election and for announcing daemons.
//
// # Usage
//
// Daemons that compete for a duty each run a LeasedKey on the same key. The daemon that writes the key first holds it, and
// the version of the key is its fencing number:
//
//	key := mangolease.New(store, "mangopath/placement", owner, lookup, mangolease.WithLifetime(2*time.Second))
//	go func() { ended <- key.Run(ctx) }()
//	if fence, ok := key.Holds(); ok { ... }
//
// A key that only one daemon writes announces that daemon to the others: it vanishes with the lease when the daemon ends.
package mangolease
