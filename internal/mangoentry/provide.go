package mangoentry

import (
	"crypto/rand"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"mangopath.org/mangopath/internal/mangobudget"
	"mangopath.org/mangopath/internal/mangoconn"
	"mangopath.org/mangopath/internal/mangodeputy"
	"mangopath.org/mangopath/internal/mangolayout"
	"mangopath.org/mangopath/internal/mangoliveness"
	"mangopath.org/mangopath/internal/mangometric"
	"mangopath.org/mangopath/internal/mangonews"
	"mangopath.org/mangopath/internal/mangopace"
	"mangopath.org/mangopath/internal/mangopeer"
	"mangopath.org/mangopath/internal/mangorelay"
	"mangopath.org/mangopath/internal/mangoreplica"
	"mangopath.org/mangopath/internal/mangostate"
	"mangopath.org/mangopath/internal/mangosuspect"
	"mangopath.org/mangopath/internal/mangotenure"
	"mangopath.org/mangopath/pkg/mangomessage"
	"mangopath.org/mangopath/platform"
)

const (
	// placementLease is short, since lost layers are not replaced while nobody holds it.
	placementLease = 2 * time.Second
	// memberLease is the time for which a daemon that stopped is still counted.
	memberLease = 4 * time.Second
	// crashTogether is less than the time that an engine takes to begin a request which another one has just lost: reading a
	// usual prompt takes about 50 ms.
	crashTogether = 40 * time.Millisecond
	// storeCallTimeout bounds a call that keeps a lease.
	storeCallTimeout = 600 * time.Millisecond
)

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

// boot identifies this start of the daemon.
type boot string

func provideBoot() boot { return boot(rand.Text()[:12]) }

func provideSelf(s *mangomessage.RelaySettings) mangostate.Member {
	return mangostate.Member{Name: s.GetHost().GetName(), Address: s.GetPeers().GetAddress()}
}

func provideStore(s *mangomessage.RelaySettings, metrics *mangometric.Relay) *platform.Store {
	return platform.NewStore(s.GetStore().GetAddress(), milliseconds(s.GetStore().GetTimeout()), platform.WithCallObserver(metrics.Store))
}

func provideController(store *platform.Store, board *mangoreplica.HealthTracker, logger *logrus.Logger) *mangostate.Controller {
	return mangostate.New(platform.NewFeed(store), board, mangostate.WithLogger(logger))
}

func provideBudget(s *mangomessage.RelaySettings) *mangobudget.Budget {
	return mangobudget.New(retryLimit(s), mangobudget.WithRestarted(!s.GetHost().GetFirstStart()))
}

func retryLimit(s *mangomessage.RelaySettings) mangobudget.Limit {
	r := s.GetRetry()
	return mangobudget.Limit{Ratio: r.GetRatio(), Slack: float64(r.GetSlack()), Window: milliseconds(r.GetWindow())}
}

func provideSuspects(s *mangomessage.RelaySettings) *mangosuspect.CrashTracker {
	return mangosuspect.New(s.GetHost().GetName(), mangosuspect.WithCoincidenceWindow(crashTogether))
}

func providePeers(s *mangomessage.RelaySettings) *mangopeer.Client {
	return mangopeer.NewClient(provideSecurity(s))
}

func provideSecurity(s *mangomessage.RelaySettings) mangopeer.Security {
	return mangopeer.SharedKey([]byte(s.GetPeers().GetSharedKey()))
}

func provideNews(
	self mangostate.Member, client *mangopeer.Client, state *mangostate.Controller, board *mangoreplica.HealthTracker,
	suspects *mangosuspect.CrashTracker, logger *logrus.Logger,
) *mangonews.Broadcaster {
	return mangonews.New(self, client, state, board, suspects, mangonews.WithLogger(logger))
}

// poller is made after News, whose messages it sends and receives.
func providePoller(state *mangostate.Controller, store *platform.Store, news *mangonews.Broadcaster) *mangostate.Poller {
	p := mangostate.NewPoller(state, store, news.AnnounceRevision)
	news.OnStateUpdate(p.RecordPeerRevision, state.ReportLayers)
	return p
}

func provideEngines(dialer *mangoconn.Dialer) *platform.Engines { return platform.NewEngines(dialer) }

// provideWatcher is also where paces that other daemons learned arrive.
func provideWatcher(
	state *mangostate.Controller, engines *platform.Engines, board *mangoreplica.HealthTracker, news *mangonews.Broadcaster, logger *logrus.Logger,
) *mangopace.Detector {
	w := mangopace.New(state, engines, board, news.AnnouncePace, mangopace.WithLogger(logger))
	news.OnPace(w.RecordPeerReport)
	return w
}

func provideRelay(
	s *mangomessage.RelaySettings, state *mangostate.Controller, dialer *mangoconn.Dialer, board *mangoreplica.HealthTracker,
	budget *mangobudget.Budget, suspects *mangosuspect.CrashTracker, engines *platform.Engines, news *mangonews.Broadcaster,
	metrics *mangometric.Relay, phase *phase, pacer *mangopace.Detector, logger *logrus.Logger,
) *mangorelay.Relay {
	return mangorelay.New(
		s.GetHost().GetDataCentre(), state, platform.Codec{}, dialer, board, budget, suspects,
		mangorelay.WithLogger(logger), mangorelay.WithProber(engines), mangorelay.WithPeerNotifier(news), mangorelay.WithSlowReplicaFinder(pacer),
		mangorelay.WithObserver(metrics), mangorelay.WithCloseConnections(phase.stopping), mangorelay.WithRejectNew(phase.closed),
	)
}

// provideMonitor is also where news of lost replicas meet the relay, which checks them.
func provideMonitor(
	self mangostate.Member, state *mangostate.Controller, relay *mangorelay.Relay, news *mangonews.Broadcaster, logger *logrus.Logger,
) *mangoliveness.Monitor {
	news.OnOutage(relay.CheckReplica)
	return mangoliveness.New(self, state, state.Subscribe(), relay.CheckReplica, mangoliveness.WithLogger(logger))
}

// placementTenure is the right to give orders to engines.
type placementTenure struct{ *mangotenure.LeasedKey }

// membership announces this daemon to the others.
type membership struct{ *mangotenure.LeasedKey }

// subscription is a lookup with a signal of its own.
type subscription struct {
	*mangostate.Controller
	changed <-chan struct{}
}

// Changed implements mangotenure.Lookup.
func (s subscription) Changed() <-chan struct{} { return s.changed }

func provideTenure(
	s *mangomessage.RelaySettings, self mangostate.Member, b boot, store *platform.Store, state *mangostate.Controller,
	poller *mangostate.Poller, logger *logrus.Logger,
) placementTenure {
	owner := self.Name + "/" + string(b)
	return placementTenure{mangotenure.New(
		store, mangostate.PlacementKey, owner, subscription{state, state.Subscribe()}, mangotenure.WithLifetime(leaseTime(s, placementLease)),
		mangotenure.WithTimeout(storeCallTimeout), mangotenure.WithObserver(tenureObserver(logger, "placement")),
		mangotenure.WithStoreUnreachable(poller.StoreDown),
	)}
}

func provideMembership(
	s *mangomessage.RelaySettings, self mangostate.Member, b boot, store *platform.Store, state *mangostate.Controller,
	logger *logrus.Logger,
) membership {
	return membership{mangotenure.New(
		store, mangostate.MemberKey(self.Name, string(b)), self.Address, subscription{state, state.Subscribe()},
		mangotenure.WithLifetime(leaseTime(s, memberLease)), mangotenure.WithTimeout(storeCallTimeout),
		mangotenure.WithObserver(tenureObserver(logger, "membership")),
	)}
}

// leaseTime returns a lifetime that the store grants.
func leaseTime(s *mangomessage.RelaySettings, wanted time.Duration) time.Duration {
	return max(wanted, milliseconds(s.GetStore().GetMinLeaseTime()))
}

func tenureObserver(logger *logrus.Logger, duty string) mangotenure.Observer {
	return func(holds bool, fence uint64, err error) {
		entry := logger.WithFields(logrus.Fields{"duty": duty, "fence": fence})
		if holds {
			entry.WithField("event", "lease_won").Info("this daemon holds the lease")
			return
		}
		entry.WithField("event", "lease_lost").WithError(err).Warn("this daemon no longer holds the lease")
	}
}

func providePlacer(
	state *mangostate.Controller, tenure *mangodeputy.Deputy, engines *platform.Engines, board *mangoreplica.HealthTracker,
	news *mangonews.Broadcaster, metrics *mangometric.Relay, logger *logrus.Logger,
) *mangolayout.Placer {
	p := mangolayout.New(
		state, tenure, engines, board, mangolayout.WithLogger(logger), mangolayout.WithObserver(metrics.Order),
		mangolayout.WithOrderHandler(func(g mangolayout.GivenOrder) {
			state.ReportOrder(mangoreplica.LayerReport{Replica: g.Replica, Layers: g.Layers})
			news.AnnounceOrder(g)
		}),
		mangolayout.WithChangeSignal(state.Subscribe()), mangolayout.WithSightingHandler(func(s mangoreplica.LayerReport) {
			state.ReportLayers(s)
			news.AnnounceLayers(s)
		}),
	)
	news.OnOrder(func(g mangolayout.GivenOrder) {
		state.ReportOrder(mangoreplica.LayerReport{Replica: g.Replica, Layers: g.Layers})
		p.RecordOrder(g)
	})
	return p
}

// provideDeputy is also where claims of other daemons arrive.
func provideDeputy(
	self mangostate.Member, placement placementTenure, state *mangostate.Controller, poller *mangostate.Poller, news *mangonews.Broadcaster,
	logger *logrus.Logger,
) *mangodeputy.Deputy {
	d := mangodeputy.New(self, placement, state, poller.StoreDown, func(fence uint64, holder bool) {
		news.AnnounceClaim(mangonews.Claim{Fence: fence, Holder: holder})
	}, mangodeputy.WithLogger(logger))
	news.OnClaim(func(from string, c mangonews.Claim) { d.HandleClaim(from, c.Fence, c.Holder) })
	return d
}

func provideRegistry() *prometheus.Registry { return prometheus.NewRegistry() }
