package mangoentry

import (
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"mangopath.org/mangopath/internal/mangobroadcast"
	"mangopath.org/mangopath/internal/mangocapacity"
	"mangopath.org/mangopath/internal/mangocrash"
	"mangopath.org/mangopath/internal/mangohub"
	"mangopath.org/mangopath/internal/mangolimit"
	"mangopath.org/mangopath/internal/mangometric"
	"mangopath.org/mangopath/internal/mangopeer"
	"mangopath.org/mangopath/internal/mangoreplica"
	"mangopath.org/mangopath/internal/mangostate"
	"mangopath.org/mangopath/pkg/mangomessage"
	"mangopath.org/mangopath/platform"
)

// followDialer is a mangohub.Dialer by the client of peers.
type followDialer struct{ client *mangopeer.Client }

// Follow implements mangohub.Dialer.
func (d followDialer) Follow(ctx context.Context, address string, request *mangomessage.FollowRequest) (mangohub.Stream, error) {
	stream, err := d.client.Follow(ctx, address, request)
	if err != nil {
		return nil, err
	}
	return stream, nil
}

func provideFollower(
	self mangostate.Member, client *mangopeer.Client, state *mangostate.Controller, mirror *mangohub.Mirror, seats *mangohub.Seats,
	logger *logrus.Logger,
) *mangohub.Follower {
	return mangohub.NewFollower(self, followDialer{client}, state, mirror, seats, mangohub.WithFollowerLogger(logger))
}

// provideHandover also makes the broadcaster deliver the requests of larger hosts for this daemon's seat.
func provideHandover(
	self mangostate.Member, s *mangomessage.RelaySettings, seats *mangohub.Seats, state *mangostate.Controller, follower *mangohub.Follower,
	store *platform.Store, placement placementLease, broadcaster *mangobroadcast.Broadcaster, metrics *mangometric.RelayMetrics, logger *logrus.Logger,
) *mangohub.Handover {
	reachesStore := func(ctx context.Context) bool {
		_, err := store.Revision(ctx)
		return err == nil
	}
	h := mangohub.NewHandover(
		self, mangohub.IsLargeHost(s.GetHost().GetProcessorShare()), seats, state, follower, broadcaster, mangohub.WithStoreCheck(reachesStore),
		mangohub.WithSeatGivenUp(placement.GiveUp),
		mangohub.WithHandoverObserver(metrics.CountSeatRequest), mangohub.WithHandoverLogger(logger),
	)
	broadcaster.OnSeatRequest(h.HandleRequest)
	return h
}

func provideReader(
	store *platform.Store, mirror *mangohub.Mirror, seats *mangohub.Seats, follower *mangohub.Follower, contact *mangostate.Contact,
	logger *logrus.Logger,
) *mangohub.Reader {
	return mangohub.NewReader(store, mirror, seats, follower, mangohub.WithReaderLogger(logger), mangohub.WithContact(func() { contact.Record(0) }))
}

// provideReporter also connects the reporter to the loads that other daemons announce.
func provideReporter(
	self mangostate.Member, limiter *mangolimit.Limiter, health *mangoreplica.HealthTracker, state *mangostate.Controller, follower *mangohub.Follower, table *mangohub.LoadTable,
	demand *mangocapacity.Tracker, demands *mangohub.DemandTable, broadcaster *mangobroadcast.Broadcaster,
) *mangohub.Reporter {
	own := func(now time.Time) map[string]mangoreplica.Load {
		limiter.Prune(state.View().Fleet)
		return limiter.AddDemand(health.OwnLoads(), now)
	}
	r := mangohub.NewReporter(self.Name, self.DataCentre, own, health, state, follower, table, demand, demands, func(loads []*mangomessage.ReplicaLoad, d *mangomessage.DemandReport, daemons int) {
		broadcaster.AnnounceLoads(mangobroadcast.LoadReport{Loads: loads, Demand: d, Daemons: daemons})
	})
	broadcaster.OnLoads(func(from string, l mangobroadcast.LoadReport) {
		r.HandleReport(from, l.Loads, l.Demand, l.Daemons, l.Group)
	})
	return r
}

// provideHubServer also makes the broadcaster publish to followers, and the follower pass on what its hub sends.
func provideHubServer(
	self mangostate.Member, mirror *mangohub.Mirror, contact *mangostate.Contact, reporter *mangohub.Reporter, crashes *mangocrash.CrashTracker,
	broadcaster *mangobroadcast.Broadcaster, follower *mangohub.Follower, logger *logrus.Logger,
) *mangohub.Server {
	server := mangohub.NewServer(
		self.Name, mirror, mangohub.WithServerLogger(logger), mangohub.WithLoads(reporter.Loads),
		mangohub.WithSuspicions(func(after uint64) ([]*mangomessage.Suspicion, uint64) { return crashes.Updates(after, time.Now()) }),
	)
	broadcaster.OnPublish(server)
	follower.OnUpdate(func(u *mangomessage.FollowUpdate) {
		if !u.GetStoreLost() && !slices.Contains(u.GetPath(), self.Name) {
			contact.Record(time.Duration(u.GetConfirmedAgeMs()) * time.Millisecond)
		}
		broadcaster.HandleAnnouncements(u.GetAnnouncements())
		reporter.HandleUpdate(u)
	})
	return server
}

// peerHandler answers the calls of other daemons: announcements go to the broadcaster, followers to the server.
type peerHandler struct {
	*mangobroadcast.Broadcaster
	server *mangohub.Server
}

var _ mangopeer.Handler = peerHandler{}

// Follow implements mangopeer.Handler.
func (h peerHandler) Follow(request *mangomessage.FollowRequest, stream mangomessage.DRPCPeer_FollowStream) error {
	return h.server.Serve(stream.Context(), request, stream.Send)
}

// hubComponents are the parts by which a daemon learns of the store and of the load of others.
type hubComponents struct {
	reader   *mangohub.Reader
	follower *mangohub.Follower
	server   *mangohub.Server
	reporter *mangohub.Reporter
	handover *mangohub.Handover
}

func provideHubComponents(
	reader *mangohub.Reader, follower *mangohub.Follower, server *mangohub.Server, reporter *mangohub.Reporter, handover *mangohub.Handover,
) *hubComponents {
	return &hubComponents{reader: reader, follower: follower, server: server, reporter: reporter, handover: handover}
}
