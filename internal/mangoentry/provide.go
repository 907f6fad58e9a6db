package mangoentry

import (
	"crypto/rand"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"mangopath.org/mangopath/internal/mangobroadcast"
	"mangopath.org/mangopath/internal/mangobudget"
	"mangopath.org/mangopath/internal/mangoconn"
	"mangopath.org/mangopath/internal/mangocrash"
	"mangopath.org/mangopath/internal/mangodeputy"
	"mangopath.org/mangopath/internal/mangolayout"
	"mangopath.org/mangopath/internal/mangolease"
	"mangopath.org/mangopath/internal/mangoliveness"
	"mangopath.org/mangopath/internal/mangometric"
	"mangopath.org/mangopath/internal/mangopeer"
	"mangopath.org/mangopath/internal/mangorelay"
	"mangopath.org/mangopath/internal/mangoreplica"
	"mangopath.org/mangopath/internal/mangoslowness"
	"mangopath.org/mangopath/internal/mangostate"
	"mangopath.org/mangopath/pkg/mangomessage"
	"mangopath.org/mangopath/platform"
)

const (
	// placementLeaseTime is the lifetime of the lease to place layers. It is short, since lost layers are not replaced while
	// nobody holds the lease.
	placementLeaseTime = 2 * time.Second
	// memberLeaseTime is the lifetime of a daemon's announcement, for which a daemon that crashed still counts as live.
	memberLeaseTime = 4 * time.Second
	// crashWindow is the time within which crashes count as one. It is less than the time that an engine takes to begin a
	// request after the crash of another one: reading a usual prompt takes about 50 ms.
	crashWindow = 40 * time.Millisecond
	// storeCallTimeout bounds each call to the store that takes or renews a lease.
	storeCallTimeout = 600 * time.Millisecond
)

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

// bootID identifies this start of the daemon.
type bootID string

func provideBootID() bootID { return bootID(rand.Text()[:12]) }

func provideSelf(s *mangomessage.RelaySettings) mangostate.Member {
	return mangostate.Member{Name: s.GetHost().GetName(), Address: s.GetPeers().GetAddress()}
}

func provideStore(s *mangomessage.RelaySettings, metrics *mangometric.RelayMetrics) *platform.Store {
	return platform.NewStore(s.GetStore().GetAddress(), milliseconds(s.GetStore().GetTimeout()), platform.WithCallObserver(metrics.CountStoreCall))
}

func provideController(store *platform.Store, health *mangoreplica.HealthTracker, logger *logrus.Logger) *mangostate.Controller {
	return mangostate.New(platform.NewFeed(store), health, mangostate.WithLogger(logger))
}

func provideBudget(s *mangomessage.RelaySettings) *mangobudget.Budget {
	return mangobudget.New(retryLimit(s), mangobudget.WithRestarted(!s.GetHost().GetFirstStart()))
}

func retryLimit(s *mangomessage.RelaySettings) mangobudget.Limit {
	r := s.GetRetry()
	return mangobudget.Limit{Ratio: r.GetRatio(), Slack: r.GetSlack(), Window: milliseconds(r.GetWindow())}
}

func provideCrashTracker(s *mangomessage.RelaySettings) *mangocrash.CrashTracker {
	return mangocrash.New(s.GetHost().GetName(), mangocrash.WithCoincidenceWindow(crashWindow))
}

func providePeers(s *mangomessage.RelaySettings) *mangopeer.Client {
	return mangopeer.NewClient(provideCredentials(s))
}

func provideCredentials(s *mangomessage.RelaySettings) mangopeer.Credentials {
	return mangopeer.SharedKey([]byte(s.GetPeers().GetSharedKey()))
}

func provideBroadcaster(
	self mangostate.Member, client *mangopeer.Client, state *mangostate.Controller, health *mangoreplica.HealthTracker,
	crashes *mangocrash.CrashTracker, logger *logrus.Logger,
) *mangobroadcast.Broadcaster {
	return mangobroadcast.New(self, client, state, health, crashes, mangobroadcast.WithLogger(logger))
}

// providePoller also makes the broadcaster deliver the revisions and the layer reports that other daemons send.
func providePoller(state *mangostate.Controller, store *platform.Store, broadcaster *mangobroadcast.Broadcaster) *mangostate.Poller {
	p := mangostate.NewPoller(state, store, broadcaster.AnnounceRevision)
	broadcaster.OnStateUpdate(p.RecordPeerRevision, state.ReportLayers)
	return p
}

func provideEngines(
	dialer *mangoconn.Dialer, health *mangoreplica.HealthTracker, broadcaster *mangobroadcast.Broadcaster, logger *logrus.Logger,
) *platform.ReplicaClient {
	return platform.NewReplicaClient(dialer, platform.WithNoticeHandler(mangorelay.NewNoticeHandler(health, broadcaster, logger)))
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
	s *mangomessage.RelaySettings, state *mangostate.Controller, dialer *mangoconn.Dialer, health *mangoreplica.HealthTracker,
	budget *mangobudget.Budget, crashes *mangocrash.CrashTracker, engines *platform.ReplicaClient, broadcaster *mangobroadcast.Broadcaster,
	metrics *mangometric.RelayMetrics, lifecycle *lifecycle, slowDetector *mangoslowness.Detector, logger *logrus.Logger,
) *mangorelay.Relay {
	return mangorelay.New(
		s.GetHost().GetDataCentre(), state, platform.Codec{}, dialer, health, budget, crashes,
		mangorelay.WithLogger(logger), mangorelay.WithProber(engines), mangorelay.WithPeerNotifier(broadcaster), mangorelay.WithSlowReplicaFinder(slowDetector),
		mangorelay.WithObserver(metrics), mangorelay.WithCloseConnections(lifecycle.isStopping), mangorelay.WithRejectNew(lifecycle.refusesNew),
	)
}

// provideMonitor also makes the relay check the replicas that other daemons or the monitor report as lost.
func provideMonitor(
	self mangostate.Member, state *mangostate.Controller, relay *mangorelay.Relay, broadcaster *mangobroadcast.Broadcaster, logger *logrus.Logger,
) *mangoliveness.Monitor {
	broadcaster.OnOutage(relay.CheckReplica)
	return mangoliveness.New(self, state, state.Subscribe(), relay.CheckReplica, mangoliveness.WithLogger(logger))
}

// placementLease is the lease whose holder may order engines to hold layers.
type placementLease struct{ *mangolease.LeasedKey }

// memberLease is the lease by which this daemon announces itself to the others.
type memberLease struct{ *mangolease.LeasedKey }

// leaseLookup is the mangolease.Lookup of one lease: the controller and a subscription of its own.
type leaseLookup struct {
	*mangostate.Controller
	changed <-chan struct{}
}

// Changed implements mangolease.Lookup.
func (l leaseLookup) Changed() <-chan struct{} { return l.changed }

func providePlacementLease(
	s *mangomessage.RelaySettings, self mangostate.Member, b bootID, store *platform.Store, state *mangostate.Controller,
	poller *mangostate.Poller, logger *logrus.Logger,
) placementLease {
	owner := self.Name + "/" + string(b)
	return placementLease{mangolease.New(
		store, mangostate.PlacementKey, owner, leaseLookup{state, state.Subscribe()}, mangolease.WithLifetime(leaseTime(s, placementLeaseTime)),
		mangolease.WithTimeout(storeCallTimeout), mangolease.WithObserver(leaseObserver(logger, "placement")),
		mangolease.WithStoreUnreachable(poller.StoreDown),
	)}
}

func provideMemberLease(
	s *mangomessage.RelaySettings, self mangostate.Member, b bootID, store *platform.Store, state *mangostate.Controller,
	logger *logrus.Logger,
) memberLease {
	return memberLease{mangolease.New(
		store, mangostate.MemberKey(self.Name, string(b)), self.Address, leaseLookup{state, state.Subscribe()},
		mangolease.WithLifetime(leaseTime(s, memberLeaseTime)), mangolease.WithTimeout(storeCallTimeout),
		mangolease.WithObserver(leaseObserver(logger, "membership")),
	)}
}

// leaseTime returns the wanted lifetime of a lease, or the shortest one that the store grants if that is longer.
func leaseTime(s *mangomessage.RelaySettings, wanted time.Duration) time.Duration {
	return max(wanted, milliseconds(s.GetStore().GetMinLeaseTime()))
}

// leaseObserver returns an observer that logs when the lease of a duty is won or lost.
func leaseObserver(logger *logrus.Logger, duty string) mangolease.Observer {
	return func(holds bool, fence uint64, err error) {
		entry := logger.WithFields(logrus.Fields{"duty": duty, "fence": fence})
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
	self mangostate.Member, placement placementLease, state *mangostate.Controller, poller *mangostate.Poller, broadcaster *mangobroadcast.Broadcaster,
	logger *logrus.Logger,
) *mangodeputy.Deputy {
	d := mangodeputy.New(self, placement, state, poller.StoreDown, func(fence uint64, holder bool) {
		broadcaster.AnnounceClaim(mangobroadcast.Claim{Fence: fence, Holder: holder})
	}, mangodeputy.WithLogger(logger))
	broadcaster.OnClaim(func(from string, c mangobroadcast.Claim) { d.HandleClaim(from, c.Fence, c.Holder) })
	return d
}

func provideRegistry() *prometheus.Registry { return prometheus.NewRegistry() }
