package mangoentry

import (
	"crypto/rand"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"mangopath.org/mangopath/internal/mangobroadcast"
	"mangopath.org/mangopath/internal/mangobudget"
	"mangopath.org/mangopath/internal/mangocapacity"
	"mangopath.org/mangopath/internal/mangocheck"
	"mangopath.org/mangopath/internal/mangoconn"
	"mangopath.org/mangopath/internal/mangocrash"
	"mangopath.org/mangopath/internal/mangodeputy"
	"mangopath.org/mangopath/internal/mangohub"
	"mangopath.org/mangopath/internal/mangolayout"
	"mangopath.org/mangopath/internal/mangolease"
	"mangopath.org/mangopath/internal/mangolimit"
	"mangopath.org/mangopath/internal/mangomemory"
	"mangopath.org/mangopath/internal/mangometric"
	"mangopath.org/mangopath/internal/mangopeer"
	"mangopath.org/mangopath/internal/mangorelay"
	"mangopath.org/mangopath/internal/mangoreplica"
	"mangopath.org/mangopath/internal/mangorevision"
	"mangopath.org/mangopath/internal/mangoshutdown"
	"mangopath.org/mangopath/internal/mangoslowness"
	"mangopath.org/mangopath/internal/mangostate"
	"mangopath.org/mangopath/internal/mangoverdict"
	"mangopath.org/mangopath/pkg/mangomessage"
	"mangopath.org/mangopath/platform"
)

const (
	// placementLeaseTime is the lifetime of the lease to place layers. It is short, since lost layers are not replaced while
	// nobody holds the lease.
	placementLeaseTime = 2 * time.Second
	// seatLeaseTime is the lifetime of the lease of a hub's seat. Followers notice a lost hub long before that, so it only
	// bounds the time with one hub less. The lease is renewed when seatRenewShare of the lifetime is left.
	seatLeaseTime  = 4 * time.Second
	seatRenewShare = 0.55
	// crashWindow is the time within which crashes count as one. It is less than the time that an engine takes to begin a
	// request after the crash of another one: reading a usual prompt takes about 50 ms.
	crashWindow = 40 * time.Millisecond
	// condemnedExpiry is the time for which crashes count against a request or a part of prompts that is refused.
	condemnedExpiry = 24 * time.Hour
	// storeCallTimeout bounds each call to the store that takes or renews a lease.
	storeCallTimeout = 600 * time.Millisecond
	// requestMemoryShare is the part of the host's memory that the bodies of requests and the answers of upstreams may take
	// together while they are kept: one in so many bytes. Buffers that grow leave about as much for the garbage collector.
	requestMemoryShare = 6
)

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

// bootID identifies this start of the daemon.
type bootID string

func provideBootID() bootID { return bootID(rand.Text()[:12]) }

func provideSelf(s *mangomessage.RelaySettings) mangostate.Member {
	return mangostate.Member{
		Name: s.GetHost().GetName(), DataCentre: s.GetHost().GetDataCentre(), Address: s.GetPeers().GetAddress(),
	}
}

func provideStore(s *mangomessage.RelaySettings, metrics *mangometric.RelayMetrics, logger *logrus.Logger) *platform.Store {
	return platform.NewStore(
		s.GetStore().GetAddress(), milliseconds(s.GetStore().GetTimeout()), platform.WithCallObserver(metrics.CountStoreCall),
		platform.WithEraObserver(func(e platform.EraChange) {
			logger.WithFields(logrus.Fields{"event": "store_era", "era": e.Era, "previous": e.Previous, "call": e.Call, "status": e.Status}).
				Info("an answer of the store has another era than the answer before")
		}),
	)
}

func provideController(self mangostate.Member, mirror *mangohub.Mirror, health *mangoreplica.HealthTracker, logger *logrus.Logger) *mangostate.Controller {
	return mangostate.New(
		platform.NewFeed(mirror), health, mangostate.WithLogger(logger), mangostate.WithOutage(mirror.Outage), mangostate.WithDataCentre(self.DataCentre),
	)
}

func provideBudget(s *mangomessage.RelaySettings) *mangobudget.Budget {
	return mangobudget.New(retryLimit(s), mangobudget.WithRestarted(!s.GetHost().GetFirstStart()))
}

func retryLimit(s *mangomessage.RelaySettings) mangobudget.Limit {
	r := s.GetRetry()
	return mangobudget.Limit{Ratio: r.GetRatio(), Slack: r.GetSlack(), Window: milliseconds(r.GetWindow())}
}

// provideCrashTracker also logs the verdicts of the tracker. Only hubs try what is blocked, since all daemons know who they are.
func provideCrashTracker(s *mangomessage.RelaySettings, state *mangostate.Controller, logger *logrus.Logger) *mangocrash.CrashTracker {
	return mangocrash.New(
		s.GetHost().GetName(), mangocrash.WithCoincidenceWindow(crashWindow), mangocrash.WithCondemnedExpiry(condemnedExpiry),
		mangocrash.WithTriers(func() []string {
			var names []string
			for _, m := range state.View().Members {
				names = append(names, m.Name)
			}
			return names
		}),
		mangocrash.WithVerdictHandler(func(c mangocrash.Change) {
			logger.WithFields(logrus.Fields{
				"event": "suspect_judged", "fingerprint": c.Fingerprint, "verdict": c.Event.String(), "crashes": c.Crashes,
			}).Warn("the verdict on a request or a part of prompts changed")
		}),
	)
}

// provideVerdictKeeper also makes the controller deliver the records of other daemons.
func provideVerdictKeeper(
	self mangostate.Member, state *mangostate.Controller, crashes *mangocrash.CrashTracker, store *platform.Store, logger *logrus.Logger,
) *mangoverdict.Keeper {
	k := mangoverdict.New(self.Name, crashes, store, state, mangoverdict.WithLogger(logger))
	state.OnKey(mangoverdict.KeyPrefix, k.HandleKey)
	return k
}

func providePeers(s *mangomessage.RelaySettings) *mangopeer.Client {
	return mangopeer.NewClient(provideCredentials(s))
}

func provideCredentials(s *mangomessage.RelaySettings) mangopeer.Credentials {
	return mangopeer.SharedKey([]byte(s.GetPeers().GetSharedKey()))
}

func provideBroadcaster(
	self mangostate.Member, client *mangopeer.Client, state *mangostate.Controller, follower *mangohub.Follower, health *mangoreplica.HealthTracker,
	crashes *mangocrash.CrashTracker, logger *logrus.Logger,
) *mangobroadcast.Broadcaster {
	return mangobroadcast.New(self, client, state, follower, health, crashes, mangobroadcast.WithLogger(logger))
}

// providePoller also makes the broadcaster deliver the revisions and the layer reports that other daemons send. Only hubs
// poll.
func providePoller(
	state *mangostate.Controller, store *platform.Store, contact *mangostate.Contact, follower *mangohub.Follower, reader *mangohub.Reader,
	mirror *mangohub.Mirror, broadcaster *mangobroadcast.Broadcaster,
) *mangostate.Poller {
	announce := func(revision uint64) {
		mirror.Confirm(revision, 0)
		broadcaster.AnnounceRevision(revision)
	}
	p := mangostate.NewPoller(
		state, store, contact, announce, mangostate.WithPolls(follower.IsHub), mangostate.WithPollResult(reader.RecordCall),
	)
	broadcaster.OnStateUpdate(func(revision uint64) {
		mirror.Confirm(revision, 0)
		p.RecordPeerRevision(revision)
	}, state.ReportLayers)
	return p
}

func provideEngines(
	conns *mangoconn.Pool, health *mangoreplica.HealthTracker, limiter *mangolimit.Limiter, broadcaster *mangobroadcast.Broadcaster,
	logger *logrus.Logger,
) *platform.ReplicaClient {
	return platform.NewReplicaClient(conns, platform.WithNoticeHandler(mangorelay.NewNoticeHandler(health, limiter, broadcaster, logger)))
}

func provideMemory(s *mangomessage.RelaySettings) *mangomemory.Pool {
	return mangomemory.New(s.GetHost().GetMemory() / requestMemoryShare)
}

// provideLimiter also makes the broadcaster deliver the limits that replicas named to other daemons.
func provideLimiter(health *mangoreplica.HealthTracker, broadcaster *mangobroadcast.Broadcaster, logger *logrus.Logger) *mangolimit.Limiter {
	limiter := mangolimit.New(health)
	broadcaster.OnRateLimit(func(l mangolimit.Limit, from string) {
		if limiter.Record(l) {
			logger.WithFields(logrus.Fields{
				"event": "replica_limited", "replica": l.Replica.ID, "limited": l.Named, "per_second": l.PerSecond, "peer": from,
			}).Info("the limit on requests that a replica names changed, by the word of another daemon")
		}
	})
	return limiter
}

// provideSlowDetector also makes the broadcaster deliver the slowness of replicas that other daemons have probed.
func provideSlowDetector(
	state *mangostate.Controller, engines *platform.ReplicaClient, health *mangoreplica.HealthTracker, broadcaster *mangobroadcast.Broadcaster, logger *logrus.Logger,
) *mangoslowness.Detector {
	d := mangoslowness.New(state, engines, health, broadcaster.AnnouncePace, mangoslowness.WithLogger(logger))
	broadcaster.OnPace(d.RecordPeerReport)
	return d
}

func provideRelay(
	s *mangomessage.RelaySettings, state *mangostate.Controller, conns *mangoconn.Pool, health *mangoreplica.HealthTracker,
	budget *mangobudget.Budget, limiter *mangolimit.Limiter, demand *mangocapacity.Tracker, crashes *mangocrash.CrashTracker, engines *platform.ReplicaClient, broadcaster *mangobroadcast.Broadcaster,
	metrics *mangometric.RelayMetrics, shutdown *mangoshutdown.Shutdown, memory *mangomemory.Pool, slowDetector *mangoslowness.Detector, follower *mangohub.Follower,
	checker *mangocheck.Checker, logger *logrus.Logger,
) *mangorelay.Relay {
	return mangorelay.New(
		s.GetHost().GetDataCentre(), state, platform.Codec{}, conns, health, budget, crashes, mangorelay.WithKeptConnections(conns),
		mangorelay.WithLogger(logger), mangorelay.WithProber(engines), mangorelay.WithPathChanger(engines), mangorelay.WithPeerNotifier(broadcaster), mangorelay.WithSlowReplicaFinder(hubDetector{slowDetector, follower}),
		mangorelay.WithLimiter(limiter), mangorelay.WithDemand(demand), mangorelay.WithObserver(metrics), mangorelay.WithShutdown(shutdown), mangorelay.WithMemory(memory),
		mangorelay.WithCheckRequester(checker), mangorelay.WithCheckObserver(metrics.CountOwnCheck), mangorelay.WithLinkWatcher(checker),
	)
}

// hubDetector looks for slow replicas on hubs only: one probe of a data centre serves all its daemons.
type hubDetector struct {
	detector *mangoslowness.Detector
	follower *mangohub.Follower
}

// ReportSlow implements mangorelay.SlowReplicaFinder.
func (d hubDetector) ReportSlow(service, dataCentre string) {
	if d.follower.IsHub() {
		d.detector.ReportSlow(service, dataCentre)
	}
}

// placementLease is the lease whose holder may order engines to hold layers.
type placementLease struct{ *mangolease.LeasedKey }

// leaseLookup is the mangolease.Lookup of one lease: the controller and a subscription of its own.
type leaseLookup struct {
	*mangostate.Controller
	changed <-chan struct{}
}

// Changed implements mangolease.Lookup.
func (l leaseLookup) Changed() <-chan struct{} { return l.changed }

func providePlacementLease(
	s *mangomessage.RelaySettings, self mangostate.Member, b bootID, store *platform.Store, state *mangostate.Controller,
	contact *mangostate.Contact, seats *mangohub.Seats, logger *logrus.Logger,
) placementLease {
	owner := self.Name + "/" + string(b)
	return placementLease{mangolease.New(
		store, mangostate.PlacementKey, owner, leaseLookup{state, state.Subscribe()}, mangolease.WithLifetime(leaseTime(s, placementLeaseTime)),
		mangolease.WithTimeout(storeCallTimeout), mangolease.WithObserver(leaseObserver(logger, "placement")),
		mangolease.WithStoreUnreachable(contact.Down), mangolease.WithEligible(seats.IsHub),
	)}
}

// provideSeats makes the leases of the hubs' seats of this daemon's data centre.
func provideSeats(
	s *mangomessage.RelaySettings, self mangostate.Member, b bootID, store *platform.Store, state *mangostate.Controller,
	contact *mangostate.Contact, logger *logrus.Logger,
) *mangohub.Seats {
	acquiring := make(chan struct{}, 1)
	return mangohub.NewSeats(func(seat int, eligible func() bool) mangohub.Lease {
		return mangolease.New(
			store, mangostate.SeatKey(self.DataCentre, seat), mangostate.SeatValue(self, string(b)), leaseLookup{state, state.Subscribe()},
			mangolease.WithLifetime(leaseTime(s, seatLeaseTime)), mangolease.WithTimeout(storeCallTimeout), mangolease.WithRenewShare(seatRenewShare),
			mangolease.WithObserver(leaseObserver(logger, "seat")), mangolease.WithStoreUnreachable(contact.Down),
			mangolease.WithEligible(eligible), mangolease.WithAcquireTurn(acquiring), mangolease.WithAcquireDelay(func() time.Duration { return mangohub.SeatDelay(s.GetHost().GetProcessorShare()) }),
		)
	})
}

// leaseTime returns the wanted lifetime of a lease, or the shortest one that the store grants if that is longer.
func leaseTime(s *mangomessage.RelaySettings, wanted time.Duration) time.Duration {
	return max(wanted, milliseconds(s.GetStore().GetMinLeaseTime()))
}

// leaseObserver returns an observer that logs when the lease of a duty is won or lost.
func leaseObserver(logger *logrus.Logger, duty string) mangolease.Observer {
	return func(holds bool, fence uint64, err error) {
		entry := logger.WithFields(logrus.Fields{"duty": duty, "fence": mangorevision.Text(fence)})
		if holds {
			entry.WithField("event", "lease_won").Info("this daemon holds the lease")
			return
		}
		entry.WithField("event", "lease_lost").WithError(err).Warn("this daemon no longer holds the lease")
	}
}

// providePlacer also connects the orders and layer reports of the placer, and the orders of other daemons, to the state.
func providePlacer(
	state *mangostate.Controller, lease *mangodeputy.Deputy, engines *platform.ReplicaClient, health *mangoreplica.HealthTracker,
	broadcaster *mangobroadcast.Broadcaster, metrics *mangometric.RelayMetrics, logger *logrus.Logger,
) *mangolayout.Placer {
	p := mangolayout.New(
		state, lease, engines, health, mangolayout.WithLogger(logger), mangolayout.WithObserver(metrics.CountOrder),
		mangolayout.WithOrderHandler(func(g mangolayout.GivenOrder) {
			state.ReportOrder(mangoreplica.LayerReport{Replica: g.Replica, Layers: g.Layers})
			broadcaster.AnnounceOrder(g)
		}),
		mangolayout.WithChangeSignal(state.Subscribe()), mangolayout.WithLayerReportHandler(func(s mangoreplica.LayerReport) {
			state.ReportLayers(s)
			broadcaster.AnnounceLayers(s)
		}),
	)
	broadcaster.OnOrder(func(g mangolayout.GivenOrder) {
		state.ReportOrder(mangoreplica.LayerReport{Replica: g.Replica, Layers: g.Layers})
		p.RecordOrder(g)
	})
	return p
}

// provideDeputy also connects the deputy to the claims that it and other daemons broadcast.
func provideDeputy(
	self mangostate.Member, placement placementLease, state *mangostate.Controller, contact *mangostate.Contact, seats *mangohub.Seats,
	broadcaster *mangobroadcast.Broadcaster, logger *logrus.Logger,
) *mangodeputy.Deputy {
	// Only hubs take part in the election, and the holder of the placement, which may have lost its seat.
	storeUnreachable := func() bool {
		_, holds := placement.Holds()
		return (holds || seats.IsHub()) && contact.Down()
	}
	d := mangodeputy.New(self, placement, state, storeUnreachable, func(fence uint64, holder bool) {
		broadcaster.AnnounceClaim(mangobroadcast.Claim{Fence: fence, Holder: holder})
	}, mangodeputy.WithLogger(logger))
	broadcaster.OnClaim(func(from string, c mangobroadcast.Claim) { d.HandleClaim(from, c.Fence, c.Holder) })
	return d
}

func provideRegistry() *prometheus.Registry { return prometheus.NewRegistry() }
