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

// bookingFleet is a fleet with one service that appends the key of each execution to a journal file, so that the count
// survives a crash of the service.
type bookingFleet struct {
	*fleet
	serviceAddress string
	journalPath    string
	wg             sync.WaitGroup
	mu             sync.Mutex
	// answers are by idempotency key, in order of arrival; mu guards them.
	answers map[string][]recordedAnswer
}

// recordedAnswer is an answer to a booking with the number of executions of its key at its arrival.
type recordedAnswer struct {
	callResult
	executions int
}

// newBookingFleet starts entry hosts and a service, and waits until each entry host answers a booking.
func newBookingFleet(t *testing.T, entries int) *bookingFleet {
	t.Helper()
	b := startBookingFleet(t)
	for i := range entries {
		b.startEntryHost(entryName(i), "nieuwegein")
	}
	b.declareProfiles()
	return b
}

// startBookingFleet starts the platform and the service, without entry hosts.
func startBookingFleet(t *testing.T) *bookingFleet {
	t.Helper()
	b := &bookingFleet{fleet: newFleet(t), answers: map[string][]recordedAnswer{}}
	b.journalPath = filepath.Join(b.dir, "journal")
	b.serviceAddress = b.startService("opvang-1", "nieuwegein", "--journal", b.journalPath)
	return b
}

// declareProfiles declares the customer and the profiles, and waits until each entry host answers a booking.
func (b *bookingFleet) declareProfiles() {
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

// executionCounts returns the number of executions of each key from the journal.
func (b *bookingFleet) executionCounts() map[string]int {
	b.t.Helper()
	data, err := os.ReadFile(b.journalPath)
	if err != nil {
		b.t.Fatal(err)
	}
	counts := map[string]int{}
	for _, key := range strings.Fields(string(data)) {
		counts[key]++
	}
	return counts
}

// submit sends a booking in the background and records its answer. With first, the request carries the header that marks it
// as the first submission of its key.
func (b *bookingFleet) submit(entry int, key string, limit time.Duration, first bool) {
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
		ran := b.executionCounts()[key]
		b.mu.Lock()
		b.answers[key] = append(b.answers[key], recordedAnswer{a, ran})
		b.mu.Unlock()
	})
}

// waitAnswers waits until all submitted bookings have ended.
func (b *bookingFleet) waitAnswers() { b.wg.Wait() }

// checkAnswers compares the recorded answers with the executions. It fails on a second execution of a key, NotRun for a key
// that had run by then, NotRun for a key that runs later without being sent again, and different answers to one key.
func (b *bookingFleet) checkAnswers() {
	b.t.Helper()
	is := is.New(b.t)
	counts := b.executionCounts()
	for key, answers := range b.answers {
		text, notRun := "", 0
		for _, a := range answers {
			b.t.Logf("%s: status=%d outcome=%q executions=%d of %d err=%v body=%.120s", key, a.status, a.outcome, a.executions, counts[key], a.err, a.body)
			switch a.outcome {
			case "Answer":
				is.True(text == "" || a.body == text) // a repeated submission gets the same answer
				text = a.body
			case "NotRun":
				is.Equal(a.executions, 0)
				notRun++
			}
		}
		is.True(counts[key] <= 1)
		is.True(text == "" || counts[key] == 1)                      // an answer comes from an execution
		is.True(notRun < len(answers) || counts[key] == 0)           // a key whose submissions all got NotRun never ran
		is.True(len(answers) > 1 || notRun == 0 || counts[key] == 0) // a key that was sent once and got NotRun never ran
	}
}
