package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	// failingReplicas and allReplicas give a share of a seventh, and failedShare is the part of its bookings that a failing replica fails.
	failingReplicas = 1
	allReplicas     = 7
	failedShare     = 0.4
	// bookingClients is the number of clients, and bookingsPerClient that of the bookings that each makes, one after the other.
	bookingClients    = 8
	bookingsPerClient = 500
	// bookingPause is the time between two bookings of a client.
	bookingPause = 20 * time.Millisecond
	// bookingWait is how long a client waits for the answer to a booking.
	bookingWait = 3 * time.Second
)

// playFailedAfterRun has one of seven replicas fail a part of the bookings that it has run, with status 503 and without the field that
// says that it did not run them. A booking that is answered with a status that promises that it has not run must not have run.
func playFailedAfterRun(d *deployment, trouble bool) (bool, error) {
	if err := d.addReplicas(allReplicas); err != nil {
		return false, err
	}
	if trouble {
		for _, r := range d.replicas[:failingReplicas] {
			r.fails = func(string) bool { return rand.Float64() < failedShare }
		}
	}
	if err := d.addDaemons(2); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	var mu sync.Mutex
	var group sync.WaitGroup
	counts := map[string]int{}
	for client := range bookingClients {
		group.Go(func() {
			for n := range bookingsPerClient {
				result := book(d, fmt.Sprintf("b%02d-%03d", client, n), d.daemons[client%len(d.daemons)].front)
				mu.Lock()
				counts[result]++
				mu.Unlock()
				time.Sleep(bookingPause)
			}
		})
	}
	group.Wait()
	d.record.note("bookings: %v", counts)
	fmt.Println("bookings:", counts)
	return counts[promisedAndRun] > 0, nil
}

// promisedAndRun is the result of a booking that has run although its answer promises that it has not.
const promisedAndRun = "answered as not run, and has run"

// book makes a booking and says what came of it.
func book(d *deployment, id, front string) string {
	c, err := dial(front)
	if err != nil {
		return "no connection"
	}
	defer c.close()
	d.record.note("sent     %s", id)
	a := c.send(http.MethodPost, "/booking/x", id, "booking "+id, bookingWait)
	promise := []int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable}
	runs := d.record.runsOf(id)
	result := fmt.Sprintf("status %d", a.status)
	if a.complete && slices.Contains(promise, a.status) && len(runs) > 0 {
		result = promisedAndRun
	}
	d.record.note("answered %s: %v, %d runs: %s", id, a, len(runs), result)
	return result
}
