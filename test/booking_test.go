package test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// bookingFault is a fault around one booking; after says how often the service may have run it at most.
type bookingFault struct {
	name string
	// before sets the fault before the booking is sent, during acts while it runs.
	before func(f *fleet, service string)
	during func(f *fleet, service string)
	// heal ends the fault before the booking is sent again.
	heal func(f *fleet, service string)
}

// TestBookingRunsAtMostOnce sends one booking under a fault and sends it again on another entry host.
// It guards against second executions, against NotRun for a booking that ran, and against two answers that differ.
func TestBookingRunsAtMostOnce(t *testing.T) {
	slow := func(f *fleet, service string) { f.faults(service, map[string]any{"DelayMs": 800}) }
	fast := func(f *fleet, service string) { f.faults(service, map[string]any{"DelayMs": 0}) }
	store := func(faults map[string]any) func(*fleet, string) {
		return func(f *fleet, _ string) { f.faults(f.platform, faults) }
	}
	healed := store(map[string]any{"Down": false, "DelayMs": 0})
	for _, c := range []bookingFault{
		{name: "entry host killed while the service runs it", before: slow, during: func(f *fleet, _ string) { f.entries[0].kill() }, heal: fast},
		{name: "service killed while it runs it", before: slow, during: func(f *fleet, _ string) { f.services["opvang-1"].kill() }},
		{name: "entry host paused while the service runs it", before: slow, during: func(f *fleet, _ string) {
			f.entries[0].signal(syscall.SIGSTOP)
			time.AfterFunc(2*time.Second, func() { f.entries[0].signal(syscall.SIGCONT) })
		}, heal: fast},
		{name: "answer of the service lost after it ran", before: func(f *fleet, service string) {
			f.faults(service, map[string]any{"DropReplies": 1})
		}},
		{name: "answer of the record's write lost", before: store(map[string]any{"DropReplies": 1})},
		{name: "answers of several writes lost", before: store(map[string]any{"DropReplies": 3})},
		{name: "store down", before: store(map[string]any{"Down": true}), heal: healed},
		{name: "store slow", before: store(map[string]any{"DelayMs": 700}), heal: healed},
		{name: "entry host paused while the record is written", before: store(map[string]any{"DelayMs": 600}), during: func(f *fleet, _ string) {
			f.entries[0].signal(syscall.SIGSTOP)
			time.AfterFunc(7*time.Second, func() { f.entries[0].signal(syscall.SIGCONT) })
		}, heal: healed},
		{name: "service refuses", before: func(f *fleet, service string) {
			f.faults(service, map[string]any{"Refuse": true})
		}, heal: func(f *fleet, service string) { f.faults(service, map[string]any{"Refuse": false}) }},
	} {
		t.Run(c.name, func(t *testing.T) { runBooking(t, c) })
	}
}

// runBooking books once under the fault, once more at the same time elsewhere and once after the fault.
func runBooking(t *testing.T, c bookingFault) {
	is := is.New(t)
	f := newFleet(t)
	f.entry("a-entry", "nieuwegein")
	f.entry("b-entry", "nieuwegein")
	service := f.service("opvang-1", "nieuwegein")
	f.publish()
	declare(t, f.entries[0],
		change("c1", 0, customerEntry("shelter", digestOf(customerKey))),
		change("c2", 0, profileEntry(serviceProfile("reserve", "nieuwegein", true, "opvang-1"))))
	for _, e := range f.entries {
		eventually(t, startTimeout, "first booking", func() bool {
			return book(context.Background(), e, "reserve", "warm-"+e.name, "{}").status == http.StatusOK
		})
	}
	if c.before != nil {
		c.before(f, service)
	}
	const body = `{"Cat":"Mies"}`
	results := make(chan answer, 2)
	go func() { results <- bookFor(f.entries[0], 12*time.Second, body) }()
	time.Sleep(200 * time.Millisecond) // lets the booking reach the fault
	if c.during != nil {
		c.during(f, service)
	}
	go func() { results <- bookFor(f.entries[1], 8*time.Second, body) }()
	answers := []answer{<-results, <-results}
	if c.heal != nil {
		c.heal(f, service)
	}
	answers = append(answers, bookFor(f.entries[1], 8*time.Second, body))
	checkBookings(t, is, f, service, answers)
}

func bookFor(e *entry, limit time.Duration, body string) answer {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	return book(ctx, e, "reserve", "k1", body)
}

// checkBookings compares what callers were told with what the service counted.
func checkBookings(t *testing.T, is *is.I, f *fleet, service string, answers []answer) {
	t.Helper()
	var text string
	notRun := 0
	for _, a := range answers {
		t.Logf("status=%d outcome=%q err=%v body=%.120s", a.status, a.outcome, a.err, a.body)
		if a.outcome == "Answer" {
			if text != "" {
				is.Equal(a.body, text) // a resend gets the same answer
			}
			text = a.body
		}
		if a.outcome == "NotRun" {
			notRun++
		}
	}
	if f.services["opvang-1"].wait(0) != -1 {
		return // a killed service cannot be asked; nothing else can have run the booking
	}
	runs := executions(t, service)["k1"]
	is.True(runs <= 1)                                   // at most one execution
	is.True(text == "" || runs == 1)                     // an answer comes from an execution
	is.True(notRun < len(answers) || runs == 0)          // NotRun from all means that it never ran
	is.True(answers[len(answers)-1].outcome != "NotRun") // after the fault the booking is possible or its fate is known
}

// TestSimultaneousResends guards against two entry hosts that both run a booking which a caller sends to both at once.
func TestSimultaneousResends(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	for i := range 4 {
		f.entry(entryName(i), "nieuwegein")
	}
	service := f.service("opvang-1", "nieuwegein")
	f.publish()
	declare(t, f.entries[0],
		change("c1", 0, customerEntry("shelter", digestOf(customerKey))),
		change("c2", 0, profileEntry(serviceProfile("reserve", "nieuwegein", true, "opvang-1"))))
	for _, e := range f.entries {
		eventually(t, startTimeout, "first booking", func() bool {
			return book(context.Background(), e, "reserve", "warm-"+e.name, "{}").status == http.StatusOK
		})
	}
	const keys = 20
	var wg sync.WaitGroup
	answers := make([][]answer, keys)
	for k := range keys {
		answers[k] = make([]answer, len(f.entries))
		for i, e := range f.entries {
			wg.Go(func() {
				answers[k][i] = book(context.Background(), e, "reserve", fmt.Sprintf("k%d", k), "{}")
			})
		}
	}
	wg.Wait()
	counts := executions(t, service)
	for k := range keys {
		is.Equal(counts[fmt.Sprintf("k%d", k)], 1)
		for _, a := range answers[k] {
			is.Equal(a.outcome, "Answer") // the owner is alive, so each resend gets its answer
			is.Equal(a.body, answers[k][0].body)
		}
	}
	other := book(context.Background(), f.entries[1], "reserve", "k0", `{"Other":"body"}`)
	is.Equal(other.status, http.StatusConflict)
	is.Equal(other.outcome, "Rejected")
}
