package main

import (
	"context"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/urfave/cli/v3"

	"mangopath.org/mangopath/internal/mangoentry"
	"mangopath.org/mangopath/internal/mangolog"
	"mangopath.org/mangopath/internal/mangosetting"
	"mangopath.org/mangopath/internal/mangosignal"
	"mangopath.org/mangopath/pkg/mangomessage"
)

func relayCommand() *cli.Command {
	return &cli.Command{
		Name: "relay", Usage: "run the relay daemon of an entry host on the platform",
		Description: `SIGTERM or SIGINT drains the host and ends the program with status 0; SIGHUP reloads the settings, also while the host
drains. Further signals do not end the drain.

Example: mangopath relay -c /etc/mangopath/relay.ini`,
		Flags: []cli.Flag{&cli.StringFlag{
			Name: "settings", Aliases: []string{"c", "f"}, Usage: "settings `FILE` in INI form", Sources: cli.EnvVars("MANGOPATH_BOOT"),
		}},
		Action: relay,
	}
}

// relay runs the relay daemon until SIGTERM or SIGINT, with a log that does not block the daemon. Signals are caught from here
// to the end of the process.
func relay(ctx context.Context, c *cli.Command) error {
	signals := mangosignal.Catch()
	if _, err := positionalArgs(c, 0, 0); err != nil {
		return err
	}
	path := c.String("settings")
	if path == "" {
		return invalidValue("--settings", path, "the path of a settings file")
	}
	settings, err := mangosetting.LoadRelay(path)
	if err != nil {
		return err
	}
	logWriter := mangolog.New(c.Root().Writer)
	logger, err := newNonBlockingLogger(logWriter, settings.GetLog())
	if err != nil {
		return err
	}
	defer runInBackground(context.WithoutCancel(ctx), logWriter.Run)()
	daemon, err := mangoentry.Initialize(settings, logger, logWriter)
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	reloads := newReloader(path, daemon.Reload, logger)
	defer runInBackground(context.WithoutCancel(ctx), reloads.Run)()
	defer runInBackground(context.WithoutCancel(ctx), func(ctx context.Context) error {
		return signals.Run(ctx, stop, reloads.request, mangosignal.WithLogger(logger))
	})()
	return daemon.Run(ctx)
}

// runInBackground runs f, which ends with its context, and returns a function that ends it and waits for its end.
func runInBackground(ctx context.Context, f func(ctx context.Context) error) (end func()) {
	ctx, cancel := context.WithCancel(ctx)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		// The error only says that the context has ended.
		_ = f(ctx)
	}()
	return func() {
		cancel()
		<-ended
	}
}

// newNonBlockingLogger returns a logger that writes one line of key=value pairs per event to a writer that drops lines
// instead of blocking.
func newNonBlockingLogger(logWriter *mangolog.Writer, settings *mangomessage.LogSettings) (*logrus.Logger, error) {
	logger := logrus.New()
	logger.SetOutput(logWriter)
	logger.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true, TimestampFormat: "2006-01-02T15:04:05.000Z07:00"})
	level, err := logrus.ParseLevel(settings.GetLevel())
	if err != nil {
		return nil, &Error{Op: "Log.Level", Kind: KindUsage, Err: errors.WithStack(err)}
	}
	logger.SetLevel(level)
	return logger, nil
}
