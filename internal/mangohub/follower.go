package mangohub

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"mangopath.org/mangopath/internal/mangorevision"
	"mangopath.org/mangopath/internal/mangostate"
	"mangopath.org/mangopath/pkg/mangomessage"
)

const (
	// silenceLimit is the time without an update after which a hub counts as lost. Hubs send an update each heartbeatInterval.
	silenceLimit = time.Second
	// confirmationLimit is the age above which the hub's contact to the store no longer counts. Daemons that reach the store
	// tell each other about once a second.
	confirmationLimit = 1900 * time.Millisecond
	// openTimeout bounds the time to connect to a hub and to get its first update.
	openTimeout = 600 * time.Millisecond
	// retryInterval is the time after which a daemon without a hub tries to find one, plus a random time up to the same.
	retryInterval = 100 * time.Millisecond
	// minRotation is the first time for which a hub without contact to the store is followed before another one is tried. It
	// doubles with each hub in a row, up to maxRotation, as the store may be down for all.
	minRotation = 600 * time.Millisecond
	maxRotation = 10 * time.Second
	// unconfirmedMemory is the time for which a hub without contact to the store is tried after all others.
	unconfirmedMemory = 3 * time.Second
	// maxSnapshotItems and maxSnapshotBytes bound the items of one update with all its parts, and their values.
	maxSnapshotItems = 1 << 17
	maxSnapshotBytes = 32 << 20
	// settleTime is the least time for which a hub is followed before a better one replaces it.
	settleTime = 2 * time.Second
)

// Stream is a stream of updates from a hub.
type Stream interface {
	// Recv waits for the next update.
	Recv() (*mangomessage.FollowUpdate, error)
	Close()
}

// Dialer opens the stream of a hub. The end of ctx ends the stream.
type Dialer interface {
	Follow(ctx context.Context, address string, request *mangomessage.FollowRequest) (Stream, error)
}

// State returns what is known from the store.
type State interface {
	View() *mangostate.View
}

// Follower follows a hub: it writes the changes of the store to the mirror and passes on the rest of the updates.
type Follower struct {
	self     mangostate.Member
	dialer   Dialer
	state    State
	mirror   *Mirror
	seats    Holder
	onUpdate func(u *mangomessage.FollowUpdate)
	logger   logrus.FieldLogger

	mu   sync.Mutex
	link Link
	// rotation is the time for which a hub without contact to the store is followed before another one is tried.
	rotation time.Duration
	// unconfirmed has the hubs that were left because they had no contact to the store, with the time of that.
	unconfirmed map[string]time.Time
}

var _ Upstream = (*Follower)(nil)

// FollowerOption sets a property of a Follower.
type FollowerOption func(*Follower)

// WithFollowerLogger sets the logger of the hubs that are followed.
func WithFollowerLogger(l logrus.FieldLogger) FollowerOption {
	return func(f *Follower) { f.logger = l }
}

// OnUpdate sets the function that takes the announcements, loads and confirmations of updates. It must be called before Run, and the
// function must not block.
func (f *Follower) OnUpdate(h func(u *mangomessage.FollowUpdate)) { f.onUpdate = h }

// NewFollower returns a follower of the daemon self that does not follow any hub yet.
func NewFollower(self mangostate.Member, dialer Dialer, state State, mirror *Mirror, seats Holder, opts ...FollowerOption) *Follower {
	f := &Follower{
		self: self, dialer: dialer, state: state, mirror: mirror, seats: seats, logger: logrus.StandardLogger(),
		onUpdate: func(*mangomessage.FollowUpdate) {}, link: Link{Since: time.Now()},
		rotation: minRotation, unconfirmed: map[string]time.Time{},
	}
	for _, o := range opts {
		o(f)
	}
	return f
}

// Hub returns the daemon to which this one sends what it announces: the hub that it follows, if its stream is not silent.
func (f *Follower) Hub() (mangostate.Member, bool) {
	link := f.Link()
	if !link.Healthy(time.Now()) || link.StoreOnly {
		return mangostate.Member{}, false
	}
	for _, m := range f.state.View().Members {
		if m.Name == link.Hub {
			return m, true
		}
	}
	return mangostate.Member{}, false
}

// IsHub reports whether this daemon acts as the hub of its data centre: it holds a seat and does not follow another hub of
// the data centre.
func (f *Follower) IsHub() bool {
	if _, seated := f.seats.Held(); !seated {
		return false
	}
	_, follows := f.Hub()
	return !follows
}

// IsPrimary reports whether this daemon reads the store on behalf of all, which the others expect of it.
func (f *Follower) IsPrimary() bool {
	seat, seated := f.seats.Held()
	return seated && seat == 0 && primaryHub(f.state.View().Members).Name == f.self.Name
}

// Run follows a hub until the context ends.
func (f *Follower) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		for _, hub := range f.candidates() {
			if f.follow(ctx, hub) || ctx.Err() != nil {
				break
			}
		}
		if !sleep(ctx, retryInterval+rand.N(retryInterval)) {
			break
		}
	}
	return ctx.Err()
}

// candidates returns the hubs to follow, the best first.
func (f *Follower) candidates() []candidate {
	seat, seated := f.seats.Held()
	if f.mirror.Contact() && f.IsPrimary() {
		return nil
	}
	list := hubsToFollow(f.self, seat, seated, f.state.View().Members)
	f.mu.Lock()
	defer f.mu.Unlock()
	slices.SortStableFunc(list, func(a, b candidate) int {
		return cmp.Compare(f.unconfirmedRank(a.Name), f.unconfirmedRank(b.Name))
	})
	return list
}

// unconfirmedRank returns 1 for a hub that lately had no contact to the store, else 0. The caller holds f.mu.
func (f *Follower) unconfirmedRank(hub string) int {
	if time.Since(f.unconfirmed[hub]) < unconfirmedMemory {
		return 1
	}
	return 0
}

// follow follows a hub until its stream ends, is silent or is no longer wanted. It reports whether there was an update.
func (f *Follower) follow(ctx context.Context, hub candidate) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	watchdog := time.AfterFunc(openTimeout, cancel)
	defer watchdog.Stop()
	stream, err := f.dialer.Follow(ctx, hub.Address, &mangomessage.FollowRequest{
		From:  &mangomessage.Member{Name: f.self.Name, DataCentre: f.self.DataCentre, Address: f.self.Address},
		After: f.mirror.Revision(), StoreOnly: hub.storeOnly,
	})
	if err != nil {
		f.logger.WithFields(logrus.Fields{"event": "hub_unreached", "hub": hub.Name, "address": hub.Address}).WithError(err).
			Warn("a hub could not be followed")
		return false
	}
	defer stream.Close()
	updates := 0
	var begun []Item
	for {
		u, err := stream.Recv()
		if err != nil {
			f.endLink(hub, updates, err)
			return updates > 0
		}
		watchdog.Reset(silenceLimit)
		updates++
		f.recordUpdate(hub, u)
		if updates == 1 {
			f.logger.WithFields(logrus.Fields{"event": "hub_followed", "hub": hub.Name, "address": hub.Address, "revision": mangorevision.Text(u.GetRevision()), "store_lost": u.GetStoreLost(), "store_away_ms": u.GetStoreAwayMs()}).
				Info("this daemon follows a hub")
		}
		if begun = f.apply(hub, begun, u); tooLarge(begun) {
			f.endLink(hub, updates, &Error{Op: "Follow", Kind: KindStream, Err: errors.Errorf(
				"an update of more than %d items or %d bytes", maxSnapshotItems, maxSnapshotBytes)})
			return false
		}
		f.onUpdate(u)
		if f.shouldLeave(hub) {
			f.endLink(hub, updates, nil)
			return true
		}
	}
}

// tooLarge reports whether the items of an update exceed its bounds.
func tooLarge(items []Item) bool {
	size := 0
	for _, it := range items {
		size += len(it.Key) + len(it.Value)
	}
	return len(items) > maxSnapshotItems || size > maxSnapshotBytes
}

// recordUpdate records the time and the confirmation of an update.
func (f *Follower) recordUpdate(hub candidate, u *mangomessage.FollowUpdate) {
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.link.Hub != hub.Name {
		link := Link{Hub: hub.Name, Since: now, StoreOnly: hub.storeOnly}
		if now.Sub(f.link.Since) < unconfirmedMemory {
			// Another hub without contact to the store ends no wait for that contact.
			link.UnconfirmedAt = f.link.UnconfirmedAt
		}
		f.link = link
	}
	f.link.UpdatedAt = now
	f.link.ConfirmedAt = time.Time{}
	if f.bringsContact(u) {
		f.link.ConfirmedAt = now.Add(-time.Duration(u.GetConfirmedAgeMs()) * time.Millisecond)
	}
	switch {
	case f.link.Confirmed(now):
		f.link.UnconfirmedAt = time.Time{}
		f.rotation = minRotation
	case f.link.UnconfirmedAt.IsZero():
		f.link.UnconfirmedAt = now
	}
}

// apply writes the changes of an update to the mirror. begun has the items of earlier parts of the same update; apply returns
// them with those of this part, or none after the last part.
func (f *Follower) apply(hub candidate, begun []Item, u *mangomessage.FollowUpdate) []Item {
	begun = append(begun, decodeItems(u.GetItems())...)
	if u.GetMore() {
		return begun
	}
	isLocal := hub.DataCentre == f.self.DataCentre
	var outage mangostate.Outage
	if away := cmp.Or(u.GetStoreAwayMs(), u.GetStoreBackMs()); away > 0 && (isLocal || !u.GetAwayLocally()) {
		outage = mangostate.Outage{At: time.Now().Add(-time.Duration(away) * time.Millisecond), OnlyLocal: u.GetAwayLocally()}
	}
	var since time.Time
	if u.GetContactMs() > 0 {
		since = time.Now().Add(-time.Duration(u.GetContactMs()) * time.Millisecond)
	}
	f.mirror.SetHubContact(HubContact{
		Reached: f.bringsContact(u), Path: u.GetPath(), Outage: outage, Since: since, Local: isLocal,
	})
	if u.GetSnapshot() {
		f.mirror.Load(begun, u.GetRevision())
	} else {
		f.mirror.Append(begun, u.GetRevision())
	}
	if f.bringsContact(u) {
		f.mirror.Confirm(u.GetRevision(), time.Duration(u.GetConfirmedAgeMs())*time.Millisecond)
	}
	return nil
}

// bringsContact reports whether the hub that sent an update reaches the store without this daemon. Two hubs that follow each
// other would otherwise each take the other's word for it.
func (f *Follower) bringsContact(u *mangomessage.FollowUpdate) bool {
	return !u.GetStoreLost() && !slices.Contains(u.GetPath(), f.self.Name)
}

// shouldLeave reports whether another hub is to be tried: the present one has had no contact to the store for a while, another
// one has been better for a while, or the present one no longer fits what this daemon wants from it.
func (f *Follower) shouldLeave(hub candidate) bool {
	candidates := f.candidates()
	i := slices.IndexFunc(candidates, func(c candidate) bool { return c.Name == hub.Name && c.storeOnly == hub.storeOnly })
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	switch {
	case !f.link.UnconfirmedAt.IsZero() && now.Sub(f.link.UnconfirmedAt) > f.rotation && len(candidates) > 1:
		f.unconfirmed[hub.Name] = now
		f.rotation = min(2*f.rotation, maxRotation)
		return true
	case i == 0, len(candidates) == 0 && !f.IsPrimary():
		return false
	default:
		return now.Sub(f.link.Since) > settleTime
	}
}

// endLink records that the stream of a hub has ended.
func (f *Follower) endLink(hub candidate, updates int, err error) {
	f.mu.Lock()
	f.link = Link{Since: time.Now(), UnconfirmedAt: f.link.UnconfirmedAt}
	f.mu.Unlock()
	f.mirror.EndHubContact()
	entry := f.logger.WithFields(logrus.Fields{"event": "hub_left", "hub": hub.Name, "address": hub.Address, "updates": updates})
	if err != nil {
		entry.WithError(err).Warn("the stream of a hub has ended")
		return
	}
	entry.Info("this daemon leaves a hub for another source")
}
