package mangodaemon

import (
	"cmp"
	"strings"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"mangopath.org/mangopath/internal/mangoadmission"
	"mangopath.org/mangopath/internal/mangocall"
	"mangopath.org/mangopath/internal/mangochange"
	"mangopath.org/mangopath/internal/mangocontrol"
	"mangopath.org/mangopath/internal/mangocrash"
	"mangopath.org/mangopath/internal/mangocustomer"
	"mangopath.org/mangopath/internal/mangodispatch"
	"mangopath.org/mangopath/internal/mangogateway"
	"mangopath.org/mangopath/internal/mangoledger"
	"mangopath.org/mangopath/internal/mangometric"
	"mangopath.org/mangopath/internal/mangooperator"
	"mangopath.org/mangopath/internal/mangopeer"
	"mangopath.org/mangopath/internal/mangosetting"
	"mangopath.org/mangopath/internal/mangostore"
	"mangopath.org/mangopath/internal/mangoupstream"
	"mangopath.org/mangopath/pkg/mangomessage"
)

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

func provideIdentity(s *mangomessage.Settings) mangocontrol.Identity {
	return mangocontrol.Identity{
		Name: s.Host.Name, DataCentre: s.Host.DataCentre, PeerAddress: cmp.Or(s.Peers.AdvertisedAddress, s.Peers.Address),
		// The start time tells the incarnations of a host apart: a replaced or restarted host starts later by the platform's
		// clock than the one before it.
		Incarnation: uint64(time.Now().UnixNano()),
	}
}

func provideClient(s *mangomessage.Settings) *mangostore.Client {
	return mangostore.New(s.Platform.Address, mangostore.WithToken(s.Platform.Token), mangostore.WithTimeout(milliseconds(s.Platform.Timeout)))
}

func provideBudget(s *mangomessage.Settings, client *mangostore.Client) *mangostore.Budget {
	return mangostore.NewBudget(client, float64(s.Platform.ReadRate), float64(s.Platform.WriteRate))
}

func provideLog(budget *mangostore.Budget, logger *logrus.Logger) *mangochange.Log {
	return mangochange.New(budget.ForPurpose("changes"), mangochange.WithLogger(logger))
}

func provideCredentials(s *mangomessage.Settings) (mangopeer.Credentials, error) {
	if s.Peers.CertificateFile != "" {
		return mangopeer.MutualTLS(s.Peers.CertificateFile, s.Peers.KeyFile, s.Peers.AuthorityFile)
	}
	return mangopeer.SharedKey([]byte(s.Peers.SharedKey)), nil
}

func providePeers(s *mangomessage.Settings, credentials mangopeer.Credentials) *mangopeer.Client {
	return mangopeer.NewClient(credentials, mangopeer.WithCallTimeout(milliseconds(s.Peers.ExchangeTimeout)))
}

func provideEngines(s *mangomessage.Settings, metrics *mangometric.Metrics) *mangoupstream.Client {
	return mangoupstream.New(
		mangoupstream.WithConnectTimeout(milliseconds(s.Routing.ConnectTimeout)),
		mangoupstream.WithHooks(mangoupstream.Hooks{Dropped: func(string) { metrics.CountDropped("mismatch") }}),
	)
}

func provideServices(s *mangomessage.Settings, logger *logrus.Logger) mangoupstream.Service {
	return mangoupstream.NewLoggingService(mangoupstream.NewServiceClient(mangoupstream.WithConnectTimeout(milliseconds(s.Routing.ConnectTimeout))), logger)
}

func provideCrashTracker(id mangocontrol.Identity) *mangocrash.CrashTracker {
	return mangocrash.New(id.Name)
}

func provideController(
	s *mangomessage.Settings, id mangocontrol.Identity, log *mangochange.Log, client *mangostore.Client, peers *mangopeer.Client,
	engines *mangoupstream.Client, crashes *mangocrash.CrashTracker, limiter *mangocustomer.Limiter, logger *logrus.Logger,
) (*mangocontrol.Controller, error) {
	delays, err := mangosetting.ParseLinkDelays(s.Routing.LinkCosts)
	if err != nil {
		return nil, err
	}
	return mangocontrol.New(
		id, log, client, peers, engines,
		mangocontrol.WithLogger(logger), mangocontrol.WithSeeds(s.Peers.Seeds...), mangocontrol.WithLinkDelays(delays),
		mangocontrol.WithCrashTracker(crashes), mangocontrol.WithRateLimiter(limiter),
		mangocontrol.WithTiming(mangocontrol.Timing{
			PollInterval: milliseconds(s.Platform.PollInterval), HostListInterval: milliseconds(s.Platform.ListInterval),
			ExchangeInterval: milliseconds(s.Peers.ExchangeInterval), ExchangeTimeout: milliseconds(s.Peers.ExchangeTimeout),
			ProbeInterval: milliseconds(s.Routing.ProbeInterval), FreshnessBound: milliseconds(s.Routing.FreshnessBound),
		}),
	), nil
}

func provideQueue(s *mangomessage.Settings) *mangocustomer.Queue {
	return mangocustomer.NewQueue(mangocustomer.WithMaxCalls(int(s.Limits.MaxCalls)), mangocustomer.WithMaxQueue(int(s.Limits.MaxQueue)))
}

func provideLimiter() *mangocustomer.Limiter { return mangocustomer.NewLimiter() }

// maxLedgerQueue bounds the ledger's reads and, separately, its writes that wait for the platform's budget. At the default
// rate of 40 writes/s a full queue takes 6 s, more than half of a usual deadline.
const maxLedgerQueue = 256

func provideLedger(s *mangomessage.Settings, id mangocontrol.Identity, budget *mangostore.Budget) *mangoledger.Ledger {
	return mangoledger.New(budget.ForPurpose("ledger", mangostore.WithQueue(maxLedgerQueue)), id.Name, id.PeerAddress,
		mangoledger.WithBackgroundStore(budget.ForPurpose("ledger-done", mangostore.WithLowPriority())),
		mangoledger.WithRetention(milliseconds(s.Limits.LedgerRetention)), mangoledger.WithDispatchBound(milliseconds(s.Limits.DispatchBound)))
}

func provideDispatcher(
	s *mangomessage.Settings, services mangoupstream.Service, controller *mangocontrol.Controller, ledger *mangoledger.Ledger,
	peers *mangopeer.Client,
) *mangodispatch.Dispatcher {
	return mangodispatch.New(services, mangodispatch.NewBalancer(controller), ledger, statusAsker{peers},
		mangodispatch.WithRetryBudget(int(s.Routing.RetryBudget)), mangodispatch.WithObserver(sendObserver{controller}),
		mangodispatch.WithCrashDetection(mangoupstream.NewServiceClient(), sendObserver{controller}))
}

func provideDriver(
	s *mangomessage.Settings, engines *mangoupstream.Client, controller *mangocontrol.Controller, metrics *mangometric.Metrics,
) *mangocall.Driver {
	const prefillCeiling = 5 * time.Second
	return mangocall.New(engines, controller, callObserver{controller, metrics},
		mangocall.WithStepTimeouts(milliseconds(s.Routing.StepTimeoutMin), milliseconds(s.Routing.StepTimeoutMax), prefillCeiling),
		mangocall.WithMove(milliseconds(s.Routing.MoveAfter), 2*time.Second))
}

func provideAdmission(
	controller *mangocontrol.Controller, queue *mangocustomer.Queue, limiter *mangocustomer.Limiter, crashes *mangocrash.CrashTracker,
	driver *mangocall.Driver, dispatcher *mangodispatch.Dispatcher, logger *logrus.Logger,
) *mangoadmission.Admission {
	return mangoadmission.New(controller, queue, driver, dispatcher,
		mangoadmission.WithLimiter(limiter), mangoadmission.WithCrashTracker(crashes), mangoadmission.WithLogger(logger))
}

func provideGateway(
	s *mangomessage.Settings, admission *mangoadmission.Admission, metrics *mangometric.Metrics, logger *logrus.Logger,
) *mangogateway.Gateway {
	return mangogateway.New(s.Callers, admission, admission, admission, logger, mangogateway.WithObserver(metrics))
}

func provideOperators(
	s *mangomessage.Settings, controller *mangocontrol.Controller, log *mangochange.Log,
	registry *prometheus.Registry, logger *logrus.Logger, reporter statusReporter,
) *mangooperator.API {
	return mangooperator.New(s.Operators, mangooperator.Dependencies{
		EntryReader: controller, Proposer: proposer{log: log, controller: controller}, HistoryReader: historian{controller},
		StatusReporter: reporter,
		RouteExplainer: explainer{controller}, HostLister: controller,
	}, registry, logger)
}

func provideReporter(
	s *mangomessage.Settings, controller *mangocontrol.Controller, queue *mangocustomer.Queue, crashes *mangocrash.CrashTracker,
	placement *placementRunner,
) statusReporter {
	return statusReporter{
		controller: controller, queue: queue, crashes: crashes, placement: placement, region: s.Host.Region,
		readiness: &readiness{started: time.Now()},
	}
}

func provideRegistry() *prometheus.Registry { return prometheus.NewRegistry() }

func provideMetrics(registry prometheus.Registerer) (*mangometric.Metrics, error) {
	return mangometric.New(registry)
}

// splitList splits the comma-separated items of a setting and leaves out blank ones.
func splitList(list []string) []string {
	var all []string
	for _, l := range list {
		for _, w := range strings.Split(l, ",") {
			if w = strings.TrimSpace(w); w != "" {
				all = append(all, w)
			}
		}
	}
	return all
}
