//go:build wireinject

package mangoentry

import (
	"github.com/google/wire"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"mangopath.org/mangopath/internal/mangoconn"
	"mangopath.org/mangopath/internal/mangolog"
	"mangopath.org/mangopath/internal/mangometric"
	"mangopath.org/mangopath/internal/mangoreplica"
	"mangopath.org/mangopath/pkg/mangomessage"
)

// providers has a constructor for each part of a daemon.
var providers = wire.NewSet(
	provideBoot, provideSelf, provideStore, provideController, provideBudget, provideSuspects, providePeers, provideNews,
	providePoller, provideEngines, provideWatcher, provideRelay, provideMonitor, provideDeputy, provideTenure, provideMembership, providePlacer, provideRegistry, newPhase, newIngress,
	newDaemon, mangoreplica.NewBoard, mangoconn.New, mangometric.NewRelay,
	wire.Bind(new(prometheus.Registerer), new(*prometheus.Registry)),
)

// Initialize assembles a daemon from its settings; lines is the writer of the logger.
func Initialize(settings *mangomessage.RelaySettings, logger *logrus.Logger, lines *mangolog.Writer) (*Daemon, error) {
	panic(wire.Build(providers))
}
