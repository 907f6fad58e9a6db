// Package mangopeer implements the calls between daemons over drpc: the exchange of control state, the fetch of the
// configuration book, and the state of non-idempotent calls.
//
// # Usage
//
//	server, err := mangopeer.NewServer(handler, mangopeer.SharedKey(key))
//	err = server.Serve(ctx, listener) // returns when ctx ends
//
//	client := mangopeer.NewClient(mangopeer.SharedKey(key))
//	defer client.Close()
//	reply, err := client.Exchange(ctx, address, request)
//
// Delta, Apply and FetchBook change no book. Those that give another book return it, and the caller's control goroutine
// decides whether to put it in force.
package mangopeer
