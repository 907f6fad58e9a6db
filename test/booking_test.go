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

// bookingFaultCase is a fault that affects a booking on the first entry host.
type bookingFaultCase struct {
	name string
	// before sets faults before the booking is sent; during runs 200 ms later and kills or pauses a process.
	before func(f *fleet, service string)
	during func(f *fleet, service string)
	// heal ends the fault before the booking is sent for the last time.
	heal func(f *fleet, service string)
}

// TestBookingRunsAtMostOnce guards against a second execution of a booking that is sent again to another entry host during
// and after a fault, against NotRun for a booking that ran, and against different answers to one booking.
func TestBookingRunsAtMostOnce(t *testing.T) {
	slowService := func(f *fleet, service string) { f.setStandInFaults(service, map[string]any{"DelayMs": 800}) }
	fastService := func(f *fleet, service string) { f.setStandInFaults(service, map[string]any{"DelayMs": 0}) }
	setStore := func(faults map[string]any) func(*fleet, string) {
		return func(f *fleet, _ string) { f.setStandInFaults(f.platformAddress, faults) }
	}
	healStore := setStore(map[string]any{"Down": false, "DelayMs": 0})
	for _, c := range []bookingFaultCase{
		{name: "entry host killed while the service runs it", before: slowService, during: func(f *fleet, _ string) { f.entryHosts[0].kill() }, heal: fastService},
		{name: "service killed while it runs it", before: slowService, during: func(f *fleet, _ string) { f.services["opvang-1"].kill() }},
		{name: "entry host paused while the service runs it", before: slowService, during: func(f *fleet, _ string) {
			f.entryHosts[0].signal(syscall.SIGSTOP)
			time.AfterFunc(2*time.Second, func() { f.entryHosts[0].signal(syscall.SIGCONT) })
		}, heal: fastService},
		{name: "answer of the service lost after it ran", before: func(f *fleet, service string) {
			f.setStandInFaults(service, map[string]any{"DropReplies": 1})
		}},
		{name: "answer of the record's write lost", before: setStore(map[string]any{"DropReplies": 1})},
		{name: "answers of several writes lost", before: setStore(map[string]any{"DropReplies": 3})},
		{name: "store down", before: setStore(map[string]any{"Down": true}), heal: healStore},
		{name: "store slow", before: setStore(map[string]any{"DelayMs": 700}), heal: healStore},
		{name: "entry host paused while the record is written", before: setStore(map[string]any{"DelayMs": 600}), during: func(f *fleet, _ string) {
			f.entryHosts[0].signal(syscall.SIGSTOP)
			time.AfterFunc(7*time.Second, func() { f.entryHosts[0].signal(syscall.SIGCONT) })
		}, heal: healStore},
		{name: "service refuses", before: func(f *fleet, service string) {
			f.setStandInFaults(service, map[string]any{"Refuse": true})
		}, heal: func(f *fleet, service string) { f.setStandInFaults(service, map[string]any{"Refuse": false}) }},
	} {
		t.Run(c.name, func(t *testing.T) { runBookingFault(t, c) })
	}
}

// runBookingFault sends one booking three times: under the fault, meanwhile to another entry host, and there again after the
// fault. It also sends a booking with another key once.
func runBookingFault(t *testing.T, c bookingFaultCase) {
	f := newBookingFleet(t, 2)
	if c.before != nil {
		c.before(f.fleet, f.serviceAddress)
	}
	f.submit(0, "k1", 12*time.Second, false) // sent again before its answer, so not marked as the first submission
	f.submit(0, "once", 12*time.Second, true)
	time.Sleep(200 * time.Millisecond) // the bookings reach the fault
	if c.during != nil {
		c.during(f.fleet, f.serviceAddress)
	}
	f.submit(1, "k1", 8*time.Second, false)
	f.waitAnswers()
	if c.heal != nil {
		c.heal(f.fleet, f.serviceAddress)
	}
	f.submit(1, "k1", 8*time.Second, false)
	f.waitAnswers()
	f.checkAnswers()
	is := is.New(t)
	// Without the fault an entry host can run the booking or find out whether it ran, so it doesn't answer NotRun.
	is.True(f.answers["k1"][2].outcome != "NotRun")
}

// TestSimultaneousResends guards against two executions of a booking that its caller sends to several entry hosts at once.
func TestSimultaneousResends(t *testing.T) {
	is := is.New(t)
	f := newBookingFleet(t, 4)
	const keys = 20
	var wg sync.WaitGroup
	answers := make([][]callResult, keys)
	for k := range keys {
		answers[k] = make([]callResult, len(f.entryHosts))
		for i, e := range f.entryHosts {
			wg.Go(func() {
				answers[k][i] = requestBooking(context.Background(), e, "reserve", fmt.Sprintf("k%d", k), "{}")
			})
		}
	}
	wg.Wait()
	counts := f.executionCounts()
	for k := range keys {
		is.Equal(counts[fmt.Sprintf("k%d", k)], 1)
		for _, a := range answers[k] {
			is.Equal(a.outcome, "Answer") // the entry host that owns the booking is alive, so each submission gets its answer
			is.Equal(a.body, answers[k][0].body)
		}
	}
	is.Equal(executions(t, f.serviceAddress)["k0"], 1) // the service's own count agrees with its journal
	other := requestBooking(context.Background(), f.entryHosts[1], "reserve", "k0", `{"Other":"body"}`)
	is.Equal(other.status, http.StatusConflict)
	is.Equal(other.outcome, "Rejected")
}
