//go:build wireinject

package mangodaemon

import (
	"github.com/google/wire"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"mangopath.org/mangopath/pkg/mangomessage"
)

// providers has a constructor for each component of an entry host.
var providers = wire.NewSet(
	provideIdentity, provideClient, provideBudget, provideLog, provideCredentials, providePeers, provideEngines, provideServices,
	provideCrashTracker, provideController, provideQueue, provideLimiter, provideLedger, provideDispatcher, provideDriver,
	provideAdmission, provideGateway, provideOperators, provideRegistry, provideMetrics, provideReporter, providePlacement, newDaemon,
	wire.Bind(new(prometheus.Registerer), new(*prometheus.Registry)),
)

// Initialize assembles an entry host from its settings.
func Initialize(settings *mangomessage.Settings, logger *logrus.Logger) (*Daemon, error) {
	panic(wire.Build(providers))
}
