package mangostore

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
)

// countedConn counts the bytes that were handed to the operating system, so that a request which failed before its
// first byte is known to have had no effect.
type countedConn struct {
	net.Conn
	written atomic.Int64
}

// Write counts before it writes, since a failed write may have sent a part.
func (c *countedConn) Write(p []byte) (int, error) {
	c.written.Add(int64(len(p)))
	return c.Conn.Write(p)
}

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

// sendTrace records whether a request may have reached the service.
type sendTrace struct {
	mu            sync.Mutex
	conn          *countedConn
	writtenBefore int64
	untracked     bool
}

func traceSent(ctx context.Context) (context.Context, *sendTrace) {
	s := &sendTrace{}
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: s.gotConn}), s
}

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

func (s *sendTrace) mayHaveBeenSent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.untracked || s.conn != nil && s.conn.written.Load() != s.writtenBefore
}
