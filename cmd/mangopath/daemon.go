package main

import (
	"context"

	"github.com/sirupsen/logrus"

	"mangopath.org/mangopath/internal/mangodaemon"
	"mangopath.org/mangopath/pkg/mangomessage"
)

// runDaemon runs the daemon until ctx ends and its calls have finished.
func runDaemon(ctx context.Context, settings *mangomessage.Settings, logger *logrus.Logger) error {
	return mangodaemon.Run(ctx, settings, logger)
}
