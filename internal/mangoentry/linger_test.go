package mangoentry

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
)

// lingeringConn returns a connection that has been closed while its caller has not read the end of an answer.
func lingeringConn(t *testing.T, l *lingerer) net.Conn {
	t.Helper()
	server, client := connPair(t)
	server.lingerer = l
	_ = server.SetWriteDeadline(time.Now().Add(100 * time.Millisecond))
	for {
		// The buffers of both hosts are full when this fails.
		if _, err := server.Write(make([]byte, 1<<20)); err != nil {
			break
		}
	}
	_ = server.Close()
	return client
}

// Guards against connections that linger without end, because their caller reads nothing or sends without end, and against an end of
// the daemon that waits for them beyond the grace period.
func TestLingerIsBounded(t *testing.T) {
	tests := []struct {
		name string
		// sends says that the caller sends without end, and endIn is when lingering ends; 0 for a daemon that goes on.
		sends    bool
		endIn    time.Duration
		min, max time.Duration
	}{
		{"a caller that does not read", false, 0, lingerTime - 100*time.Millisecond, lingerTime + time.Second},
		{"a caller that sends without end", true, 0, 0, lingerTime},
		{"the end of the daemon", false, lingerAtEnd, lingerAtEnd / 2, lingerAtEnd + 100*time.Millisecond},
		{"after the end", false, -time.Second, 0, 100 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			l := new(lingerer)
			client := lingeringConn(t, l)
			start := time.Now()
			if tt.sends {
				_ = client.SetWriteDeadline(start.Add(5 * time.Second))
				go func() { _, _ = io.Copy(client, endlessReader{}) }()
			}
			if tt.endIn != 0 {
				l.endBy(start.Add(tt.endIn))
			}
			l.running.Wait()
			took := time.Since(start)
			t.Logf("closed after %v", took)
			is.True(took >= tt.min)
			is.True(took <= tt.max)
		})
	}
}

// endlessReader is bytes without end.
type endlessReader struct{}

// Read implements io.Reader.
func (endlessReader) Read(p []byte) (int, error) { return len(p), nil }

// Guards against more lingering connections than their bound, and against a connection that is not closed because of it.
func TestLingeringConnectionsAreBounded(t *testing.T) {
	is := is.New(t)
	l := &lingerer{count: maxLingering}
	server, client := connPair(t)
	server.lingerer = l
	is.True(!l.begin(server))
	is.NoErr(server.Close())
	_ = client.SetReadDeadline(time.Now().Add(5 * time.Second))
	_, err := client.Read(make([]byte, 1))
	is.Equal(err, io.EOF)
}
