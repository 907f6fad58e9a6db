package mangofault

import (
	"context"
	"net"
	"sync"
	"time"
)

const (
	// chunkSize is the largest number of bytes that are forwarded at once.
	chunkSize = 16 << 10
	// chunksInFlight bounds the chunks that are buffered for a delayed direction.
	chunksInFlight = 64
)

// proxiedConn is a caller's connection together with its connection to the target.
type proxiedConn struct {
	proxy      *Proxy
	cancel     context.CancelFunc
	freezeOnce sync.Once
	// frozen is closed when the connection is frozen.
	frozen chan struct{}
}

// freeze permanently stops the traffic in both directions.
func (pc *proxiedConn) freeze() { pc.freezeOnce.Do(func() { close(pc.frozen) }) }

func (pc *proxiedConn) isFrozen() bool {
	select {
	case <-pc.frozen:
		return true
	default:
		return false
	}
}

// chunk holds bytes and the time at which they may be forwarded.
type chunk struct {
	data []byte
	due  time.Time
}

// copyDirection forwards the bytes of one direction until its input ends. The end of input closes only this direction,
// while a failure closes the whole connection. isReply is true for the direction from the target to the caller.
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

// readChunks reads chunks until the input ends, and sets when each is due by the current delay.
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

// holdBack waits until the delay, the bandwidth and the faults allow a chunk to be forwarded, or returns false if the
// connection was closed.
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

// waitWhileCut waits while the direction is cut. It returns false if the connection was closed; for a frozen connection it
// returns only then.
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

// writeChunk forwards a chunk, or returns false if a reply is dropped or the receiver has closed the connection.
func (pc *proxiedConn) writeChunk(to *net.TCPConn, data []byte, isReply bool) bool {
	if isReply && pc.proxy.shouldDropReply() {
		return false
	}
	_, err := to.Write(data)
	return err == nil
}

// delay returns the current delay of each direction.
func (p *Proxy) delay() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Duration(p.faults.DelayMs) * time.Millisecond
}

// isCut reports whether a direction is cut, and returns a channel that is closed when the faults change.
func (p *Proxy) isCut(isReply bool) (bool, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if isReply {
		return p.faults.CutToCaller, p.faultsChanged
	}
	return p.faults.CutToTarget, p.faultsChanged
}

// shouldDropReply reports whether the next reply is to be dropped, and if so counts it as dropped.
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
