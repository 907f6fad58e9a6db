// Package mangoconn sends HTTP requests to upstreams, each over a new connection or over one that was kept.
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
// mistaken for part of this one, and an unreachable upstream is noticed before the request is sent. A request that may be
// repeated can do without both:
//
//	pool := mangoconn.NewPool(dialer, mangoconn.WithUsable(usable), mangoconn.WithQuota(quota))
//	response, idle, err := pool.ExchangeKept(ctx, endpoint, request, waiter)
//	if errors.Is(err, mangoconn.ErrNoneIdle) {
//		response, err = pool.ExchangeNew(ctx, endpoint, request, connectTimeout, waiter)
//	}
//	defer response.Close()
//	if belongsTo(response, request) {
//		response.AllowReuse()
//	}
//
// A pool keeps a connection only after AllowReuse, and after a complete answer with a length or chunks that nothing follows.
// A watcher closes an idle connection that ends, expires or receives bytes, or whose replica must not be used any more.
package mangoconn
