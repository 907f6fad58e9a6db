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

// proxiedConn is a connection of a caller with its connection to the target.
type proxiedConn struct {
	proxy      *Proxy
	cancel     context.CancelFunc
	freezeOnce sync.Once
	frozen     chan struct{}
}

func (pc *proxiedConn) freeze() { pc.freezeOnce.Do(func() { close(pc.frozen) }) }

func (pc *proxiedConn) isFrozen() bool {
	select {
	case <-pc.frozen:
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

// copyDirection passes the bytes of one direction on. An end of input ends only this direction.
func (pc *proxiedConn) copyDirection(ctx context.Context, from, to *net.TCPConn, isReply bool) {
	chunks := make(chan chunk, chunksInFlight)
	var reader sync.WaitGroup
	reader.Go(func() {
		defer close(chunks)
		pc.readChunks(ctx, from, chunks)
	})
	defer reader.Wait()
	for c := range chunks {
		if !pc.holdBack(ctx, c, isReply) || !pc.writeChunk(to, c.data, isReply) {
			pc.cancel()
			return
		}
	}
	if ctx.Err() == nil && pc.waitWhileCut(ctx, isReply) {
		_ = to.CloseWrite()
	}
}

func (pc *proxiedConn) readChunks(ctx context.Context, from *net.TCPConn, chunks chan<- chunk) {
	for {
		buffer := make([]byte, chunkSize)
		n, err := from.Read(buffer)
		if n > 0 {
			due := time.Now().Add(pc.proxy.delay())
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

// holdBack holds a chunk back for its delay, the faults and the bandwidth. It returns false when the link was closed.
func (pc *proxiedConn) holdBack(ctx context.Context, c chunk, isReply bool) bool {
	timer := time.NewTimer(time.Until(c.due))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return false
	}
	limiter := pc.proxy.toTarget
	if isReply {
		limiter = pc.proxy.toCaller
	}
	return limiter.WaitN(ctx, len(c.data)) == nil && pc.waitWhileCut(ctx, isReply)
}

// waitWhileCut returns once the link is not frozen and its direction is not cut, or false when the link was closed.
func (pc *proxiedConn) waitWhileCut(ctx context.Context, isReply bool) bool {
	for {
		if pc.isFrozen() {
			<-ctx.Done()
			return false
		}
		isCut, faultsChanged := pc.proxy.isCut(isReply)
		if !isCut {
			return ctx.Err() == nil
		}
		select {
		case <-faultsChanged:
		case <-pc.frozen:
		case <-ctx.Done():
			return false
		}
	}
}

// writeChunk passes a chunk on, or returns false when it is dropped or the receiver has gone.
func (pc *proxiedConn) writeChunk(to *net.TCPConn, data []byte, isReply bool) bool {
	if isReply && pc.proxy.shouldDropReply() {
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

// isCut says whether a direction is cut, and returns a channel that closes at the next change of the faults.
func (p *Proxy) isCut(isReply bool) (bool, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if isReply {
		return p.faults.CutToCaller, p.faultsChanged
	}
	return p.faults.CutToTarget, p.faultsChanged
}

// shouldDropReply says whether to drop a reply.
func (p *Proxy) shouldDropReply() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.faults.DropReplies == 0 {
		return false
	}
	p.faults.DropReplies--
	p.dropped++
	return true
}
