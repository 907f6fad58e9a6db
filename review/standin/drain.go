package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// startHubs starts three daemons and waits until two of them hold a seat each.
func (w *world) startHubs(ctx context.Context) error {
	started := 0
	start := func() error {
		started++
		_, err := w.startDaemon(ctx, fmt.Sprintf("edge-z1-%d", started))
		return err
	}
	for range 3 {
		if err := start(); err != nil {
			return err
		}
	}
	for range 4 {
		sleep(ctx, 4*time.Second)
		hub, second, _ := w.hubs()
		switch {
		case hub == nil || second == nil:
			continue
		case hub != second:
			return nil
		}
		w.note("%s has taken both seats; it is replaced before the case begins", hub.name)
		w.signal(hub, syscall.SIGTERM)
		<-hub.ended
		if err := start(); err != nil {
			return err
		}
	}
	return errors.New("no two daemons hold a seat each")
}

// hubs returns the daemons that hold the two seats, and the running one that holds none.
func (w *world) hubs() (hub, second, follower *daemon) {
	seats := w.store.keysWith("mangopath/hub/" + zoneName + "/")
	w.note("hubs: %v", seats)
	for _, d := range w.daemons {
		select {
		case <-d.ended:
			continue
		default:
		}
		holds := func(seat string) bool {
			return strings.HasPrefix(seats["mangopath/hub/"+zoneName+"/"+seat], d.name+"/")
		}
		if holds("0") {
			hub = d
		}
		if holds("1") {
			second = d
		}
		if !holds("0") && !holds("1") {
			follower = d
		}
	}
	return hub, second, follower
}

// playDrain has a replica leave while the hub that a daemon follows is stopped. The disruption is an outage of the store, which has
// been over for ten seconds by then.
func playDrain(ctx context.Context, w *world) ([]string, error) {
	const (
		drainTime = 2 * time.Second
		// replicas is the number of replicas, of which leavers leave, leaveGap one after the other.
		replicas = 40
		leavers  = 6
		leaveGap = 150 * time.Millisecond
		outage   = 4500 * time.Millisecond
	)
	w.configure([]map[string]any{w.route("/claim/", "non_idempotent", "site", 1, 1500*time.Millisecond, 500*time.Millisecond)}, "site")
	var leaving []*replica
	for i := range replicas {
		r, err := w.startReplica(ctx, fmt.Sprintf("i-site-%d", i), "site", answerAfter(15*time.Millisecond))
		if err != nil {
			return nil, err
		}
		if i < leavers {
			leaving = append(leaving, r)
		}
	}
	if err := w.startHubs(ctx); err != nil {
		return nil, err
	}
	if w.trouble {
		w.note("the store refuses all calls with 503")
		w.store.setDown(true)
		sleep(ctx, outage)
		w.store.setDown(false)
		w.note("the store is back")
	}
	sleep(ctx, 10*time.Second)
	hub, second, follower := w.hubs()
	if hub == nil || second == nil || follower == nil {
		return nil, errors.New("the zone has no two hubs and one daemon that follows them")
	}
	sending, stop := context.WithCancel(ctx)
	defer stop()
	var mu sync.Mutex
	sentAt := map[string]time.Time{}
	var group sync.WaitGroup
	for range 10 {
		group.Go(func() {
			for sleep(sending, 10*time.Millisecond) {
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
	w.signal(hub, syscall.SIGTERM)
	leftAt := map[*replica]time.Time{}
	for _, r := range leaving {
		sleep(ctx, leaveGap)
		leftAt[r] = w.leave(r)
	}
	sleep(ctx, 8*time.Second)
	stop()
	group.Wait()
	var broken []string
	for _, r := range leaving {
		for _, a := range r.ran() {
			if late := sentAt[a.id].Sub(leftAt[r]); late > drainTime {
				broken = append(broken, fmt.Sprintf("DRAIN: %s was sent %d ms after the entry of %s was removed", a.id, late.Milliseconds(), r.id))
			}
		}
	}
	return broken, nil
}
