// Package mangostore is the client of the platform's key-value service and host list.
//
// # Usage
//
// Components take a Store and never know whether it is the HTTP client, a budgeted one or a fake:
//
//	item, err := store.Get(ctx, "Mangopath/Head")
//	item.Value = next
//	_, err = store.Put(ctx, item)
//
// A write whose reply was lost gives KindUnknown; the caller reads the key back before it decides what happened.
package mangostore
