package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// largeAnswer is the length of the answers in bytes, and largePart that of the part before the replica pauses for largePause.
	largeAnswer = 600 << 10
	largePart   = 400 << 10
	largePause  = 500 * time.Millisecond
	// largeRequests is the number of requests, and signalAfter the time from their beginning to the SIGTERM.
	largeRequests = 8
	signalAfter   = 150 * time.Millisecond
	// largeWait is how long a client waits.
	largeWait = 5 * time.Second
	// stopTime bounds the time for which the stopped daemon is awaited; graceS is 8.
	stopTime = 9 * time.Second
)

// playLargeAnswer stops a daemon while it passes on large answers, in the middle of which the replicas pause. Each of the answers must be
// complete: the replicas, deadlines and timeouts allow it, and the pause ends long before the grace period.
func playLargeAnswer(d *deployment, trouble bool) (bool, error) {
	if err := d.addReplicas(3); err != nil {
		return false, err
	}
	for _, r := range d.replicas {
		r.largeAnswers = true
	}
	if err := d.addDaemons(1); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	var mu sync.Mutex
	var group sync.WaitGroup
	cut := 0
	for n := range largeRequests {
		group.Go(func() {
			if !askLarge(d, fmt.Sprintf("g%02d", n)) {
				mu.Lock()
				cut++
				mu.Unlock()
			}
		})
	}
	time.Sleep(signalAfter)
	if trouble {
		d.record.note("SIGTERM")
		d.daemons[0].signal(syscall.SIGTERM)
	}
	group.Wait()
	if trouble {
		select {
		case <-d.daemons[0].ended:
		case <-time.After(stopTime):
		}
	}
	fmt.Println("answers that were cut:", cut, "of", largeRequests)
	// The rule is about planned work; without it an answer that is cut breaks none.
	return trouble && cut > 0, nil
}

// askLarge asks for a large answer and reports whether it was complete.
func askLarge(d *deployment, id string) bool {
	c, err := dial(d.daemons[0].front)
	if err != nil {
		d.record.note("no connection for %s", id)
		return true
	}
	defer c.close()
	d.record.note("sent     %s", id)
	a := c.send(http.MethodGet, "/lookup/large", id, "", largeWait)
	d.record.note("answered %s: %v, runs: %d", id, a, len(d.record.runsOf(id)))
	return a.complete && (a.status != http.StatusOK || len(a.body) == largeAnswer)
}
