//go:build wireinject

package mangoentry

import (
	"github.com/google/wire"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"mangopath.org/mangopath/internal/mangocapacity"
	"mangopath.org/mangopath/internal/mangoconn"
	"mangopath.org/mangopath/internal/mangohub"
	"mangopath.org/mangopath/internal/mangolog"
	"mangopath.org/mangopath/internal/mangometric"
	"mangopath.org/mangopath/internal/mangoreplica"
	"mangopath.org/mangopath/internal/mangoshutdown"
	"mangopath.org/mangopath/internal/mangostate"
	"mangopath.org/mangopath/pkg/mangomessage"
)

// providers lists the constructors of all components of a daemon.
var providers = wire.NewSet(
	provideBootID, provideSelf, provideStore, mangostate.NewContact, mangohub.NewMirror, mangohub.NewLoadTable, mangohub.NewDemandTable, mangocapacity.NewTracker, provideController, provideBudget, provideCrashTracker, provideVerdictKeeper, providePeers, provideBroadcaster,
	providePoller, provideEngines, provideMemory, provideLimiter, provideSlowDetector, provideChecker, provideRelay, provideMonitor, provideDeputy, providePlacementLease, providePlacer,
	provideSeats, provideFollower, provideReader, provideReporter, provideHubServer, provideHandover, provideHubComponents, provideRegistry, mangoshutdown.New, newIngress,
	newDaemon, mangoreplica.NewHealthTracker, mangoconn.New, provideConns, mangometric.NewRelay, mangometric.NewConnections,
	wire.Bind(new(prometheus.Registerer), new(*prometheus.Registry)),
)

// Initialize assembles a daemon from its settings. logWriter is the writer of the logger, whose dropped lines are counted.
func Initialize(settings *mangomessage.RelaySettings, logger *logrus.Logger, logWriter *mangolog.Writer) (*Daemon, error) {
	panic(wire.Build(providers))
}
