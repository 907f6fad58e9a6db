package mangoentry

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against a request that is passed on to a replica although its connection has been closed, whatever closed it.
func TestClosedConnectionTakesNoRequest(t *testing.T) {
	tests := []struct {
		name      string
		closeConn func(conn *callerConn)
		taken     bool
	}{
		{"open", func(*callerConn) {}, true},
		{"closed as unused", func(conn *callerConn) { conn.closeIfQuiet() }, false},
		{"closed with the server", func(conn *callerConn) { _ = conn.Close() }, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			server, _ := connPair(t)
			tt.closeConn(server)
			is.Equal(server.takeRequest(), tt.taken)
		})
	}
}
