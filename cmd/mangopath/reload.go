package main

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"mangopath.org/mangopath/internal/mangosetting"
	"mangopath.org/mangopath/pkg/mangomessage"
)

const (
	// reloadRetryInterval is the time after which a settings file that is missing or invalid is read again: the signal may come
	// while the file is still being written.
	reloadRetryInterval = 250 * time.Millisecond
	// maxReloadReads bounds the reads for one request to reload.
	maxReloadReads = 12
)

// reloader reads a settings file again on request and applies it. A file that is missing or invalid changes nothing.
type reloader struct {
	path      string
	apply     func(*mangomessage.RelaySettings)
	logger    logrus.FieldLogger
	requested chan struct{}
}

func newReloader(path string, apply func(*mangomessage.RelaySettings), logger logrus.FieldLogger) *reloader {
	return &reloader{path: path, apply: apply, logger: logger, requested: make(chan struct{}, 1)}
}

// request asks for a reload. It never blocks; requests that come during a reload give one more.
func (r *reloader) request() {
	select {
	case r.requested <- struct{}{}:
	default:
	}
}

// Run reloads on request until the context ends.
func (r *reloader) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-r.requested:
			r.reload(ctx)
		}
	}
}

// reload reads the file until it is valid, maxReloadReads times at most, and applies it.
func (r *reloader) reload(ctx context.Context) {
	for reads := 1; ; reads++ {
		settings, err := mangosetting.LoadRelay(r.path)
		if err == nil {
			r.apply(settings)
			return
		}
		r.logger.WithFields(logrus.Fields{"event": "settings_refused", "reads": reads, "last": reads == maxReloadReads}).WithError(err).
			Error("settings file is invalid; the settings in force stay")
		if reads == maxReloadReads {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(reloadRetryInterval):
		}
	}
}
