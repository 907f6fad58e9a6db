package main

import (
	"context"
	"net/http"
	"syscall"
	"time"
)

// playLate opens connections to a daemon that is stopping while the platform still sends some there, and uses them when it has
// nothing else to do.
func playLate(ctx context.Context, w *world) ([]string, error) {
	const clients, work = 5, time.Second
	w.configure([]map[string]any{w.route("/claim/", "non_idempotent", "site", 1, 5*time.Second, 1500*time.Millisecond)}, "site")
	site, err := w.startReplica(ctx, "i-site-1", "site", answerAfter(work))
	if err != nil {
		return nil, err
	}
	d, err := w.startDaemon(ctx, "edge-z1-1")
	if err != nil {
		return nil, err
	}
	begun := time.Now()
	if w.trouble {
		w.signal(d, syscall.SIGTERM)
	}
	outcomes := make([]outcome, clients)
	together(clients, func(i int) {
		sleep(ctx, time.Until(begun.Add(1700*time.Millisecond)))
		c, err := connect(ctx, d)
		if err != nil {
			w.note("no connection: %v", err)
			outcomes[i] = outcome{id: "-", err: err}
			return
		}
		w.note("a client has a connection")
		defer func() { _ = c.Close() }()
		sleep(ctx, time.Until(begun.Add(2550*time.Millisecond)))
		outcomes[i] = w.exchange(c, http.MethodPost, "/claim/1", 5*time.Second)
	})
	ran := map[string]bool{}
	for _, a := range site.ran() {
		ran[a.id] = true
	}
	var broken []string
	for _, o := range outcomes {
		if !o.whole && ran[o.id] {
			broken = append(broken, "LOST, passed on and cut, under planned work only: "+o.String())
		}
	}
	return broken, nil
}
