// Package mangoconn sends HTTP requests to upstreams, each over a connection of its own.
//
// # Usage
//
//	dialer := mangoconn.New()
//	response, err := dialer.Exchange(ctx, address, request, connectTimeout, mangoconn.NewReadWaiter(policy))
//	defer response.Close()
//
// The transport of net/http may repeat a request, and its errors do not say whether bytes were written. This package never
// repeats a request, and an error of KindUnsent proves that no byte of it was sent.
//
// Setting up a connection for each request costs about a millisecond. In return, bytes of an earlier answer cannot be
// mistaken for part of this one, and an unreachable upstream is noticed before the request is sent.
package mangoconn
