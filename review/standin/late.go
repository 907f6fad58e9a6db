package main

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// readinessInterval is the time between two questions of the platform whether a daemon is ready, and maxMisses the number of
	// misses in a row after which it sends no new connections there.
	readinessInterval = time.Second
	maxMisses         = 2
)

// watchReadiness asks a daemon whether it is ready, as the platform does, until the context ends. The result is false while the
// platform sends no new connections there.
func (w *world) watchReadiness(ctx context.Context, d *daemon) *atomic.Bool {
	inRotation := new(atomic.Bool)
	inRotation.Store(true)
	go func() {
		for misses := 0; sleep(ctx, readinessInterval); {
			if d.isReady(ctx) {
				misses = 0
			} else {
				misses++
			}
			inRotation.Store(misses < maxMisses)
			w.note("the platform asks %s whether it is ready: %d misses in a row", d.name, misses)
		}
	}()
	return inRotation
}

// playLate opens connections to a daemon that is stopping while the platform still sends some there. The clients use them when
// the daemon has nothing else to do.
func playLate(ctx context.Context, w *world) ([]string, error) {
	const (
		clients = 5
		work    = time.Second
		// connectAt and sendAt are the times after the signal at which the clients connect and send their requests.
		connectAt = 1700 * time.Millisecond
		sendAt    = 2550 * time.Millisecond
	)
	w.configure([]map[string]any{w.route("/claim/", "non_idempotent", "site", 1, 5*time.Second, 1500*time.Millisecond)}, "site")
	site, err := w.startReplica(ctx, "i-site-1", "site", answerAfter(work))
	if err != nil {
		return nil, err
	}
	d, err := w.startDaemon(ctx, "edge-z1-1")
	if err != nil {
		return nil, err
	}
	inRotation := w.watchReadiness(ctx, d)
	// The signal comes just after the daemon has said that it is ready.
	sleep(ctx, readinessInterval+50*time.Millisecond)
	begun := time.Now()
	if w.trouble {
		w.signal(d, syscall.SIGTERM)
	}
	outcomes := make([]outcome, clients)
	together(clients, func(i int) {
		sleep(ctx, time.Until(begun.Add(connectAt)))
		if !inRotation.Load() {
			outcomes[i] = outcome{id: "-", err: errors.New("the platform sends no new connections to the daemon")}
			return
		}
		c, err := connect(ctx, d)
		if err != nil {
			outcomes[i] = outcome{id: "-", err: err}
			return
		}
		w.note("a client has a connection")
		defer func() { _ = c.Close() }()
		sleep(ctx, time.Until(begun.Add(sendAt)))
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
	if len(ran) == 0 {
		return nil, errors.New("no request reached the replica")
	}
	return broken, nil
}
