package main

import (
	"context"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"mangopath.org/mangopath/pkg/mangomessage"
)

// runDaemon runs the daemon until ctx ends and its calls have finished.
func runDaemon(_ context.Context, _ *mangomessage.Settings, _ *logrus.Logger) error {
	return &Error{Op: "serve", Kind: KindFailure, Err: errors.New("the daemon is not assembled yet")}
}
