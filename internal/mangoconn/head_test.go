package mangoconn

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a status that is none of HTTP and is taken for informational, so that what follows it reaches the caller as the
// answer, and against one that is waited for although no final answer can follow. Connections stay open after the answer.
func TestInvalidStatus(t *testing.T) {
	const whole = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	tests := []struct {
		name, answer string
		// status is that of the answer, or 0 if it is invalid.
		status int
	}{
		{"000 and an answer", "HTTP/1.1 000 X\r\n\r\n" + whole, 0},
		{"000 with an answer as its body", fmt.Sprintf("HTTP/1.1 000 X\r\nContent-Length: %d\r\n\r\n%s", len(whole), whole), 0},
		{"000 after 100", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 X\r\n\r\n" + whole, 0},
		{"000 alone", "HTTP/1.1 000 X\r\n\r\n", 0},
		{"001", "HTTP/1.1 001 X\r\n\r\n" + whole, 0},
		{"099", "HTTP/1.1 099 X\r\n\r\n" + whole, 0},
		{"a sign", "HTTP/1.1 +20 X\r\n\r\n" + whole, 0},
		{"101", "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\n" + whole, 0},
		{"600", "HTTP/1.1 600 X\r\nContent-Length: 0\r\n\r\n" + whole, 0},
		{"999", "HTTP/1.1 999 X\r\nContent-Length: 0\r\n\r\n" + whole, 0},
		{"100", "HTTP/1.1 100 Continue\r\n\r\n" + whole, 200},
		{"102 and 103", "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + whole, 200},
		{"599", "HTTP/1.1 599 X\r\nContent-Length: 0\r\n\r\n", 599},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			address, _ := serveOnce(t, func(c net.Conn) int {
				n, _ := io.WriteString(c, tt.answer)
				_, _ = io.Copy(io.Discard, c)
				return n
			})
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/", strings.NewReader("hi"))
			is.NoErr(err)
			wait := NewReadWaiter(func(silent time.Duration) time.Duration { return 20*time.Second - silent })
			response, err := New().Exchange(ctx, address, request, 20*time.Second, wait)
			if tt.status != 0 {
				is.NoErr(err)
				defer response.Close()
				is.Equal(response.StatusCode, tt.status)
				return
			}
			if err == nil {
				response.Close()
				t.Fatalf("taken with status %d", response.StatusCode)
			}
			is.Equal(KindOf(ctx, err), KindInvalid)
			is.True(errors.Is(err, ErrInvalidStatus))
		})
	}
}
