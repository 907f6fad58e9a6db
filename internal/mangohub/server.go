package mangohub

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"mangopath.org/mangopath/internal/mangocapacity"
	"mangopath.org/mangopath/internal/mangoreplica"
	"mangopath.org/mangopath/internal/mangorevision"
	"mangopath.org/mangopath/pkg/mangomessage"
)

const (
	// heartbeatInterval is the longest time between two updates to a follower.
	heartbeatInterval = 250 * time.Millisecond
	// remoteLoadHeartbeats is the number of heartbeats of which one has the load of replicas in other data centres; all have that of
	// the own one.
	remoteLoadHeartbeats = 4
	// maxUpdateBytes bounds the items of one update, unless a single item is larger.
	maxUpdateBytes = 1 << 20
	// outageTold is the time for which followers are told that the store was away.
	outageTold = 5 * time.Second
	// maxQueuedAnnouncements bounds the announcements that wait for one follower; later ones are dropped.
	maxQueuedAnnouncements = 256
)

// Loads is the load of all daemons on replicas, for followers.
type Loads struct {
	// Local has the replicas of the hub's data centre, and Remote all others.
	Local, Remote map[string]mangoreplica.Load
	// Demand is what all daemons observe of demand.
	Demand  mangocapacity.Report
	Daemons int
}

// Server sends followers what the mirror learns, announcements and loads. Its methods are safe for concurrent use.
type Server struct {
	self   string
	mirror *Mirror
	loads  func() Loads
	// suspicions returns those after a position, and the next position.
	suspicions func(after uint64) ([]*mangomessage.Suspicion, uint64)
	logger     logrus.FieldLogger

	mu        sync.Mutex
	followers map[*follower]struct{}
	// heartbeat is closed and replaced at each heartbeat, and current is the load that was computed with it.
	heartbeat  chan struct{}
	heartbeats int
	current    Loads
}

// follower is the stream to one follower.
type follower struct {
	name string
	// storeOnly says that it gets neither announcements nor loads.
	storeOnly     bool
	announcements []*mangomessage.ExchangeRequest
	wake          chan struct{}
	// position is the one in the log of suspicions up to which the follower has them.
	position uint64
}

// ServerOption sets a property of a Server.
type ServerOption func(*Server)

// WithServerLogger sets the logger of followers that come and go.
func WithServerLogger(l logrus.FieldLogger) ServerOption { return func(s *Server) { s.logger = l } }

// WithLoads sets the function that returns the load of all daemons.
func WithLoads(f func() Loads) ServerOption { return func(s *Server) { s.loads = f } }

// WithSuspicions sets the function that returns the suspicions of crashing requests after a position.
func WithSuspicions(f func(after uint64) ([]*mangomessage.Suspicion, uint64)) ServerOption {
	return func(s *Server) { s.suspicions = f }
}

// NewServer returns the server of the daemon self, without followers.
func NewServer(self string, mirror *Mirror, opts ...ServerOption) *Server {
	s := &Server{
		self: self, mirror: mirror, loads: func() Loads { return Loads{} }, logger: logrus.StandardLogger(),
		suspicions: func(after uint64) ([]*mangomessage.Suspicion, uint64) { return nil, after },
		followers:  map[*follower]struct{}{}, heartbeat: make(chan struct{}),
	}
	for _, o := range opts {
		o(s)
	}
	return s
}

// Followers returns the number of followers.
func (s *Server) Followers() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.followers)
}

// Follows reports whether a daemon follows this one and gets its announcements.
func (s *Server) Follows(daemon string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for f := range s.followers {
		if f.name == daemon && !f.storeOnly {
			return true
		}
	}
	return false
}

// Run computes the loads and wakes the streams at each heartbeat, until the context ends.
func (s *Server) Run(ctx context.Context) error {
	tick := time.NewTicker(heartbeatInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
		if s.Followers() == 0 {
			continue
		}
		loads := s.loads()
		s.mu.Lock()
		s.current = loads
		s.heartbeats++
		close(s.heartbeat)
		s.heartbeat = make(chan struct{})
		s.mu.Unlock()
	}
}

// Publish queues announcements for all followers but the one that sent them. It never blocks.
func (s *Server) Publish(from string, announcements *mangomessage.ExchangeRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for f := range s.followers {
		if f.name == from || f.storeOnly || len(f.announcements) >= maxQueuedAnnouncements {
			continue
		}
		f.announcements = append(f.announcements, announcements)
		f.signal()
	}
}

// Wake makes the streams look for new suspicions. It never blocks.
func (s *Server) Wake() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for f := range s.followers {
		f.signal()
	}
}

func (f *follower) signal() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// Serve sends a follower updates until the context ends or send fails.
func (s *Server) Serve(ctx context.Context, request *mangomessage.FollowRequest, send func(*mangomessage.FollowUpdate) error) error {
	f := &follower{name: request.GetFrom().GetName(), storeOnly: request.GetStoreOnly(), wake: make(chan struct{}, 1)}
	s.mu.Lock()
	s.followers[f] = struct{}{}
	s.mu.Unlock()
	s.logger.WithFields(logrus.Fields{"event": "follower_joined", "peer": f.name, "after": mangorevision.Text(request.GetAfter())}).Info("a daemon follows this one")
	defer func() {
		s.mu.Lock()
		delete(s.followers, f)
		s.mu.Unlock()
		s.logger.WithFields(logrus.Fields{"event": "follower_left", "peer": f.name}).Info("a daemon no longer follows this one")
	}()
	last, withLoads := request.GetAfter(), true
	for {
		s.mu.Lock()
		heartbeat := s.heartbeat
		s.mu.Unlock()
		changed := s.mirror.Changed()
		var err error
		if last, err = s.sendUpdate(f, last, withLoads, send); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-heartbeat:
			withLoads = true
		case <-changed:
			withLoads = false
		case <-f.wake:
			withLoads = false
		}
	}
}

// sendUpdate sends everything after a revision, in parts if it is large, and returns the revision that the follower has then.
func (s *Server) sendUpdate(f *follower, after uint64, withLoads bool, send func(*mangomessage.FollowUpdate) error) (uint64, error) {
	u := s.contactUpdate()
	if !f.storeOnly {
		s.addAnnouncements(u, f)
		if withLoads {
			s.addLoads(u)
		}
	}
	if !s.mirror.Loaded() {
		return after, send(u)
	}
	items, revision, complete := s.mirror.Since(after)
	if !complete {
		items, revision = s.mirror.All()
		u.Snapshot = true
	}
	u.Revision = revision
	for {
		n := partLength(items)
		u.Items, u.More = encodeItems(items[:n]), n < len(items)
		if err := send(u); err != nil {
			return after, err
		}
		if !u.GetMore() {
			return max(after, revision), nil
		}
		items = items[n:]
		next := s.contactUpdate()
		next.Revision, next.Snapshot = u.GetRevision(), u.GetSnapshot()
		u = next
	}
}

// partLength returns the number of the first items that fit into one update, at least one if there are any.
func partLength(items []Item) int {
	size := 0
	for i, it := range items {
		size += len(it.Key) + len(it.Value)
		if size > maxUpdateBytes && i > 0 {
			return i
		}
	}
	return len(items)
}

// contactUpdate returns an update that only says whether the store is reached.
func (s *Server) contactUpdate() *mangomessage.FollowUpdate {
	u := &mangomessage.FollowUpdate{Path: append([]string{s.self}, s.mirror.Path()...), StoreLost: !s.mirror.Contact(), ConfirmedAgeMs: uint32(min(s.mirror.ConfirmedAge(), time.Hour).Milliseconds())}
	outage := s.mirror.Outage()
	if age := time.Since(outage.At); age < outageTold {
		u.StoreAwayMs, u.AwayLocally = uint32(max(age.Milliseconds(), 1)), outage.OnlyLocal
		u.StoreBackMs = u.GetStoreAwayMs()
	}
	if since, reached := s.mirror.ContactSince(); reached {
		u.ContactMs = uint32(min(time.Since(since), time.Hour).Milliseconds())
	}
	return u
}

// addAnnouncements adds the announcements and suspicions that the follower does not have.
func (s *Server) addAnnouncements(u *mangomessage.FollowUpdate, f *follower) {
	s.mu.Lock()
	u.Announcements, f.announcements = f.announcements, nil
	s.mu.Unlock()
	var suspicions []*mangomessage.Suspicion
	if suspicions, f.position = s.suspicions(f.position); len(suspicions) > 0 {
		u.Announcements = append(u.Announcements, &mangomessage.ExchangeRequest{Suspicions: suspicions, Relayed: true})
	}
}

// addLoads adds the load that was computed with the last heartbeat.
func (s *Server) addLoads(u *mangomessage.FollowUpdate) {
	s.mu.Lock()
	defer s.mu.Unlock()
	u.Loads, u.Daemons = EncodeLoads(s.current.Local), uint32(s.current.Daemons)
	u.Demand = EncodeDemand(s.current.Demand, time.Now())
	if s.heartbeats%remoteLoadHeartbeats == 0 {
		u.Loads = append(u.Loads, EncodeLoads(s.current.Remote)...)
		u.AllLoads = true
	}
}
