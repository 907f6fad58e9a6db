package mangocontrol

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"mangopath.org/mangopath/internal/mangoprofile"
	"mangopath.org/mangopath/pkg/mangomessage"
)

// world is a store, a host list and a peer whose answers a test sets.
type world struct {
	store *mangoprofile.Book
	peer  *mangoprofile.Book
	hangs bool
}

func (w *world) Poll(ctx context.Context, known *mangoprofile.Book) (*mangoprofile.Book, error) {
	if w.hangs {
		<-ctx.Done()
		return known, ctx.Err()
	}
	if w.store == nil {
		return known, errors.New("store is down")
	}
	return w.store, nil
}

func (w *world) Settle(_ context.Context, known *mangoprofile.Book) (*mangoprofile.Book, error) {
	return known, nil
}

func (w *world) Repair(context.Context, *mangoprofile.Book) error { return nil }

func (w *world) Hosts(context.Context) (*mangomessage.HostList, error) {
	return &mangomessage.HostList{}, nil
}

func (w *world) State(context.Context, string) (*mangomessage.EngineState, error) {
	return nil, errors.New("no engine")
}

func (w *world) Exchange(_ context.Context, _ string, request *mangomessage.ExchangeRequest) (*mangomessage.ExchangeReply, error) {
	if w.peer == nil {
		return nil, errors.New("peer is cut off")
	}
	changes, _ := w.peer.Since(request.Revision)
	return &mangomessage.ExchangeReply{
		From: &mangomessage.Member{Name: "peer"}, Revision: w.peer.Revision(), Changes: changes, ChangesFrom: request.Revision,
	}, nil
}

func (w *world) Fetch(context.Context, string, *mangomessage.FetchRequest) (*mangomessage.FetchReply, error) {
	return nil, errors.New("no pages")
}

// Guards against a first call after a pause that follows an old book although the store or a peer knows a newer one,
// and against calls that wait for long when neither answers.
func TestStaleBookIsConfirmedBeforeRouting(t *testing.T) {
	for _, c := range []struct {
		name     string
		world    func(t *testing.T) *world
		revision uint64
		fresh    bool
	}{
		{"store answers", func(t *testing.T) *world { return &world{store: bookAt(t, 3)} }, 3, true},
		{"store down, peer answers", func(t *testing.T) *world { return &world{peer: bookAt(t, 3)} }, 3, true},
		{"store hangs, peer answers", func(t *testing.T) *world { return &world{peer: bookAt(t, 3), hangs: true} }, 3, true},
		{"neither answers", func(*testing.T) *world { return &world{} }, 0, false},
		{"store hangs, no peer", func(*testing.T) *world { return &world{hangs: true} }, 0, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			w := c.world(t)
			logger := logrus.New()
			logger.SetLevel(logrus.PanicLevel)
			// Long intervals leave the confirmation to the call itself.
			controller := New(Identity{Name: "a"}, w, w, w, w, WithLogger(logger), WithSeeds("peer:1"), WithTiming(Timing{
				PollInterval: time.Hour, HostListInterval: time.Hour, ExchangeInterval: time.Hour, ExchangeTimeout: time.Second, ProbeInterval: time.Hour, FreshnessBound: time.Second,
			}))
			ctx, cancel := context.WithCancel(t.Context())
			ended := make(chan struct{})
			go func() {
				controller.loop(ctx)
				close(ended)
			}()
			begin := time.Now()
			controller.refresh(ctx)
			is.True(time.Since(begin) < 2*confirmTimeout)
			is.Equal(controller.Snapshot().Book.Revision(), c.revision)
			is.Equal(controller.IsFresh(), c.fresh)
			cancel()
			<-ended
		})
	}
}

// Guards against a request of a peer that waited in a buffer while this daemon was paused: the age in it tells nothing
// about the time at which it is read, so it must not confirm the book.
func TestRequestOfPeerDoesNotConfirm(t *testing.T) {
	is := is.New(t)
	w := &world{}
	controller := New(Identity{Name: "a"}, w, w, w, w, WithTiming(Timing{ExchangeInterval: time.Hour, ExchangeTimeout: time.Second, FreshnessBound: time.Second}))
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		controller.loop(ctx)
		close(ended)
	}()
	_, err := controller.Exchange(ctx, &mangomessage.ExchangeRequest{From: &mangomessage.Member{Name: "peer"}, ConfirmedAgeMs: 1})
	is.NoErr(err)
	is.True(!controller.IsFresh())
	cancel()
	<-ended
}
