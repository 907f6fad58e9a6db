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

// bookingFaultCase is a fault around one booking; after says how often the service may have run it at most.
type bookingFaultCase struct {
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
	slow := func(f *fleet, service string) { f.setStandInFaults(service, map[string]any{"DelayMs": 800}) }
	fast := func(f *fleet, service string) { f.setStandInFaults(service, map[string]any{"DelayMs": 0}) }
	store := func(faults map[string]any) func(*fleet, string) {
		return func(f *fleet, _ string) { f.setStandInFaults(f.platformAddress, faults) }
	}
	healed := store(map[string]any{"Down": false, "DelayMs": 0})
	for _, c := range []bookingFaultCase{
		{name: "entry host killed while the service runs it", before: slow, during: func(f *fleet, _ string) { f.entryHosts[0].kill() }, heal: fast},
		{name: "service killed while it runs it", before: slow, during: func(f *fleet, _ string) { f.services["opvang-1"].kill() }},
		{name: "entry host paused while the service runs it", before: slow, during: func(f *fleet, _ string) {
			f.entryHosts[0].signal(syscall.SIGSTOP)
			time.AfterFunc(2*time.Second, func() { f.entryHosts[0].signal(syscall.SIGCONT) })
		}, heal: fast},
		{name: "answer of the service lost after it ran", before: func(f *fleet, service string) {
			f.setStandInFaults(service, map[string]any{"DropReplies": 1})
		}},
		{name: "answer of the record's write lost", before: store(map[string]any{"DropReplies": 1})},
		{name: "answers of several writes lost", before: store(map[string]any{"DropReplies": 3})},
		{name: "store down", before: store(map[string]any{"Down": true}), heal: healed},
		{name: "store slow", before: store(map[string]any{"DelayMs": 700}), heal: healed},
		{name: "entry host paused while the record is written", before: store(map[string]any{"DelayMs": 600}), during: func(f *fleet, _ string) {
			f.entryHosts[0].signal(syscall.SIGSTOP)
			time.AfterFunc(7*time.Second, func() { f.entryHosts[0].signal(syscall.SIGCONT) })
		}, heal: healed},
		{name: "service refuses", before: func(f *fleet, service string) {
			f.setStandInFaults(service, map[string]any{"Refuse": true})
		}, heal: func(f *fleet, service string) { f.setStandInFaults(service, map[string]any{"Refuse": false}) }},
	} {
		t.Run(c.name, func(t *testing.T) { runBookingFault(t, c) })
	}
}

// runBookingFault books once under the fault, once more at the same time elsewhere and once after the fault.
func runBookingFault(t *testing.T, c bookingFaultCase) {
	f := newBookingFleet(t, 2)
	if c.before != nil {
		c.before(f.fleet, f.serviceAddress)
	}
	f.submit(0, "k1", 12*time.Second, false) // sent again before its answer, so it must not state first
	f.submit(0, "once", 12*time.Second, true)
	time.Sleep(200 * time.Millisecond) // lets the booking reach the fault
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
	// After the fault the booking is possible or its fate is known.
	is.True(f.answers["k1"][2].outcome != "NotRun")
}

// TestSimultaneousResends guards against two entry hosts that both run a booking which a caller sends to both at once.
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
			is.Equal(a.outcome, "Answer") // the owner is alive, so each resend gets its answer
			is.Equal(a.body, answers[k][0].body)
		}
	}
	is.Equal(executions(t, f.serviceAddress)["k0"], 1) // the service counts as its journal does
	other := requestBooking(context.Background(), f.entryHosts[1], "reserve", "k0", `{"Other":"body"}`)
	is.Equal(other.status, http.StatusConflict)
	is.Equal(other.outcome, "Rejected")
}
