package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// playDrain removes the entry of a replica just after the hub that a daemon follows has ended.
func playDrain(ctx context.Context, w *world) ([]string, error) {
	const drainTime = 2 * time.Second
	w.configure([]map[string]any{w.route("/claim/", "non_idempotent", "site", 1, 1500*time.Millisecond, 500*time.Millisecond)}, "site")
	var leaving *replica
	for i := range 2 {
		r, err := w.startReplica(ctx, fmt.Sprintf("i-site-%d", i), "site", answerAfter(15*time.Millisecond))
		if err != nil {
			return nil, err
		}
		leaving = r
	}
	var daemons []*daemon
	for i := range 3 {
		d, err := w.startDaemon(ctx, fmt.Sprintf("edge-z1-%d", i+1))
		if err != nil {
			return nil, err
		}
		daemons = append(daemons, d)
	}
	sleep(ctx, 5*time.Second)
	if w.trouble {
		w.note("the store refuses all calls with 503")
		w.store.setDown(true)
		sleep(ctx, 4500*time.Millisecond)
		w.store.setDown(false)
		w.note("the store is back")
	}
	sleep(ctx, 10*time.Second)
	seats := w.store.keysWith("mangopath/hub/")
	w.note("hubs: %v", seats)
	var hub, follower *daemon
	for _, d := range daemons {
		switch {
		case strings.HasPrefix(seats["mangopath/hub/"+zoneName+"/0"], d.name+"/"):
			hub = d
		case !strings.HasPrefix(seats["mangopath/hub/"+zoneName+"/1"], d.name+"/"):
			follower = d
		}
	}
	if hub == nil || follower == nil {
		return nil, fmt.Errorf("no hub and follower: %v", seats)
	}
	sending, stop := context.WithCancel(ctx)
	defer stop()
	var mu sync.Mutex
	sentAt := map[string]time.Time{}
	var group sync.WaitGroup
	for range 10 {
		group.Go(func() {
			for sleep(sending, 30*time.Millisecond) {
				at := time.Now()
				c, err := connect(ctx, follower)
				if err != nil {
					continue
				}
				o := w.exchange(c, http.MethodPost, "/claim/1", 1500*time.Millisecond)
				_ = c.Close()
				mu.Lock()
				sentAt[o.id] = at
				mu.Unlock()
			}
		})
	}
	sleep(ctx, time.Second)
	if w.trouble {
		w.signal(hub, syscall.SIGKILL)
	}
	sleep(ctx, 300*time.Millisecond)
	left := w.leave(leaving)
	sleep(ctx, 4*time.Second)
	stop()
	group.Wait()
	var broken []string
	for _, a := range leaving.ran() {
		if late := sentAt[a.id].Sub(left); late > drainTime {
			broken = append(broken, fmt.Sprintf("DRAIN: %s was sent %d ms after the entry of %s was removed", a.id, late.Milliseconds(), leaving.id))
		}
	}
	return broken, nil
}
