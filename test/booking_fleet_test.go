package test

import (
	"context"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// bookings is a fleet with one service whose executions are counted in a journal, which survives the service.
type bookings struct {
	*fleet
	service string
	journal string
	wg      sync.WaitGroup
	mu      sync.Mutex
	answers map[string][]told
}

// told is an answer with the executions of its key when it arrived.
type told struct {
	callResult
	ran int
}

// newBookings starts entry hosts and a service, and waits until all of them book.
func newBookings(t *testing.T, entries int) *bookings {
	t.Helper()
	b := startBookings(t)
	for i := range entries {
		b.startEntryHost(entryName(i), "nieuwegein")
	}
	b.open()
	return b
}

// startBookings starts the platform and the service.
func startBookings(t *testing.T) *bookings {
	t.Helper()
	b := &bookings{fleet: newFleet(t), answers: map[string][]told{}}
	b.journal = filepath.Join(b.dir, "journal")
	b.service = b.fleet.startService("opvang-1", "nieuwegein", "--journal", b.journal)
	return b
}

// open declares the profiles and waits until all entry hosts book.
func (b *bookings) open() {
	b.t.Helper()
	b.publishHostList()
	mustPropose(b.t, b.entryHosts[0],
		newChange("c1", 0, customerEntry("shelter", digestOf(customerKey))),
		newChange("c2", 0, profileEntry(serviceProfile("reserve", "nieuwegein", true, "opvang-1"))),
		newChange("c3", 0, profileEntry(serviceProfile("lookup", "nieuwegein", false, "opvang-1", "opvang-2"))))
	for _, e := range b.entryHosts {
		eventually(b.t, startTimeout, "first booking", func() bool {
			return requestBooking(context.Background(), e, "reserve", "warm-"+e.name, "{}").status == http.StatusOK
		})
	}
}

// counts returns the executions of each key.
func (b *bookings) counts() map[string]int {
	b.t.Helper()
	data, err := os.ReadFile(b.journal)
	if err != nil {
		b.t.Fatal(err)
	}
	counts := map[string]int{}
	for _, key := range strings.Fields(string(data)) {
		counts[key]++
	}
	return counts
}

// send books in the background and keeps the answer; first states that the key was not sent before.
func (b *bookings) send(entry int, key string, limit time.Duration, first bool) {
	header := http.Header{"Authorization": {"Bearer " + customerKey}, "Content-Type": {"application/json"}, "Idempotency-Key": {key}}
	if first {
		header.Set("Mangopath-Submission", "first")
	}
	url := "http://" + b.entryHosts[entry].callerAddress + "/v1/services/reserve/bookings"
	b.wg.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), limit)
		defer cancel()
		status, data, replied, err := sendRequest(ctx, http.MethodPost, url, header, []byte(`{"Cat":"Mies"}`))
		a := callResult{status: status, outcome: replied.Get("Mangopath-Outcome"), body: string(data), err: err}
		ran := b.counts()[key]
		b.mu.Lock()
		b.answers[key] = append(b.answers[key], told{a, ran})
		b.mu.Unlock()
	})
}

func (b *bookings) wait() { b.wg.Wait() }

// check compares what callers were told with what ran. It guards against second executions, NotRun for a key that
// had run, NotRun for a key that runs without being sent again, and two answers that differ.
func (b *bookings) check() {
	b.t.Helper()
	is := is.New(b.t)
	counts := b.counts()
	for key, answers := range b.answers {
		text, notRun := "", 0
		for _, a := range answers {
			b.t.Logf("%s: status=%d outcome=%q ran=%d of %d err=%v body=%.120s", key, a.status, a.outcome, a.ran, counts[key], a.err, a.body)
			switch a.outcome {
			case "Answer":
				is.True(text == "" || a.body == text) // a resend gets the same answer
				text = a.body
			case "NotRun":
				is.Equal(a.ran, 0)
				notRun++
			}
		}
		is.True(counts[key] <= 1)
		is.True(text == "" || counts[key] == 1)                      // an answer comes from an execution
		is.True(notRun < len(answers) || counts[key] == 0)           // NotRun from all means that it never ran
		is.True(len(answers) > 1 || notRun == 0 || counts[key] == 0) // a key sent once
	}
}
