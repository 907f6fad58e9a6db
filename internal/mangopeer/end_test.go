package mangopeer_test

import (
	"bytes"
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"mangopath.org/mangopath/internal/mangopeer"
	"mangopath.org/mangopath/pkg/mangomessage"
)

// maxEndTime is the time that a daemon has for the end of its components.
const maxEndTime = 200 * time.Millisecond

// maxEndTries bounds the tries of an end. On a busy machine it may get no processor time for a while, which says nothing about it; a
// peer that keeps the end waiting does so in each try.
const maxEndTries = 5

// freezingProxy passes bytes on between a client and a server until it is frozen; then it reads nothing and keeps all connections.
type freezingProxy struct {
	address string
	frozen  atomic.Bool
}

func newFreezingProxy(t *testing.T, server string) *freezingProxy {
	t.Helper()
	l, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &freezingProxy{address: l.Addr().String()}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for {
			from, err := l.Accept()
			if err != nil {
				return
			}
			to, err := new(net.Dialer).DialContext(ctx, "tcp", server)
			if err != nil {
				_ = from.Close()
				continue
			}
			context.AfterFunc(ctx, func() { _, _ = from.Close(), to.Close() })
			go p.pass(ctx, from, to)
			go p.pass(ctx, to, from)
		}
	}()
	t.Cleanup(func() {
		cancel()
		_ = l.Close()
		<-ended
	})
	return p
}

// pass passes bytes on in one direction.
func (p *freezingProxy) pass(ctx context.Context, from, to net.Conn) {
	data := make([]byte, 4096)
	for {
		n, err := from.Read(data)
		if p.frozen.Load() {
			<-ctx.Done()
			return
		}
		if err != nil {
			_ = to.Close()
			return
		}
		_, _ = to.Write(data[:n])
	}
}

// streamHandler streams updates without a pause, and answers no call.
type streamHandler struct{ *handler }

func (streamHandler) Follow(_ *mangomessage.FollowRequest, stream mangomessage.DRPCPeer_FollowStream) error {
	for stream.Context().Err() == nil {
		if err := stream.Send(&mangomessage.FollowUpdate{Items: []*mangomessage.StoredItem{{Key: "k", Value: bytes.Repeat([]byte("x"), 60000)}}}); err != nil {
			return err
		}
		time.Sleep(time.Millisecond)
	}
	return nil
}

// Guards against a daemon that is killed at the end of a stop, as a peer that has frozen keeps a call, a stream or the end of a
// connection waiting.
func TestEndWithFrozenPeer(t *testing.T) {
	tests := []struct {
		name string
		// run uses the peer through the proxy, freezes it, and returns what is to end, after ctx has ended.
		run func(ctx context.Context, t *testing.T, c *mangopeer.Client, p *freezingProxy) func()
	}{
		{"a call", func(ctx context.Context, _ *testing.T, c *mangopeer.Client, p *freezingProxy) func() {
			p.frozen.Store(true)
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				_, _ = c.Exchange(ctx, p.address, &mangomessage.ExchangeRequest{})
			}()
			time.Sleep(50 * time.Millisecond)
			return func() { <-ended; c.Close() }
		}},
		{"a call on a live connection", func(ctx context.Context, _ *testing.T, c *mangopeer.Client, p *freezingProxy) func() {
			_, _ = c.Status(ctx, p.address, &mangomessage.StatusRequest{})
			p.frozen.Store(true)
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				_, _ = c.Exchange(ctx, p.address, &mangomessage.ExchangeRequest{From: &mangomessage.Member{Name: string(bytes.Repeat([]byte("x"), 3<<20))}})
			}()
			time.Sleep(50 * time.Millisecond)
			return func() { <-ended; c.Close() }
		}},
		{"a stream", func(ctx context.Context, t *testing.T, c *mangopeer.Client, p *freezingProxy) func() {
			s, err := c.Follow(ctx, p.address, &mangomessage.FollowRequest{})
			if err != nil {
				t.Fatal(err)
			}
			_, err = s.Recv()
			if err != nil {
				t.Fatal(err)
			}
			p.frozen.Store(true)
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				for err := error(nil); err == nil; {
					_, err = s.Recv()
				}
			}()
			time.Sleep(50 * time.Millisecond)
			return func() { <-ended; s.Close(); c.Close() }
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			for try := 1; ; try++ {
				client, server := endWithFrozenPeer(t, tt.run)
				t.Logf("client %v, server %v", client, server)
				if client < maxEndTime && server < maxEndTime {
					return
				}
				if try == maxEndTries {
					t.Fatalf("the end took longer than %v in each of %d tries", maxEndTime, try)
				}
			}
		})
	}
}

// endWithFrozenPeer returns the times that a client and a server take to end while run keeps the client waiting for a frozen peer.
func endWithFrozenPeer(
	t *testing.T, run func(ctx context.Context, t *testing.T, c *mangopeer.Client, p *freezingProxy) func(),
) (tookClient, tookServer time.Duration) {
	t.Helper()
	is := is.New(t)
	server, err := mangopeer.NewServer(streamHandler{new(handler)}, mangopeer.SharedKey([]byte("key")))
	is.NoErr(err)
	l, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	is.NoErr(err)
	serveCtx, stopServer := context.WithCancel(t.Context())
	defer stopServer()
	served := make(chan struct{})
	go func() {
		defer close(served)
		_ = server.Serve(serveCtx, l)
	}()
	p := newFreezingProxy(t, l.Addr().String())
	c := mangopeer.NewClient(mangopeer.SharedKey([]byte("key")))
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	end := run(ctx, t, c, p)
	time.Sleep(300 * time.Millisecond) // The buffers of the server fill.
	cancel()
	start := time.Now()
	end()
	tookClient = time.Since(start)
	start = time.Now()
	stopServer()
	<-served
	return tookClient, time.Since(start)
}
