package mangoconn

import (
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// IdleEnd is the reason for which an idle connection was closed, as it appears in metrics.
type IdleEnd string

const (
	// IdleExpired means that the connection was idle for as long as it may be.
	IdleExpired IdleEnd = "Expired"
	// IdleEnded means that the replica closed or reset the connection.
	IdleEnded IdleEnd = "EndedByReplica"
	// IdleUnexpectedBytes means that the replica sent something without a request.
	IdleUnexpectedBytes IdleEnd = "UnexpectedBytes"
	// IdleUnusable means that the replica is leaving, avoided or gone, or has another address.
	IdleUnusable IdleEnd = "ReplicaUnusable"
	// IdleEvicted means that a younger connection took its place.
	IdleEvicted IdleEnd = "Evicted"
	// IdleStopping means that the daemon is stopping.
	IdleStopping IdleEnd = "Stopping"

	// idleInterrupted means that the watcher ended because the connection was taken or closed, with nothing read.
	idleInterrupted IdleEnd = ""
)

// usablePoll is the interval at which the watcher of an idle connection checks whether the replica may still be used. With maxIdle
// connections this is 40 checks a second.
const usablePoll = 200 * time.Millisecond

// idleConn is a connection without a request. A watcher goroutine reads from it and closes it as soon as the peer closes it or sends
// bytes.
type idleConn struct {
	net.Conn
	endpoint Endpoint
	since    time.Time
	expires  time.Time
	// ended receives what the watcher found when it ends.
	ended chan IdleEnd

	mu sync.Mutex
	// interrupted says that the watcher is to end.
	interrupted bool
}

// extend sets the deadline of the watcher's next read, and returns false if the watcher is to end.
func (c *idleConn) extend(until time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.interrupted && c.SetReadDeadline(until) == nil
}

// interrupt makes the watcher end and waits for what it found.
func (c *idleConn) interrupt() IdleEnd {
	c.mu.Lock()
	c.interrupted = true
	// It fails only if the connection is closed, which ends the watcher as well.
	_ = c.SetReadDeadline(time.Now())
	c.mu.Unlock()
	return <-c.ended
}

// watch reads from the connection until it ends, sends bytes, expires, usable returns false or it is interrupted.
func (c *idleConn) watch(usable func(Endpoint) bool) IdleEnd {
	var one [1]byte
	for {
		now := time.Now()
		switch {
		case !now.Before(c.expires):
			return IdleExpired
		case !usable(c.endpoint):
			return IdleUnusable
		case !c.extend(minTime(c.expires, now.Add(usablePoll))):
			return idleInterrupted
		}
		n, err := c.Read(one[:])
		switch {
		case n > 0:
			return IdleUnexpectedBytes
		case !errors.Is(err, os.ErrDeadlineExceeded):
			return IdleEnded
		}
	}
}

// prepare makes a connection whose watcher has ended ready for a request. It returns false if the connection must not be used:
// it has ended, or has bytes that belong to no request.
func (c *idleConn) prepare() bool {
	if c.SetDeadline(time.Time{}) != nil {
		return false
	}
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Control(func(fd uintptr) {
		var one [1]byte
		_, _, peekErr := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = errors.Is(peekErr, unix.EAGAIN) && setUserTimeout(fd, keptUserTimeout) == nil
	})
	return err == nil && quiet
}

// setUserTimeout sets TCP_USER_TIMEOUT of a socket.
func setUserTimeout(fd uintptr, limit time.Duration) error {
	err := unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(limit.Milliseconds()))
	if err != nil {
		return os.NewSyscallError("setsockopt", err)
	}
	return nil
}

// IsUnacknowledged reports whether an error means that the other host did not acknowledge what was sent to it.
func IsUnacknowledged(err error) bool { return errors.Is(err, syscall.ETIMEDOUT) }

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
