package mangoentry

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
)

// lingeringConn returns a connection that has been closed while its caller has not read the end of an answer, and a time just before
// it was closed.
func lingeringConn(t *testing.T, l *lingerer) (client net.Conn, before time.Time) {
	t.Helper()
	server, client := connPair(t)
	server.lingerer = l
	// The buffers of both hosts are full when a write fails and bytes stay unacknowledged. A write whose deadline passes before it is
	// tried fails without that.
	for isFull := false; !isFull; {
		_ = server.SetWriteDeadline(time.Now().Add(100 * time.Millisecond))
		if _, err := server.Write(make([]byte, 1<<20)); err != nil {
			time.Sleep(20 * time.Millisecond)
			isFull = server.hasUnacknowledged()
		}
	}
	before = time.Now()
	_ = server.Close()
	return client, before
}

// maxLingerTries bounds the tries of a time. On a busy machine a goroutine may get no processor time for a while, which says nothing
// about the bound; a connection that lingers too long does so in each try.
const maxLingerTries = 5

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
		{"a caller that does not read", false, 0, lingerTime, lingerTime + time.Second},
		{"a caller that sends without end", true, 0, 0, lingerTime},
		{"the end of the daemon", false, lingerAtEnd, lingerAtEnd, lingerAtEnd + 100*time.Millisecond},
		{"after the end", false, -time.Second, 0, 100 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			for try := 1; ; try++ {
				least, most := timeLingering(t, tt.sends, tt.endIn)
				t.Logf("closed after %v to %v", least, most)
				is.True(most >= tt.min)
				if least <= tt.max {
					return
				}
				is.True(try < maxLingerTries) // closed in time
			}
		})
	}
}

// timeLingering returns bounds of the time for which a connection lingers whose caller sends without end, or does nothing. The daemon
// ends after endIn unless that is 0.
func timeLingering(t *testing.T, sends bool, endIn time.Duration) (least, most time.Duration) {
	t.Helper()
	l := new(lingerer)
	client, before := lingeringConn(t, l)
	start := time.Now()
	if sends {
		_ = client.SetWriteDeadline(start.Add(5 * time.Second))
		go func() { _, _ = io.Copy(client, endlessReader{}) }()
	}
	if endIn != 0 {
		l.endBy(start.Add(endIn))
	}
	l.running.Wait()
	return time.Since(start), time.Since(before)
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
