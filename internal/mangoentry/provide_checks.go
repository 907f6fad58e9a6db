package mangoentry

import (
	"github.com/sirupsen/logrus"

	"mangopath.org/mangopath/internal/mangobroadcast"
	"mangopath.org/mangopath/internal/mangocheck"
	"mangopath.org/mangopath/internal/mangoconn"
	"mangopath.org/mangopath/internal/mangohub"
	"mangopath.org/mangopath/internal/mangoliveness"
	"mangopath.org/mangopath/internal/mangometric"
	"mangopath.org/mangopath/internal/mangorelay"
	"mangopath.org/mangopath/internal/mangoreplica"
	"mangopath.org/mangopath/internal/mangostate"
)

// provideChecker also makes the broadcaster deliver the requests of other daemons for checks, and the results of other hubs.
func provideChecker(
	self mangostate.Member, state *mangostate.Controller, dialer *mangoconn.Dialer, broadcaster *mangobroadcast.Broadcaster, server *mangohub.Server,
	metrics *mangometric.RelayMetrics, logger *logrus.Logger,
) *mangocheck.Checker {
	c := mangocheck.New(
		self, state, dialer, broadcaster, mangocheck.WithLogger(logger), mangocheck.WithObserver(metrics.CountHubCheck), mangocheck.WithFollows(server.Follows),
		mangocheck.WithCutObserver(metrics.CountOwnCheck, metrics.CountCutOff),
	)
	broadcaster.OnCheckRequests(c.HandleRequests)
	broadcaster.OnCheckResult(c.HandleResult)
	broadcaster.OnAlive(c.HandleAlive)
	return c
}

// provideMonitor also makes the relay check its requests again when other daemons suspect some, and check the replicas that the
// monitor or, on a hub, other daemons report as lost. Other daemons rely on the check of their hub.
func provideMonitor(
	self mangostate.Member, state *mangostate.Controller, relay *mangorelay.Relay, broadcaster *mangobroadcast.Broadcaster, follower *mangohub.Follower,
	checker *mangocheck.Checker, logger *logrus.Logger,
) *mangoliveness.Monitor {
	checker.OnVerdict(relay.ReportLost, relay.ReportReachable)
	checker.OnCutOff(relay.LeaveCutOff)
	broadcaster.OnCheckedOutage(relay.MarkLost)
	broadcaster.OnSuspects(relay.RecheckSuspects)
	broadcaster.OnOutage(func(r *mangoreplica.Replica) {
		if follower.IsHub() {
			relay.CheckReplica(r)
			return
		}
		relay.MarkLost(r)
	})
	return mangoliveness.New(self, state, state.Subscribe(), relay.CheckReplica, mangoliveness.WithLogger(logger),
		mangoliveness.WithSilenceHandler(func(r *mangoreplica.Replica) { checker.RequestChecks([]*mangoreplica.Replica{r}) }))
}
