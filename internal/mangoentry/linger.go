package mangoentry

import (
	"errors"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// lingerTime bounds the time for which a closed connection stays half open until its caller has acknowledged the answer.
	lingerTime = 2 * time.Second
	// lingerPoll is the interval at which a lingering connection is read and its acknowledgements are checked.
	lingerPoll = 5 * time.Millisecond
	// maxLingerBytes bounds the bytes that are read and dropped from a lingering connection.
	maxLingerBytes = 1 << 20
	// maxLingering bounds the lingering connections; beyond it connections are closed at once.
	maxLingering = 256
	// lingerAtEnd is how long a daemon that exits waits for lingering connections. It is a part of the 300 ms between the close of
	// all connections and the end of the grace period.
	lingerAtEnd = 50 * time.Millisecond
)

// lingerer closes connections on which the end of an answer is not acknowledged yet. If bytes of a next request are unread or arrive
// later, the kernel resets a closed connection, and the caller loses the end of the answer. So the writing side is shut down first,
// and arriving bytes are read and dropped until everything written is acknowledged.
type lingerer struct {
	running sync.WaitGroup

	mu sync.Mutex
	// count is the number of lingering connections, and end when the last of them is closed; zero if there is no such time.
	count int
	end   time.Time
}

// begin closes a connection in the background, and returns false if too many connections linger or lingering has ended.
func (l *lingerer) begin(c *callerConn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.count >= maxLingering || !l.end.IsZero() {
		return false
	}
	l.count++
	l.running.Go(func() {
		l.await(c, time.Now().Add(lingerTime))
		// An error means that the caller has closed the connection, which is fine.
		_ = c.Conn.Close()
		l.mu.Lock()
		defer l.mu.Unlock()
		l.count--
	})
	return true
}

// await drops what arrives on a connection until its answer is acknowledged, or a time has passed.
func (l *lingerer) await(c *callerConn, until time.Time) {
	data := make([]byte, 4<<10)
	for dropped := 0; dropped < maxLingerBytes && time.Now().Before(until) && !l.hasEnded(); {
		n, ended := c.dropAvailable(data)
		if dropped += n; ended || (n == 0 && !c.hasUnacknowledged()) {
			return
		}
		if n == 0 {
			time.Sleep(lingerPoll)
		}
	}
}

func (l *lingerer) hasEnded() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.end.IsZero() && !time.Now().Before(l.end)
}

// endBy closes all lingering connections at a time, and returns when they are closed. From now on none lingers.
func (l *lingerer) endBy(end time.Time) {
	l.mu.Lock()
	l.end = end
	l.mu.Unlock()
	l.running.Wait()
}

// dropAvailable reads once what has arrived, without waiting. ended says that nothing more can arrive.
func (c *callerConn) dropAvailable(data []byte) (n int, ended bool) {
	var readErr error
	controlErr := c.raw.Control(func(fd uintptr) { n, readErr = unix.Read(int(fd), data) })
	switch {
	case controlErr != nil:
		return 0, true
	case errors.Is(readErr, unix.EAGAIN), errors.Is(readErr, unix.EINTR):
		return 0, false
	default:
		return max(n, 0), n <= 0
	}
}

// hasUnacknowledged reports whether the caller's host has not acknowledged all that was written.
func (c *callerConn) hasUnacknowledged() bool {
	n := 0
	// Control fails only if the connection is closed.
	_ = c.raw.Control(func(fd uintptr) { n, _ = unix.IoctlGetInt(int(fd), unix.TIOCOUTQ) })
	return n > 0
}
