// Package mangotenure holds a key of the store under a lease.
//
// # Usage
//
// Daemons that compete for a duty run a Tenure on the same key; the revision of the key is the fencing number of its
// holder:
//
//	tenure := mangotenure.New(store, "mangopath/placement", owner, lookup, mangotenure.WithLifetime(2*time.Second))
//	go func() { ended <- tenure.Run(ctx) }()
//	if fence, ok := tenure.Holds(); ok { ... }
//
// A key that only one daemon writes announces that daemon for as long as it lives.
package mangotenure
