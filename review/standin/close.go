package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// closeLoad is the traffic of a daemon that is stopped: connections that are kept, the mean time between the requests on each, and
// how long they last before the signal and at most after it.
const (
	closeConns  = 800
	closePause  = time.Second
	closeBefore = 1500 * time.Millisecond
	closeAfter  = 2 * time.Second
)

// playClose stops seven daemons in turn, each of which has kept connections on which requests come now and then.
func playClose(ctx context.Context, w *world) ([]string, error) {
	const daemons = 7
	w.configure([]map[string]any{w.route("/claim/", "non_idempotent", "site", 1, 5*time.Second, 1500*time.Millisecond)}, "site")
	site, err := w.startReplica(ctx, "i-site-1", "site", answerAfter(3*time.Millisecond))
	if err != nil {
		return nil, err
	}
	site.slots = 2 * closeConns
	var cut []outcome
	for i := range daemons {
		d, err := w.startDaemon(ctx, fmt.Sprintf("edge-z1-%d", i+1))
		if err != nil {
			return nil, err
		}
		time.AfterFunc(closeBefore, func() {
			if w.trouble {
				w.signal(d, syscall.SIGTERM)
			}
		})
		cut = append(cut, w.useKept(ctx, d)...)
	}
	ran := map[string]time.Time{}
	for _, a := range site.ran() {
		ran[a.id] = a.at
	}
	if len(ran) == 0 {
		return nil, errors.New("no request reached the replica")
	}
	var broken []string
	for _, o := range cut {
		if at, ok := ran[o.id]; ok {
			broken = append(broken, fmt.Sprintf("LOST, run by the replica at %.3f s and closed without an answer, under planned work only: %s", at.Sub(w.began).Seconds(), o))
		}
	}
	return broken, nil
}

// useKept sends requests to a daemon on kept connections until it closes them, and returns the requests without a whole answer.
func (w *world) useKept(ctx context.Context, d *daemon) []outcome {
	var mu sync.Mutex
	var cut []outcome
	until := time.Now().Add(closeBefore + closeAfter)
	together(closeConns, func(int) {
		c, err := connect(ctx, d)
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		for sleep(ctx, rand.N(2*closePause)) && time.Now().Before(until) {
			o := w.exchange(c, http.MethodPost, "/claim/1", 5*time.Second)
			if !o.whole {
				mu.Lock()
				cut = append(cut, o)
				mu.Unlock()
				return
			}
		}
	})
	return cut
}
