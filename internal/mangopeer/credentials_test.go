package mangopeer_test

import (
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a server that accepts a client without the key, which sends zeros or the server's own proof as its proof.
func TestClientWithoutKeyIsRejected(t *testing.T) {
	tests := []struct {
		name  string
		proof func(fromServer []byte) []byte
	}{
		{"zeros", func([]byte) []byte { return make([]byte, 32) }},
		{"returned", func(fromServer []byte) []byte { return fromServer }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			listener := serveSharedKey(t, &handler{})
			conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", listener.Addr().String())
			is.NoErr(err)
			defer func() { is.NoErr(conn.Close()) }()
			is.NoErr(conn.SetDeadline(time.Now().Add(20 * time.Second)))
			_, err = conn.Write(make([]byte, 32))
			is.NoErr(err)
			reply := make([]byte, 64)
			_, err = io.ReadFull(conn, reply)
			is.NoErr(err)
			_, err = conn.Write(tt.proof(reply[32:]))
			is.NoErr(err)
			_, err = conn.Read(reply)
			var timeout net.Error
			is.True(err != nil && (!errors.As(err, &timeout) || !timeout.Timeout())) // the server closed it
		})
	}
}
