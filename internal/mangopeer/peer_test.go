package mangopeer_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"mangopath.org/mangopath/internal/mangopeer"
	"mangopath.org/mangopath/internal/mangoprofile"
	"mangopath.org/mangopath/pkg/mangomessage"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func kindOf(err error) mangopeer.Kind {
	var e *mangopeer.Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return 0
}

type handler struct {
	mangopeer.NoHub
	hang atomic.Bool
}

func (h *handler) Exchange(ctx context.Context, r *mangomessage.ExchangeRequest) (*mangomessage.ExchangeReply, error) {
	if h.hang.Load() {
		<-ctx.Done()
	}
	return &mangomessage.ExchangeReply{Revision: r.GetRevision() + 1}, nil
}

func (h *handler) Fetch(context.Context, *mangomessage.FetchRequest) (*mangomessage.FetchReply, error) {
	return nil, errors.New("refused")
}

func (h *handler) Status(context.Context, *mangomessage.StatusRequest) (*mangomessage.StatusReply, error) {
	return &mangomessage.StatusReply{State: "Running"}, nil
}

// countingListener counts accepted connections.
type countingListener struct {
	net.Listener
	count atomic.Int64
}

func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err == nil {
		l.count.Add(1)
	}
	return conn, err
}

func serveSharedKey(t *testing.T, h mangopeer.Handler, opts ...mangopeer.ServerOption) *countingListener {
	t.Helper()
	return serveCredentials(t, h, mangopeer.SharedKey([]byte("key")), opts...)
}

func serveCredentials(
	t *testing.T, h mangopeer.Handler, credentials mangopeer.Credentials, opts ...mangopeer.ServerOption,
) *countingListener {
	t.Helper()
	is := is.New(t)
	inner, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	is.NoErr(err)
	listener := &countingListener{Listener: inner}
	server, err := mangopeer.NewServer(h, credentials, opts...)
	is.NoErr(err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- server.Serve(ctx, listener) }()
	t.Cleanup(func() {
		cancel()
		is.NoErr(<-done)
	})
	return listener
}

func newClient(t *testing.T, key string) *mangopeer.Client {
	t.Helper()
	client := mangopeer.NewClient(mangopeer.SharedKey([]byte(key)), mangopeer.WithCallTimeout(2*time.Second))
	t.Cleanup(client.Close)
	return client
}

// Guards against a client that opens a connection for each call, reuses one after a missed deadline, or closes one
// because the peer answered with an error.
func TestConnectionIsReusedUntilDeadlineMissed(t *testing.T) {
	is := is.New(t)
	h := &handler{}
	listener := serveSharedKey(t, h)
	address := listener.Addr().String()
	client := newClient(t, "key")
	for i := range uint64(3) {
		reply, err := client.Exchange(t.Context(), address, &mangomessage.ExchangeRequest{Revision: i})
		is.NoErr(err)
		is.Equal(reply.GetRevision(), i+1)
	}
	_, err := client.Fetch(t.Context(), address, &mangomessage.FetchRequest{})
	is.Equal(kindOf(err), mangopeer.KindRemote)
	status, err := client.Status(t.Context(), address, &mangomessage.StatusRequest{})
	is.NoErr(err)
	is.Equal(status.GetState(), "Running")
	is.Equal(listener.count.Load(), int64(1))
	h.hang.Store(true)
	_, err = client.Exchange(t.Context(), address, &mangomessage.ExchangeRequest{})
	is.Equal(kindOf(err), mangopeer.KindTimeout)
	h.hang.Store(false)
	_, err = client.Exchange(t.Context(), address, &mangomessage.ExchangeRequest{})
	is.NoErr(err)
	is.Equal(listener.count.Load(), int64(2))
}

// Guards against a server that accepts a peer with another key, or keeps connections that are silent or too many.
func TestUnauthenticatedAndSurplusConnectionsAreClosed(t *testing.T) {
	is := is.New(t)
	listener := serveSharedKey(t, &handler{}, mangopeer.WithMaxConnections(1), mangopeer.WithHandshakeTimeout(time.Second))
	address := listener.Addr().String()
	_, err := newClient(t, "other").Exchange(t.Context(), address, &mangomessage.ExchangeRequest{})
	is.Equal(kindOf(err), mangopeer.KindUnauthenticated)
	for range 2 {
		conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", address)
		is.NoErr(err)
		is.NoErr(conn.SetReadDeadline(time.Now().Add(20 * time.Second)))
		_, err = conn.Read(make([]byte, 1))
		var timeout net.Error
		is.True(err != nil && (!errors.As(err, &timeout) || !timeout.Timeout())) // the server closed it
		is.NoErr(conn.Close())
	}
}

func bookOfCustomers(t *testing.T, n int) *mangoprofile.Book {
	t.Helper()
	book := mangoprofile.New()
	for i := range n {
		next, err := book.With(&mangomessage.Entry{
			Revision: uint64(i + 1), ChangeId: fmt.Sprint("c", i+1),
			Content: &mangomessage.Entry_Customer{Customer: &mangomessage.Customer{Name: fmt.Sprint("n", i)}},
		})
		is.New(t).NoErr(err)
		book = next
	}
	return book
}

// Guards against books of two daemons that differ after a delta or a fetch, and against changes of a forked history.
func TestDeltaAndFetchGiveTheSameBook(t *testing.T) {
	is := is.New(t)
	book, behind := bookOfCustomers(t, 1500), bookOfCustomers(t, 1000)
	changes, ok := mangopeer.Delta(book, 1000)
	is.True(ok)
	next, err := mangopeer.Apply(behind, 1000, changes)
	is.NoErr(err)
	is.Equal(next.LastChangeID(), book.LastChangeID())
	_, ok = mangopeer.Delta(book, 3)
	is.True(!ok)
	_, err = mangopeer.Apply(bookOfCustomers(t, 3), 1000, changes)
	is.Equal(kindOf(err), mangopeer.KindGap)
	_, err = mangopeer.Apply(behind, 999, []*mangomessage.Entry{{Revision: 1000, ChangeId: "x"}})
	is.Equal(kindOf(err), mangopeer.KindFork)
	calls := 0
	fetched, err := mangopeer.FetchBook(t.Context(), mangoprofile.New(),
		func(_ context.Context, r *mangomessage.FetchRequest) (*mangomessage.FetchReply, error) {
			source := book
			if calls++; calls < 10 {
				source = behind
			}
			return &mangomessage.FetchReply{
				Revision: source.Revision(), Pages: mangoprofile.PageCount, Entries: source.Page(int(r.GetPage())),
			}, nil
		})
	is.NoErr(err)
	is.Equal(fetched.Revision(), uint64(1500))
	is.Equal(len(fetched.Entries(mangoprofile.EntryCustomer)), 1500)
}
