// Package mangopeer carries the exchange between daemons over drpc.
//
// # Usage
//
//	server := mangopeer.NewServer(handler, mangopeer.SharedKey(key))
//	err := server.Serve(ctx, listener) // returns when ctx ends
//
//	client := mangopeer.NewClient(mangopeer.SharedKey(key))
//	defer client.Close()
//	reply, err := client.Exchange(ctx, address, request)
//
// The functions on books are pure, so that the caller's control goroutine decides with them.
package mangopeer
