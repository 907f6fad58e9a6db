// Package mangoconn sends one request over one connection to an upstream.
//
// # Usage
//
//	dialer := mangoconn.New()
//	response, err := dialer.Exchange(ctx, address, request, connectTimeout, mangoconn.NewWait(patience))
//	defer response.Close()
//
// The transport of net/http repeats requests on its own and does not tell whether bytes were written. Here an error of
// KindUnsent proves that nothing was sent, and no request is ever repeated.
//
// Each request has a connection of its own. The set-up costs about a millisecond, and in return no bytes of an earlier
// answer can be taken for this one, and a connection that has silently gone dead is found before the request is sent.
package mangoconn
