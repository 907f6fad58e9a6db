//go:build wireinject

package mangodaemon

import (
	"github.com/google/wire"
	"github.com/sirupsen/logrus"

	"mangopath.org/mangopath/pkg/mangomessage"
)

// Initialize assembles an entry host from its settings.
func Initialize(settings *mangomessage.Settings, logger *logrus.Logger) (*Daemon, error) {
	panic(wire.Build(providers))
}
