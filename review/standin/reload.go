package main

import (
	"context"
	"net/http"
	"syscall"
	"time"
)

// playReload sends SIGHUP to a daemon that is stopping and still passes streams on.
func playReload(ctx context.Context, w *world) ([]string, error) {
	const streams, events, gap = 8, 30, 100 * time.Millisecond
	w.configure([]map[string]any{w.route("/text/", "stream", "text", 2, 20*time.Second, 500*time.Millisecond)}, "text")
	if _, err := w.startReplica(ctx, "i-text-1", "text", answerStream(events, gap)); err != nil {
		return nil, err
	}
	d, err := w.startDaemon(ctx, "edge-z1-1")
	if err != nil {
		return nil, err
	}
	outcomes := make([]outcome, streams)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		together(streams, func(i int) {
			c, err := connect(ctx, d)
			if err != nil {
				outcomes[i] = outcome{id: "-", err: err}
				return
			}
			defer func() { _ = c.Close() }()
			outcomes[i] = w.exchange(c, http.MethodPost, "/text/1", 20*time.Second)
		})
	}()
	sleep(ctx, time.Second)
	w.signal(d, syscall.SIGTERM)
	sleep(ctx, 500*time.Millisecond)
	if w.trouble {
		w.signal(d, syscall.SIGHUP)
	}
	<-ended
	var broken []string
	for _, o := range outcomes {
		if !o.whole {
			broken = append(broken, "LOST, under planned work only: "+o.String())
		}
	}
	return broken, nil
}
