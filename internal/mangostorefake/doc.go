// Package mangostorefake is an in-memory fake of the platform's key-value service and host list, with fault injection for
// tests.
//
// # Usage
//
//	store := mangostorefake.New()
//	store.LoseReplies(1)
//	_, err := store.Put(ctx, item) // KindUnknown, but the value is written
//
// SetBeforeCall sets a function that runs before each call and may itself call the store. Tests use it to make a competing
// write between two calls of the code under test.
package mangostorefake
