package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"syscall"
	"time"
)

// playLarge stops a daemon while it passes on large answers. In the middle of each the replica is silent for a moment, while it
// works on the rest.
func playLarge(ctx context.Context, w *world) ([]string, error) {
	const clients, size = 6, 400 << 10
	silence := 100 * time.Millisecond
	if w.trouble {
		silence = 400 * time.Millisecond
	}
	w.note("the replicas are silent for %d ms in the middle of their answers", silence.Milliseconds())
	w.configure([]map[string]any{w.route("/list/", "idempotent", "site", 2, 10*time.Second, 100*time.Millisecond)}, "site")
	answer := func(rw http.ResponseWriter, r *http.Request) {
		rw.Header().Set("Content-Length", fmt.Sprint(size))
		_, _ = io.WriteString(rw, strings.Repeat("x", size*3/4))
		_ = http.NewResponseController(rw).Flush()
		if sleep(r.Context(), silence) {
			_, _ = io.WriteString(rw, strings.Repeat("x", size/4))
		}
	}
	for i := range 2 {
		if _, err := w.startReplica(ctx, fmt.Sprintf("i-site-%d", i), "site", answer); err != nil {
			return nil, err
		}
	}
	d, err := w.startDaemon(ctx, "edge-z1-1")
	if err != nil {
		return nil, err
	}
	outcomes := make([]outcome, clients)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		together(clients, func(i int) {
			c, err := connect(ctx, d)
			if err != nil {
				outcomes[i] = outcome{id: "-", err: err}
				return
			}
			defer func() { _ = c.Close() }()
			outcomes[i] = w.exchange(c, http.MethodGet, "/list/1", 10*time.Second)
		})
	}()
	sleep(ctx, 50*time.Millisecond)
	w.signal(d, syscall.SIGTERM)
	<-ended
	var broken []string
	for _, o := range outcomes {
		if !o.whole {
			broken = append(broken, "LOST, under planned work only: "+o.String())
		}
	}
	return broken, nil
}
