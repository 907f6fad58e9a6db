package test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"
)

// timedOutcome is the outcome of a booking and the time until its answer.
type timedOutcome struct {
	outcome string
	took    time.Duration
}

// BenchmarkBookings sends bookings at fixed rates for 8 s to a platform with its default limits of 300 writes/s and 2000
// reads/s. It reports bookings answered per second, store writes per booking and the latency added to the service's own.
func BenchmarkBookings(b *testing.B) {
	for _, c := range []struct {
		entries int
		rate    int
		change  string
	}{
		{1, 10, ""},
		{1, 18, ""},
		{1, 25, ""},
		{1, 40, ""},
		{1, 80, ""},
		{4, 40, ""},
		{4, 70, ""},
		{4, 100, ""},
		{4, 160, ""},
		{1, 100, "Platform.WriteRate=300"},
		{1, 140, "Platform.WriteRate=300"},
		{1, 200, "Platform.WriteRate=300"},
	} {
		b.Run(fmt.Sprintf("entries=%d,rate=%d,%s", c.entries, c.rate, strings.ReplaceAll(c.change, "=", "_")), func(b *testing.B) {
			f := newFleet(b)
			for i := range c.entries {
				if c.change == "" {
					f.startEntryHost(entryName(i), "nieuwegein")
					continue
				}
				f.startEntryHost(entryName(i), "nieuwegein", c.change)
			}
			f.startService("opvang-1", "nieuwegein")
			f.publishHostList()
			mustPropose(b, f.entryHosts[0],
				newChange("c1", 0, customerEntry("shelter", digestOf(customerKey))),
				newChange("c2", 0, profileEntry(serviceProfile("reserve", "nieuwegein", true, "opvang-1"))))
			for _, e := range f.entryHosts {
				eventually(b, startTimeout, "first booking", func() bool {
					return requestBooking(context.Background(), e, "reserve", "warm-"+e.name, "{}").status == http.StatusOK
				})
			}
			for b.Loop() {
				f.offerBookings(b, c.rate, 8*time.Second)
			}
		})
	}
}

// offerBookings sends bookings at a fixed rate for a time. It reports on those sent after the first 3 s, in which the bursts
// that the rate limits allow are used up.
func (f *fleet) offerBookings(b *testing.B, perSecond int, duration time.Duration) {
	const warmup = 3 * time.Second
	before, begin := f.platformWrites(b), time.Now()
	var mu sync.Mutex
	var wg sync.WaitGroup
	var all []timedOutcome
	sent := 0
	for at := time.Duration(0); at < duration; at += time.Second / time.Duration(perSecond) {
		time.Sleep(time.Until(begin.Add(at)))
		e, key := f.entryHosts[sent%len(f.entryHosts)], fmt.Sprintf("k%d", sent)
		sent++
		wg.Go(func() {
			start := time.Now()
			a := requestBooking(context.Background(), e, "reserve", key, "{}")
			if at >= warmup {
				mu.Lock()
				all = append(all, timedOutcome{a.outcome, time.Since(start)})
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	time.Sleep(500 * time.Millisecond) // the last booking records are written in the background
	f.reportBookings(b, all, float64(f.platformWrites(b)-before)/float64(sent), (duration - warmup).Seconds())
}

// reportBookings reports the rates of answers and failures, the store writes per booking and the quantiles of the latency.
func (f *fleet) reportBookings(b *testing.B, all []timedOutcome, writes, seconds float64) {
	const serviceTime = 5 * time.Millisecond // the service's own time for a booking
	var took []time.Duration
	outcomes := map[string]int{}
	for _, r := range all {
		outcomes[r.outcome]++
		if r.outcome == "Answer" {
			took = append(took, r.took-serviceTime)
		}
	}
	slices.Sort(took)
	b.ReportMetric(float64(len(took))/seconds, "answers/s")
	b.ReportMetric(float64(len(all)-len(took))/seconds, "failures/s")
	b.ReportMetric(writes, "writes/booking")
	if len(took) > 0 {
		b.ReportMetric(float64(took[len(took)/2].Microseconds())/1000, "p50-ms")
		b.ReportMetric(float64(took[len(took)*95/100].Microseconds())/1000, "p95-ms")
	}
	b.Logf("outcomes %v", outcomes)
}

// platformWrites returns how many writes the platform has counted since its start.
func (f *fleet) platformWrites(b *testing.B) int {
	_, data, _, err := sendRequest(context.Background(), http.MethodGet, "http://"+f.platformAddress+"/admin/counters", nil, nil)
	if err != nil {
		b.Fatal(err)
	}
	var counters struct{ Writes int }
	if err := json.Unmarshal(data, &counters); err != nil {
		b.Fatal(err)
	}
	return counters.Writes
}
