// Package mangostore is the client of the platform's key-value service and host list.
//
// # Usage
//
// Components use the interface Store, which the HTTP client, a store with a call budget and a fake implement:
//
//	item, err := store.Get(ctx, "Mangopath/Head")
//	item.Value = next
//	_, err = store.Put(ctx, item)
//
// A write whose reply was lost gives KindUnknown. The caller must read the key to find out whether it took effect.
package mangostore
