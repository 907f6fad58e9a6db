package main

import (
	"context"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/urfave/cli/v3"

	"mangopath.org/mangopath/internal/mangosetting"
	"mangopath.org/mangopath/internal/mangosignal"
	"mangopath.org/mangopath/pkg/mangomessage"
)

func serveCommand() *cli.Command {
	return &cli.Command{
		Name: "serve", Usage: "run the daemon of an entry host",
		Description: `The first SIGTERM or SIGINT drains the host and ends the program with status 0; a second one ends it immediately.
SIGHUP changes nothing: new settings need a restart.

Example: mangopath serve -c /etc/mangopath/mangopath.ini`,
		Flags:  []cli.Flag{settingsFlag()},
		Action: serve,
	}
}

// settingsFlag returns the flag that names the settings file of the daemon.
func settingsFlag() cli.Flag {
	return &cli.StringFlag{Name: "settings", Aliases: []string{"c", "f"}, Usage: "settings `FILE` in INI form"}
}

// serve runs the daemon until the first SIGTERM or SIGINT has drained it.
func serve(ctx context.Context, c *cli.Command) error {
	signals := mangosignal.Catch()
	if _, err := positionalArgs(c, 0, 0); err != nil {
		return err
	}
	path := c.String("settings")
	if path == "" {
		return invalidValue("--settings", path, "the path of a settings file")
	}
	settings, err := mangosetting.Load(path)
	if err != nil {
		return err
	}
	logger, err := newLogger(c, settings.GetLog())
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	ignoreReload := func() {
		logger.WithField("event", "reload_unsupported").Warn("settings are not read again; a change needs a restart")
	}
	defer runInBackground(context.WithoutCancel(ctx), func(ctx context.Context) error {
		return signals.Run(ctx, stop, ignoreReload, mangosignal.WithLogger(logger), mangosignal.WithSecondStopFatal())
	})()
	return runDaemon(ctx, settings, logger)
}

// newLogger returns a logger that writes one line of key=value pairs per event to standard error.
func newLogger(c *cli.Command, settings *mangomessage.LogSettings) (*logrus.Logger, error) {
	logger := logrus.New()
	logger.SetOutput(c.Root().ErrWriter)
	logger.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true, TimestampFormat: "2006-01-02T15:04:05.000Z07:00"})
	level, err := logrus.ParseLevel(settings.GetLevel())
	if err != nil {
		return nil, &Error{Op: "Log.Level", Kind: KindUsage, Err: errors.WithStack(err)}
	}
	logger.SetLevel(level)
	return logger, nil
}
