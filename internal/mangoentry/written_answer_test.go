package mangoentry

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"
)

// Guards against an answer that the handler has written whole and that the caller loses, as the daemon closes the connection
// while bytes of a next request are unread: the kernel then resets the connection and drops what the caller has not got yet.
func TestWrittenAnswerSurvivesClose(t *testing.T) {
	const request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	tests := []struct {
		name string
		// with is sent together with the request, during while its handler runs, and after once its connection is closed.
		with, during, after string
		// stopsFirst says that the stop begins before the answer, which then says that the connection closes.
		stopsFirst bool
		// closesServer says that the connection is closed by the end of the daemon and not by the drain.
		closesServer bool
		// size is that of the answer; 0 stands for largeAnswer.
		size int
	}{
		{name: "drain, no next request", stopsFirst: true},
		{name: "drain, next request in the buffer of the server", with: request, stopsFirst: true},
		{name: "drain, part of the next request in the kernel", during: request[:9], stopsFirst: true},
		{name: "drain, next request in the kernel", during: request, stopsFirst: true},
		{name: "drain, next request after the close", after: request, stopsFirst: true},
		{name: "idle connection, no next request"},
		{name: "idle connection, next request after the close", after: request},
		{name: "end, no next request", closesServer: true},
		{name: "end, next request after the close", after: request, closesServer: true},
		{name: "small answer, drain, next request in the kernel", during: request, stopsFirst: true, size: 100},
		{name: "small answer, drain, next request after the close", after: request, stopsFirst: true, size: 100},
		{name: "small answer, end, next request after the close", after: request, closesServer: true, size: 100},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			if tt.size == 0 {
				tt.size = largeAnswer
			}
			finish := make(chan struct{})
			var f *endFixture
			f = newEndFixture(t, func(w http.ResponseWriter, _ *http.Request) {
				<-finish
				w.Header().Set("Content-Length", strconv.Itoa(tt.size))
				f.writeHead(w, http.StatusOK)
				_, _ = io.WriteString(w, strings.Repeat("x", tt.size))
			})
			close(f.gated.gate)
			conn := f.connect(t)
			_, err := io.WriteString(conn, request+tt.with)
			is.NoErr(err)
			await(t, "the request is taken", f.begun)
			if tt.during != "" {
				_, err = io.WriteString(conn, tt.during)
				is.NoErr(err)
				awaitCondition(t, "the next request has arrived", func() bool { return f.hasUnread(len(tt.during) - 1) })
			}
			if tt.stopsFirst {
				f.beginStop(time.Minute)
			}
			close(finish)
			awaitCondition(t, "the answer is written", func() bool {
				return f.daemon.shutdown.Active() == 0 && f.isIdle()
			})
			switch {
			case tt.closesServer:
				_ = f.server.Close()
			case !tt.stopsFirst:
				f.beginStop(time.Minute)
				await(t, "the drain ends", f.drain())
			}
			awaitCondition(t, "the connection is closed", func() bool { return f.conns.tracked() == 0 })
			if tt.after != "" {
				// The first write makes the kernel reset the connection.
				_, err = io.WriteString(conn, tt.after)
				is.NoErr(err)
				time.Sleep(20 * time.Millisecond)
			}
			status, size, err := readAnswer(conn)
			is.NoErr(err)
			is.Equal(status, http.StatusOK)
			is.Equal(size, tt.size)
		})
	}
}

// isIdle reports whether no request is served on any connection.
func (f *endFixture) isIdle() bool {
	f.conns.mu.Lock()
	defer f.conns.mu.Unlock()
	for _, s := range f.conns.states {
		if s != http.StateIdle {
			return false
		}
	}
	return true
}

// hasUnread reports whether a connection has at least n bytes that the process has not read. The server reads the first byte
// of a next request while it serves one.
func (f *endFixture) hasUnread(n int) bool {
	f.conns.mu.Lock()
	defer f.conns.mu.Unlock()
	for conn := range f.conns.states {
		waiting := 0
		_ = conn.raw.Control(func(fd uintptr) { waiting, _ = unix.IoctlGetInt(int(fd), unix.TIOCINQ) })
		if waiting >= n {
			return true
		}
	}
	return false
}
