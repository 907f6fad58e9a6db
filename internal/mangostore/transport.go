package mangostore

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
)

// countedConn counts the bytes passed to the operating system. A request that failed before its first byte had no effect.
type countedConn struct {
	net.Conn
	written atomic.Int64
}

// Write counts the bytes before it writes them, since a failed write may have sent some of them.
func (c *countedConn) Write(p []byte) (int, error) {
	c.written.Add(int64(len(p)))
	return c.Conn.Write(p)
}

// newTransport returns a transport whose connections are countedConns.
func newTransport() *http.Transport {
	dialer := &net.Dialer{Timeout: DefaultTimeout}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &countedConn{Conn: conn}, nil
		},
		MaxConnsPerHost:     maxConnections,
		MaxIdleConnsPerHost: maxConnections,
		IdleConnTimeout:     idleTimeout,
	}
}

// sendTrace records whether bytes of a request may have been sent.
type sendTrace struct {
	mu   sync.Mutex
	conn *countedConn
	// writtenBefore is the count of conn before the request. untracked means that the bytes of the request are not known.
	writtenBefore int64
	untracked     bool
}

// traceSent returns a context whose request is recorded by the returned trace.
func traceSent(ctx context.Context) (context.Context, *sendTrace) {
	s := &sendTrace{}
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: s.gotConn}), s
}

// gotConn records the connection of the request. If the request gets a second one, or one that does not count its bytes,
// it is not known whether it was sent.
func (s *sendTrace) gotConn(info httptrace.GotConnInfo) {
	s.mu.Lock()
	defer s.mu.Unlock()
	conn, ok := info.Conn.(*countedConn)
	if !ok || s.conn != nil {
		s.untracked = true
		return
	}
	s.conn, s.writtenBefore = conn, conn.written.Load()
}

// mayHaveBeenSent reports whether bytes of the request were written or may have been.
func (s *sendTrace) mayHaveBeenSent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.untracked || s.conn != nil && s.conn.written.Load() != s.writtenBefore
}
