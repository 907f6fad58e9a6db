package main

import (
	"context"

	"github.com/sirupsen/logrus"

	"mangopath.org/mangopath/internal/mangodaemon"
	"mangopath.org/mangopath/pkg/mangomessage"
)

// runDaemon runs the daemon of an entry host until ctx ends and the shutdown is complete.
func runDaemon(ctx context.Context, settings *mangomessage.Settings, logger *logrus.Logger) error {
	return mangodaemon.Run(ctx, settings, logger)
}
