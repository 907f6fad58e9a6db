package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// playOdd has another writer replace the entry of a replica by one that lacks most fields and names another service.
func playOdd(ctx context.Context, w *world) ([]string, error) {
	const clients, rounds = 4, 80
	w.configure([]map[string]any{
		w.route("/claim/", "non_idempotent", "site", 1, 1500*time.Millisecond, 500*time.Millisecond),
		w.route("/photo/", "idempotent", "photos", 2, 1500*time.Millisecond, 500*time.Millisecond),
	}, "site", "photos")
	if _, err := w.startReplica(ctx, "i-site-1", "site", answerAfter(15*time.Millisecond)); err != nil {
		return nil, err
	}
	photos, err := w.startReplica(ctx, "i-photos-1", "photos", answerAfter(15*time.Millisecond))
	if err != nil {
		return nil, err
	}
	d, err := w.startDaemon(ctx, "edge-z1-1")
	if err != nil {
		return nil, err
	}
	var mu sync.Mutex
	sent := map[string]string{}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		together(clients, func(int) {
			for range rounds {
				c, err := connect(ctx, d)
				if err != nil {
					continue
				}
				o := w.exchange(c, http.MethodPost, "/claim/1", 1500*time.Millisecond)
				_ = c.Close()
				mu.Lock()
				sent[o.id] = "/claim/1"
				mu.Unlock()
				sleep(ctx, 30*time.Millisecond)
			}
		})
	}()
	// The odd entry stands until the replica writes its own again, so it is written just after that.
	for beats := photos.beats.Load(); photos.beats.Load() == beats && sleep(ctx, time.Millisecond); {
	}
	if w.trouble {
		w.note("another writer replaces the entry of %s by one without version, slots, sequence, warmupLeftMs and born, for service site", photos.id)
		w.store.set(w.names.Replicas+photos.id, map[string]any{"service": "site", "address": photos.address, "zone": zoneName, "state": "ready"})
	}
	<-ended
	var broken []string
	for _, a := range photos.ran() {
		if sent[a.id] == "/claim/1" {
			broken = append(broken, fmt.Sprintf("ROUTE: %s of route /claim/ (service site) was run by %s of service photos", a.id, photos.id))
		}
	}
	return broken, nil
}
