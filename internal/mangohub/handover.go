package mangohub

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"mangopath.org/mangopath/internal/mangostate"
)

const (
	// handoverInterval is the time between two requests of a large host for a seat.
	handoverInterval = time.Second
	// takeTime is the time within which a large host takes a seat that was given up for it: it learns of the change in about 50 ms and
	// waits up to largeHostDelay.
	takeTime = 2 * time.Second
	// yieldTime is the time for which a daemon that gave up a seat takes none. It is longer than takeTime.
	yieldTime = 3 * time.Second
	// maxSeatRequests is the number of requests after which a hub that keeps its seat is asked again only after keptPause: it may be
	// a large host itself. The pause doubles each time, up to maxKeptPause. A request can get lost or come within minSeatTime, so
	// there is more than one.
	maxSeatRequests = 3
	keptPause       = time.Minute
	maxKeptPause    = 10 * time.Minute
	// failedPause is the time without requests after a large host did not get a seat that was given up after its request. Another large
	// host has it, or a small one: then each further request could only move seats between small hosts.
	failedPause = 5 * time.Second
	// storeTimeout bounds the call that shows whether a large host could take a seat.
	storeTimeout = 300 * time.Millisecond
	// minSeatTime is the least time for which a small host keeps its seat, and handoverPause the least time between two seats that it
	// gives up, so that seats do not move back and forth.
	minSeatTime   = time.Second
	handoverPause = 20 * time.Second
)

// Results of requests for a seat, as they appear in metrics.
const (
	handoverAsked   = "Asked"
	handoverGivenUp = "GivenUp"
	handoverKept    = "Kept"
)

// SeatRequester sends requests for a seat. It is implemented by mangobroadcast.Broadcaster.
type SeatRequester interface {
	// SendSeatRequest asks a hub for its seat. It never blocks.
	SendSeatRequest(to mangostate.Member)
}

// HubLink tells which hub this daemon follows. It is implemented by Follower.
type HubLink interface {
	// Hub returns the hub; ok is false if this daemon follows none or hears nothing from it.
	Hub() (m mangostate.Member, ok bool)
}

// Handover moves seats from small hosts to large ones. A small host takes a seat that no large one takes in time, as when all large hosts
// of its data centre are cut off. Its link and its processor may be too small for the followers of a hub, so it gives the seat up once a
// large host asks for it. Its methods are safe for concurrent use.
type Handover struct {
	self      mangostate.Member
	isLarge   bool
	seats     *Seats
	state     State
	link      HubLink
	requester SeatRequester
	// reachesStore makes a call to the store, and reports whether it was answered: a seat cannot be given up or taken without it.
	reachesStore func(ctx context.Context) bool
	observe      func(result string)
	// onGivenUp is called after this daemon has given up its seat.
	onGivenUp func(ctx context.Context)
	logger    logrus.FieldLogger
	requests  chan mangostate.Member

	// The following fields belong to the goroutine of Run.
	asks seatAsks
	// heldSince is when this daemon was first seen to hold its seat; zero without one. gaveUpAt is when it last gave one up.
	heldSince, gaveUpAt time.Time
}

// HandoverOption sets a property of a Handover.
type HandoverOption func(*Handover)

// WithHandoverLogger sets the logger of requests for seats.
func WithHandoverLogger(l logrus.FieldLogger) HandoverOption {
	return func(h *Handover) { h.logger = l }
}

// WithHandoverObserver sets the function that counts requests for seats by their result.
func WithHandoverObserver(f func(result string)) HandoverOption {
	return func(h *Handover) { h.observe = f }
}

// WithStoreCheck sets the function that makes a call to the store and reports whether it was answered.
func WithStoreCheck(f func(ctx context.Context) bool) HandoverOption {
	return func(h *Handover) { h.reachesStore = f }
}

// WithSeatGivenUp sets the function that gives up what only a hub may hold, after this daemon has given up its seat.
func WithSeatGivenUp(f func(ctx context.Context)) HandoverOption {
	return func(h *Handover) { h.onGivenUp = f }
}

// NewHandover returns the handover of the daemon self, whose host is large or small.
func NewHandover(
	self mangostate.Member, isLarge bool, seats *Seats, state State, link HubLink, requester SeatRequester, opts ...HandoverOption,
) *Handover {
	h := &Handover{
		self: self, isLarge: isLarge, seats: seats, state: state, link: link, requester: requester, reachesStore: func(context.Context) bool { return true },
		observe: func(string) {}, onGivenUp: func(context.Context) {}, logger: logrus.StandardLogger(), requests: make(chan mangostate.Member, 1), asks: newSeatAsks(),
	}
	for _, o := range opts {
		o(h)
	}
	return h
}

// HandleRequest takes the request of another daemon for this one's seat. It never blocks; a request is dropped while another one is
// waiting.
func (h *Handover) HandleRequest(from mangostate.Member) {
	select {
	case h.requests <- from:
	default:
	}
}

// Run asks for seats or gives them up until the context ends.
func (h *Handover) Run(ctx context.Context) error {
	tick := time.NewTicker(handoverInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
			h.noteSeat(time.Now())
			h.askForSeat(ctx, time.Now())
		case from := <-h.requests:
			h.noteSeat(time.Now())
			h.answer(ctx, from, time.Now())
		}
	}
}

// noteSeat keeps the time since which this daemon holds its seat.
func (h *Handover) noteSeat(now time.Time) {
	switch held := h.seats.IsHub(); {
	case !held:
		h.heldSince = time.Time{}
	case h.heldSince.IsZero():
		h.heldSince = now
	}
}

// askForSeat asks the next hub of the data centre for its seat if this host is large and has none.
func (h *Handover) askForSeat(ctx context.Context, now time.Time) {
	if h.seats.IsHub() {
		h.asks.last = mangostate.Member{}
		return
	}
	if _, follows := h.link.Hub(); !h.isLarge || !follows {
		return
	}
	hub, ok := h.asks.next(h.otherHubs(), now)
	if !ok || !h.storeAnswers(ctx) {
		return
	}
	h.asks.sent(hub, now)
	h.requester.SendSeatRequest(hub)
	h.observe(handoverAsked)
	h.logger.WithFields(logrus.Fields{"event": "seat_requested", "hub": hub.Name, "seat": hub.Seat}).
		Info("a hub of the data centre is asked for its seat, as this host is large")
}

// otherHubs returns the other daemons that hold a seat of the data centre.
func (h *Handover) otherHubs() []mangostate.Member {
	var hubs []mangostate.Member
	for _, m := range h.state.View().Members {
		if m.DataCentre == h.self.DataCentre && m.Name != h.self.Name {
			hubs = append(hubs, m)
		}
	}
	return hubs
}

// storeAnswers makes a call to the store that is bounded by storeTimeout.
func (h *Handover) storeAnswers(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	return h.reachesStore(ctx)
}

// answer gives up the seat if this host is small and the asking one belongs to the data centre.
func (h *Handover) answer(ctx context.Context, from mangostate.Member, now time.Time) {
	reason := h.reasonToKeep(from, now)
	if reason == "" && !h.storeAnswers(ctx) {
		reason = "StoreLost"
	}
	if reason != "" {
		h.observe(handoverKept)
		h.logger.WithFields(logrus.Fields{"event": "seat_kept", "asked_by": from.Name, "reason": reason}).Info("this daemon keeps its seat although another one asked for it")
		return
	}
	h.gaveUpAt = now
	h.observe(handoverGivenUp)
	h.logger.WithFields(logrus.Fields{"event": "seat_given_up", "asked_by": from.Name}).Info("this daemon gives up its seat to a larger host")
	// A stop does not cut the calls short: the seat would stay taken until its lease ends.
	ctx = context.WithoutCancel(ctx)
	h.seats.GiveUp(ctx)
	h.onGivenUp(ctx)
}

// reasonToKeep returns why a request does not make this daemon give up its seat, or "" if it does.
func (h *Handover) reasonToKeep(from mangostate.Member, now time.Time) string {
	switch {
	case h.isLarge:
		return "LargeHost"
	case h.heldSince.IsZero():
		return "NoSeat"
	case from.DataCentre != h.self.DataCentre:
		return "OtherDataCentre"
	case now.Sub(h.heldSince) < minSeatTime:
		return "NewSeat"
	case !h.gaveUpAt.IsZero() && now.Sub(h.gaveUpAt) < handoverPause:
		return "GaveUpLately"
	case len(h.otherHubs()) == 0:
		// The other seat may have been given up a moment ago.
		return "OtherSeatFree"
	default:
		return ""
	}
}

// seatAsks decides which hub a large host without a seat asks next.
type seatAsks struct {
	// asked has the requests to each present hub.
	asked map[string]seatAsk
	// last is the hub that was asked last, at lastAt; empty once it is known what came of it.
	last   mangostate.Member
	lastAt time.Time
	// failedUntil ends the pause after a seat was given up and another daemon took it.
	failedUntil time.Time
}

// seatAsk has the requests to one hub since its last pause, the time before which it is not asked again, and the length of that pause.
type seatAsk struct {
	requests    int
	pausedUntil time.Time
	pause       time.Duration
}

func newSeatAsks() seatAsks { return seatAsks{asked: map[string]seatAsk{}} }

// next returns the hub to ask now; ok is false if none is to be asked. hubs are those of the data centre. None is asked while a seat is
// free, which needs no request, or within takeTime of the last request, since that one's seat may be about to be free.
func (a *seatAsks) next(hubs []mangostate.Member, now time.Time) (hub mangostate.Member, ok bool) {
	isHub := func(name string) bool {
		return slices.ContainsFunc(hubs, func(m mangostate.Member) bool { return m.Name == name })
	}
	if a.last.Name != "" {
		if now.Sub(a.lastAt) < takeTime {
			return mangostate.Member{}, false
		}
		if !isHub(a.last.Name) {
			a.failedUntil = now.Add(failedPause)
		}
		a.last = mangostate.Member{}
	}
	if now.Before(a.failedUntil) || len(hubs) < mangostate.SeatsPerDataCentre {
		return mangostate.Member{}, false
	}
	maps.DeleteFunc(a.asked, func(name string, _ seatAsk) bool { return !isHub(name) })
	for _, m := range hubs {
		if now.Before(a.asked[m.Name].pausedUntil) || (ok && a.asked[m.Name].requests >= a.asked[hub.Name].requests) {
			continue
		}
		hub, ok = m, true
	}
	return hub, ok
}

// sent records that a hub was asked.
func (a *seatAsks) sent(hub mangostate.Member, now time.Time) {
	ask := a.asked[hub.Name]
	if ask.requests++; ask.requests >= maxSeatRequests {
		ask.requests, ask.pause = 0, min(max(2*ask.pause, keptPause), maxKeptPause)
		ask.pausedUntil = now.Add(ask.pause)
	}
	a.asked[hub.Name] = ask
	a.last, a.lastAt = hub, now
}
