package mangofault

import (
	"context"
	"net"
	"sync"
	"time"
)

const (
	// chunkSize is the largest number of bytes that are passed on at once.
	chunkSize = 16 << 10
	// chunksInFlight bounds the bytes that a delayed direction holds.
	chunksInFlight = 64
)

// link is a connection of a caller with its connection to the target.
type link struct {
	proxy  *Proxy
	cancel context.CancelFunc
	once   sync.Once
	frozen chan struct{}
}

func (l *link) freeze() { l.once.Do(func() { close(l.frozen) }) }

func (l *link) isFrozen() bool {
	select {
	case <-l.frozen:
		return true
	default:
		return false
	}
}

// chunk is bytes with the time at which they are due.
type chunk struct {
	data []byte
	due  time.Time
}

// copy passes the bytes of one direction on. An end of input ends only this direction.
func (l *link) copy(ctx context.Context, from, to *net.TCPConn, replies bool) {
	chunks := make(chan chunk, chunksInFlight)
	var reading sync.WaitGroup
	reading.Go(func() {
		defer close(chunks)
		l.read(ctx, from, chunks)
	})
	defer reading.Wait()
	for c := range chunks {
		if !l.wait(ctx, c, replies) || !l.write(to, c.data, replies) {
			l.cancel()
			return
		}
	}
	if ctx.Err() == nil && l.await(ctx, replies) {
		_ = to.CloseWrite()
	}
}

func (l *link) read(ctx context.Context, from *net.TCPConn, chunks chan<- chunk) {
	for {
		buffer := make([]byte, chunkSize)
		n, err := from.Read(buffer)
		if n > 0 {
			due := time.Now().Add(l.proxy.delay())
			select {
			case chunks <- chunk{buffer[:n], due}:
			case <-ctx.Done():
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// wait holds a chunk back for its delay, the faults and the bandwidth. It returns false when the link was closed.
func (l *link) wait(ctx context.Context, c chunk, replies bool) bool {
	timer := time.NewTimer(time.Until(c.due))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return false
	}
	limiter := l.proxy.toTarget
	if replies {
		limiter = l.proxy.toCaller
	}
	return limiter.WaitN(ctx, len(c.data)) == nil && l.await(ctx, replies)
}

// await returns once the link is not frozen and its direction is not cut, or false when the link was closed.
func (l *link) await(ctx context.Context, replies bool) bool {
	for {
		if l.isFrozen() {
			<-ctx.Done()
			return false
		}
		cut, changed := l.proxy.cut(replies)
		if !cut {
			return ctx.Err() == nil
		}
		select {
		case <-changed:
		case <-l.frozen:
		case <-ctx.Done():
			return false
		}
	}
}

// write passes a chunk on, or returns false when it is dropped or the receiver has gone.
func (l *link) write(to *net.TCPConn, data []byte, replies bool) bool {
	if replies && l.proxy.drop() {
		return false
	}
	_, err := to.Write(data)
	return err == nil
}

func (p *Proxy) delay() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Duration(p.faults.DelayMs) * time.Millisecond
}

// cut says whether a direction is cut, and returns a channel that closes at the next change of the faults.
func (p *Proxy) cut(replies bool) (bool, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if replies {
		return p.faults.CutToCaller, p.changed
	}
	return p.faults.CutToTarget, p.changed
}

// drop says whether to drop a reply.
func (p *Proxy) drop() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.faults.DropReplies == 0 {
		return false
	}
	p.faults.DropReplies--
	p.dropped++
	return true
}
