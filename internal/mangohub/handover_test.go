package mangohub

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"mangopath.org/mangopath/internal/mangolease"
	"mangopath.org/mangopath/internal/mangostate"
	"mangopath.org/mangopath/internal/mangostorefake"
)

// seatLease is a Lease without a store.
type seatLease struct {
	holds    bool
	eligible func() bool
}

func (l *seatLease) Run(ctx context.Context) error {
	<-ctx.Done()
	return ctx.Err()
}

func (l *seatLease) Holds() (uint64, bool)  { return 1, l.holds }
func (l *seatLease) GiveUp(context.Context) { l.holds = false }

func hubsNamed(names ...string) []mangostate.Member {
	var hubs []mangostate.Member
	for i, n := range names {
		hubs = append(hubs, mangostate.Member{Name: n, DataCentre: "a", Seat: i})
	}
	return hubs
}

// Guards against a small host that keeps its seat beside a large one without any, and against seats that move without need: to a host
// of another data centre, from a large host, too often, or while the store cannot be written.
func TestSeatIsGivenUp(t *testing.T) {
	other := []string{"h1"}
	tests := []struct {
		name       string
		large      bool
		seat       int
		dataCentre string
		// heldFor is how long the seat has been held, and gaveUpAgo how long ago one was given up before; 0 is never.
		heldFor, gaveUpAgo time.Duration
		storeLost          bool
		// others are the other hubs of the data centre.
		others []string
		reason string
	}{
		{"small host, first seat", false, 0, "a", time.Minute, 0, false, other, ""},
		{"small host, second seat", false, 1, "a", time.Minute, 0, false, other, ""},
		{"large host", true, 0, "a", time.Minute, 0, false, other, "LargeHost"},
		{"no seat", false, -1, "a", time.Minute, 0, false, other, "NoSeat"},
		{"request of another data centre", false, 0, "b", time.Minute, 0, false, other, "OtherDataCentre"},
		{"seat just taken", false, 0, "a", minSeatTime / 2, 0, false, other, "NewSeat"},
		{"gave one up a moment ago", false, 0, "a", time.Minute, handoverPause / 2, false, other, "GaveUpLately"},
		{"gave one up long ago", false, 0, "a", time.Minute, 2 * handoverPause, false, other, ""},
		{"the other seat is free", false, 0, "a", time.Minute, 0, false, nil, "OtherSeatFree"},
		{"store lost", false, 0, "a", time.Minute, 0, true, other, "StoreLost"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var leases []*seatLease
			seats := NewSeats(func(seat int, eligible func() bool) Lease {
				l := &seatLease{holds: seat == tt.seat, eligible: eligible}
				leases = append(leases, l)
				return l
			})
			results := map[string]int{}
			released := 0
			h := NewHandover(mangostate.Member{Name: "self", DataCentre: "a"}, tt.large, seats, &viewState{hubsNamed(tt.others...)}, nil, nil,
				WithStoreCheck(func(context.Context) bool { return !tt.storeLost }), WithHandoverObserver(func(r string) { results[r]++ }),
				WithSeatGivenUp(func(context.Context) { released++ }))
			now := time.Now()
			h.noteSeat(now.Add(-tt.heldFor))
			if tt.gaveUpAgo > 0 {
				h.gaveUpAt = now.Add(-tt.gaveUpAgo)
			}
			from := mangostate.Member{Name: "other", DataCentre: tt.dataCentre}
			is.Equal(h.reasonToKeep(from, now) == "", tt.reason == "" || tt.storeLost)
			h.answer(t.Context(), from, now)
			gaveUp := tt.reason == ""
			is.Equal(seats.IsHub(), tt.seat >= 0 && !gaveUp)
			is.Equal(results[handoverGivenUp] == 1, gaveUp)
			// The placement ends with the seat.
			is.Equal(released == 1, gaveUp)
			if gaveUp {
				// It leaves both seats to the larger host.
				is.True(!leases[0].eligible())
				is.True(!leases[1].eligible())
			}
		})
	}
}

// Guards against a large host that asks hubs for ever which are large themselves, that gives up after requests which came too early or
// got lost, and that makes small hosts pass seats on although it cannot take any.
func TestSeatRequests(t *testing.T) {
	type step struct {
		at   time.Duration
		hubs []mangostate.Member
		want string
	}
	both := hubsNamed("h0", "h1")
	tests := []struct {
		name  string
		steps []step
	}{
		{"hubs that keep their seats", []step{
			{0, both, "h0"},
			{1 * time.Second, both, ""},
			{2 * time.Second, both, "h1"},
			{4 * time.Second, both, "h0"},
			{6 * time.Second, both, "h1"},
			{8 * time.Second, both, "h0"},
			{10 * time.Second, both, "h1"},
			{12 * time.Second, both, ""},
			{67 * time.Second, both, ""},
			{70 * time.Second, both, "h0"},
			{72 * time.Second, both, "h1"},
			{74 * time.Second, both, "h0"},
			{76 * time.Second, both, "h1"},
			{78 * time.Second, both, "h0"},
			{80 * time.Second, both, "h1"},
			{190 * time.Second, both, ""},
			{200 * time.Second, both, "h0"},
		}},
		{"another holder later", []step{
			{0, both, "h0"},
			{2 * time.Second, both, "h1"},
			{4 * time.Second, both, "h0"},
			{6 * time.Second, both, "h1"},
			{8 * time.Second, both, "h0"},
			{10 * time.Second, both, "h1"},
			{12 * time.Second, both, ""},
			{20 * time.Second, hubsNamed("h2", "h1"), "h2"},
		}},
		{"a seat that another one took", []step{
			{0, both, "h0"},
			{1 * time.Second, hubsNamed("h1"), ""},
			{2 * time.Second, hubsNamed("h2", "h1"), ""},
			{6 * time.Second, hubsNamed("h2", "h1"), ""},
			{8 * time.Second, hubsNamed("h2", "h1"), "h2"},
		}},
		{"a free seat", []step{{0, hubsNamed("h1"), ""}}},
		{"no hub", []step{{0, nil, ""}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			a, start := newSeatAsks(), time.Now()
			for _, s := range tt.steps {
				hub, ok := a.next(s.hubs, start.Add(s.at))
				is.Equal(ok, s.want != "")
				is.Equal(hub.Name, s.want)
				if ok {
					a.sent(hub, start.Add(s.at))
				}
			}
		})
	}
}

// freeSeats is a mangolease.Lookup to which all keys are free.
type freeSeats struct{}

func (freeSeats) Holder(string) (string, bool) { return "", true }
func (freeSeats) Changed() <-chan struct{}     { return nil }

// Guards against a daemon that takes both seats of its data centre at once, so that the data centre has a single hub.
func TestOneSeatForEachDaemon(t *testing.T) {
	for range 20 {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			store := mangostorefake.New()
			store.SetBeforeCall(func(string, string) { time.Sleep(40 * time.Millisecond) })
			acquiring := make(chan struct{}, 1)
			seats := NewSeats(func(seat int, eligible func() bool) Lease {
				return mangolease.New(store, mangostate.SeatKey("a", seat), "self/1 127.0.0.1:1", freeSeats{}, mangolease.WithLifetime(time.Minute),
					mangolease.WithEligible(eligible), mangolease.WithAcquireTurn(acquiring),
					mangolease.WithAcquireDelay(func() time.Duration { return SeatDelay(1) }))
			})
			ctx, cancel := context.WithCancel(t.Context())
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				_ = seats.Run(ctx)
			}()
			time.Sleep(2 * time.Second)
			held := 0
			for _, l := range seats.leases {
				if _, ok := l.Holds(); ok {
					held++
				}
			}
			cancel()
			<-ended
			is.Equal(held, 1)
		})
	}
}

// viewState is a State with a view that tests set.
type viewState struct{ members []mangostate.Member }

func (s *viewState) View() *mangostate.View { return &mangostate.View{Members: s.members} }

// settableLink is a HubLink that tests set.
type settableLink struct{ follows bool }

func (l *settableLink) Hub() (mangostate.Member, bool) {
	return mangostate.Member{Name: "h0"}, l.follows
}

// sentRequests are the names of the hubs that were asked.
type sentRequests struct{ to []string }

func (s *sentRequests) SendSeatRequest(to mangostate.Member) { s.to = append(s.to, to.Name) }

func largeHandover(state State, link HubLink, requester SeatRequester) *Handover {
	seats := NewSeats(func(_ int, eligible func() bool) Lease { return &seatLease{eligible: eligible} })
	return NewHandover(mangostate.Member{Name: "self", DataCentre: "a"}, true, seats, state, link, requester)
}

// Guards against a large host that goes on to move seats between small hosts although it cannot take any: it follows the hub that it
// asks, so it follows none for a moment after that one has given up its seat.
func TestFailedRequestCountsWithoutHub(t *testing.T) {
	is := is.New(t)
	state, link, sent := &viewState{members: hubsNamed("h0", "h1")}, &settableLink{follows: true}, &sentRequests{}
	h, start := largeHandover(state, link, sent), time.Now()
	h.askForSeat(t.Context(), start)
	is.Equal(sent.to, []string{"h0"})
	// The hub has given up its seat, so its followers look for another one.
	state.members, link.follows = hubsNamed("h0", "h1")[1:], false
	h.askForSeat(t.Context(), start.Add(time.Second))
	// A small host has taken the seat, as this one could not.
	state.members, link.follows = hubsNamed("h2", "h1"), true
	h.askForSeat(t.Context(), start.Add(takeTime))
	h.askForSeat(t.Context(), start.Add(takeTime+time.Second))
	is.Equal(sent.to, []string{"h0"})
}

// Guards against a data centre whose two seats are given up at once: a free seat is taken without a request.
func TestNoRequestWhileSeatIsFree(t *testing.T) {
	is := is.New(t)
	state, sent := &viewState{members: hubsNamed("h0", "h1")[1:]}, &sentRequests{}
	h := largeHandover(state, &settableLink{follows: true}, sent)
	h.askForSeat(t.Context(), time.Now())
	is.Equal(len(sent.to), 0)
}

// endedLease is a lease of which a store call fails after the context has ended.
type endedLease struct {
	seatLease
	err error
}

func (l *endedLease) GiveUp(ctx context.Context) { l.holds, l.err = false, ctx.Err() }

// Guards against a seat that stays taken until its lease ends, since the daemon stops while it gives it up.
func TestSeatIsGivenUpAtStop(t *testing.T) {
	is := is.New(t)
	lease := &endedLease{seatLease: seatLease{holds: true}}
	seats := NewSeats(func(seat int, _ func() bool) Lease {
		if seat == 0 {
			return lease
		}
		return &seatLease{}
	})
	ctx, stop := context.WithCancel(t.Context())
	h := NewHandover(mangostate.Member{Name: "self", DataCentre: "a"}, false, seats, &viewState{hubsNamed("h1")}, nil, nil,
		WithStoreCheck(func(context.Context) bool { stop(); return true }))
	h.noteSeat(time.Now().Add(-time.Minute))
	h.answer(ctx, mangostate.Member{Name: "other", DataCentre: "a"}, time.Now())
	is.True(!lease.holds)
	is.NoErr(lease.err)
}
