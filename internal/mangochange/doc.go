// Package mangochange keeps the log of configuration changes in the key-value service.
//
// # Usage
//
//	log := mangochange.New(store)
//	revision, err := log.Propose(ctx, change)
//	book, err = log.Poll(ctx, book)
//
// A change is accepted by the compare-and-swap of one key, the head. The head holds the latest changes and refers to
// immutable pages that hold the rest. No operation yields a book older than the one it was given.
package mangochange
