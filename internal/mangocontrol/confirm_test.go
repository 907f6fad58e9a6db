package mangocontrol

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"mangopath.org/mangopath/internal/mangoprofile"
	"mangopath.org/mangopath/pkg/mangomessage"
)

// fakeDependencies stands for the store, the host list, the engines and a peer.
type fakeDependencies struct {
	// store and peer are the books that the store and the peer have; nil makes them unreachable.
	store *mangoprofile.Book
	peer  *mangoprofile.Book
	// storeHangs makes the store not answer until the context ends.
	storeHangs bool
}

func (f *fakeDependencies) Poll(ctx context.Context, known *mangoprofile.Book) (*mangoprofile.Book, error) {
	if f.storeHangs {
		<-ctx.Done()
		return known, ctx.Err()
	}
	if f.store == nil {
		return known, errors.New("store is unreachable")
	}
	return f.store, nil
}

func (f *fakeDependencies) ResolveFork(_ context.Context, known *mangoprofile.Book) (*mangoprofile.Book, error) {
	return known, nil
}

func (f *fakeDependencies) Repair(context.Context, *mangoprofile.Book) error { return nil }

func (f *fakeDependencies) Hosts(context.Context) (*mangomessage.HostList, error) {
	return &mangomessage.HostList{}, nil
}

func (f *fakeDependencies) State(context.Context, string) (*mangomessage.EngineState, error) {
	return nil, errors.New("the test has no engines")
}

func (f *fakeDependencies) Exchange(_ context.Context, _ string, request *mangomessage.ExchangeRequest) (*mangomessage.ExchangeReply, error) {
	if f.peer == nil {
		return nil, errors.New("peer is unreachable")
	}
	changes, _ := f.peer.Since(request.Revision)
	return &mangomessage.ExchangeReply{
		From: &mangomessage.Member{Name: "peer"}, Revision: f.peer.Revision(), Changes: changes, ChangesFrom: request.Revision,
	}, nil
}

func (f *fakeDependencies) Fetch(context.Context, string, *mangomessage.FetchRequest) (*mangomessage.FetchReply, error) {
	return nil, errors.New("the test has no pages")
}

// TestStaleBookIsConfirmedBeforeRouting guards against a call that is routed by an old book after a pause although the
// store or a peer has a newer one, and against calls that wait longer than confirmTimeout when neither answers.
func TestStaleBookIsConfirmedBeforeRouting(t *testing.T) {
	for _, c := range []struct {
		name     string
		fake     func(t *testing.T) *fakeDependencies
		revision uint64
		fresh    bool
	}{
		{"store answers", func(t *testing.T) *fakeDependencies { return &fakeDependencies{store: bookAt(t, 3)} }, 3, true},
		{"store down, peer answers", func(t *testing.T) *fakeDependencies { return &fakeDependencies{peer: bookAt(t, 3)} }, 3, true},
		{"store hangs, peer answers", func(t *testing.T) *fakeDependencies { return &fakeDependencies{peer: bookAt(t, 3), storeHangs: true} }, 3, true},
		{"neither answers", func(*testing.T) *fakeDependencies { return &fakeDependencies{} }, 0, false},
		{"store hangs, no peer", func(*testing.T) *fakeDependencies { return &fakeDependencies{storeHangs: true} }, 0, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := c.fake(t)
				logger := logrus.New()
				logger.SetLevel(logrus.PanicLevel)
				// The intervals are too long for a poll or an exchange, so that only the call itself can confirm the book.
				controller := New(Identity{Name: "a"}, f, f, f, f, WithLogger(logger), WithSeeds("peer:1"), WithTiming(Timing{
					PollInterval: time.Hour, HostListInterval: time.Hour, ExchangeInterval: time.Hour, ExchangeTimeout: time.Second, ProbeInterval: time.Hour, FreshnessBound: time.Second,
				}))
				ctx, cancel := context.WithCancel(t.Context())
				ended := make(chan struct{})
				go func() {
					controller.runState(ctx)
					close(ended)
				}()
				start := time.Now()
				controller.confirmIfStale(ctx)
				is.True(time.Since(start) < 2*confirmTimeout)
				is.Equal(controller.Snapshot().Book.Revision(), c.revision)
				is.Equal(controller.IsFresh(), c.fresh)
				cancel()
				<-ended
			})
		})
	}
}

// TestRequestOfPeerDoesNotConfirm guards against a book that counts as fresh because of a peer's request that waited in
// a buffer while this daemon was paused. The age of the confirmation in the request was true only when the request was
// sent.
func TestRequestOfPeerDoesNotConfirm(t *testing.T) {
	is := is.New(t)
	f := &fakeDependencies{}
	controller := New(Identity{Name: "a"}, f, f, f, f, WithTiming(Timing{ExchangeInterval: time.Hour, ExchangeTimeout: time.Second, FreshnessBound: time.Second}))
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		controller.runState(ctx)
		close(ended)
	}()
	_, err := controller.Exchange(ctx, &mangomessage.ExchangeRequest{From: &mangomessage.Member{Name: "peer"}, ConfirmedAgeMs: 1})
	is.NoErr(err)
	is.True(!controller.IsFresh())
	cancel()
	<-ended
}
