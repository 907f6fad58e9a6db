// Package mangochange keeps the log of configuration changes in the key-value service. A revision is a position in the log,
// and a mangoprofile.Book is the configuration after all changes up to a revision.
//
// # Usage
//
//	log := mangochange.New(store)
//	revision, err := log.Propose(ctx, change)
//	book, err = log.Poll(ctx, book)
//
// A change is accepted by the compare-and-swap of one key, the head. The head holds the latest changes, the tail, and
// refers to immutable pages that hold the entries as of the head's base revision. Compaction moves the tail to pages.
//
// No operation returns a book at a lower revision than the one it was given. The store and a book have forked when they have
// different changes at the same revision, as when a restored store accepted changes before it was repaired.
package mangochange
