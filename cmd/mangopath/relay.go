package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/urfave/cli/v3"

	"mangopath.org/mangopath/internal/mangoentry"
	"mangopath.org/mangopath/internal/mangolog"
	"mangopath.org/mangopath/internal/mangosetting"
	"mangopath.org/mangopath/pkg/mangomessage"
)

func relayCommand() *cli.Command {
	return &cli.Command{
		Name: "relay", Usage: "run the relay daemon of an entry host on the platform",
		Description: `SIGTERM drains the host and ends the program with status 0; SIGHUP reloads the settings.

Example: mangopath relay -c /etc/mangopath/relay.ini`,
		Flags: []cli.Flag{&cli.StringFlag{
			Name: "settings", Aliases: []string{"c", "f"}, Usage: "settings `FILE` in INI form", Sources: cli.EnvVars("MANGOPATH_BOOT"),
		}},
		Action: relay,
	}
}

// relay runs the relay daemon until SIGTERM or SIGINT, with a log that does not block the daemon.
func relay(ctx context.Context, c *cli.Command) error {
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
	writing, stopWriting := context.WithCancel(context.WithoutCancel(ctx))
	written := make(chan struct{})
	go func() {
		defer close(written)
		// Run only returns when its context ends, so the error says nothing more.
		_ = logWriter.Run(writing)
	}()
	defer func() {
		stopWriting()
		<-written
	}()
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	daemon, err := mangoentry.Initialize(settings, logger, logWriter)
	if err != nil {
		return err
	}
	reloading := make(chan struct{})
	go func() {
		defer close(reloading)
		reloadOnSignal(ctx, daemon, path, logger)
	}()
	err = daemon.Run(ctx)
	stop()
	<-reloading
	return err
}

// reloadOnSignal reloads the settings file on each SIGHUP until the context ends. Invalid settings are logged and not
// applied.
func reloadOnSignal(ctx context.Context, daemon *mangoentry.Daemon, path string, logger *logrus.Logger) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	defer signal.Stop(signals)
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
			settings, err := mangosetting.LoadRelay(path)
			if err != nil {
				logger.WithField("event", "settings_refused").WithError(err).Error("settings file is invalid; the settings in force stay")
				continue
			}
			daemon.Reload(settings)
		}
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
