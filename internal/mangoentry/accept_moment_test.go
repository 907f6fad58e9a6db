package mangoentry

import (
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a stop that ends early, as it looks only at connections that the server has reported, and closes one that was
// accepted before: its request has arrived, and most of the grace period is left.
func TestStopWaitsForConnectionBeingAccepted(t *testing.T) {
	tests := []struct {
		name string
		// release is when the server gets the connection: while the drain lasts, after it, or after it with a server that is
		// closed only once the request is being served.
		release string
	}{
		{"reported during the drain", "drain"},
		{"reported after the drain", "end"},
		{"served between the drain and the close", "served"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			finish := make(chan struct{})
			var f *endFixture
			f = newEndFixture(t, func(w http.ResponseWriter, _ *http.Request) {
				<-finish
				f.writeHead(w, http.StatusOK)
			})
			conn := f.connect(t)
			_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
			is.NoErr(err)
			await(t, "the connection is accepted", f.gated.accepted)
			if tt.release == "drain" {
				close(f.gated.gate)
				await(t, "the request is taken", f.begun)
			}
			f.beginStop(time.Minute)
			drained := f.drain()
			if tt.release != "drain" {
				// A stop that waits for the connection does not end here.
				select {
				case <-drained:
				case <-time.After(time.Second):
				}
				if tt.release == "end" {
					go f.closeAfter(drained)
					// Time for the close, if the drain has ended already.
					time.Sleep(50 * time.Millisecond)
				}
				close(f.gated.gate)
			}
			if tt.release == "served" {
				await(t, "the request is taken", f.begun)
			}
			if tt.release != "end" {
				go f.closeAfter(drained)
				if tt.release == "served" {
					// Time for the close, if the drain has ended already.
					time.Sleep(50 * time.Millisecond)
				}
			}
			close(finish)
			status, _, err := readAnswer(conn)
			is.NoErr(err)
			is.Equal(status, http.StatusOK)
		})
	}
}
