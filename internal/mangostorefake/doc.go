// Package mangostorefake is an in-memory key-value service with injected faults, for tests.
//
// # Usage
//
//	store := mangostorefake.New()
//	store.LoseReplies(1)
//	_, err := store.Put(ctx, item) // KindUnknown, but the value is written
//
// Before sets a function that runs before each call and may itself call the store, which places a competing write at
// a chosen moment.
package mangostorefake
