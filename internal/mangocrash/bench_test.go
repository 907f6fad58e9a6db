package mangocrash

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkRefuse measures the check of a request after each new report, with 40 crashes of 200 requests each.
func BenchmarkRefuse(b *testing.B) {
	now := time.Unix(1000, 0)
	tracker := New("one", WithCoincidenceWindow(40*time.Millisecond))
	for i := range 40 {
		now = now.Add(300 * time.Millisecond)
		aboard := []InFlight{unbegun(now, fmt.Sprint("deadly", i), "shared", "bad")}
		for n := range 199 {
			aboard = append(aboard, begun(fmt.Sprint("r", (i*97+n)%1500)))
		}
		tracker.ReportInFlight(NewGroupCrashID(fmt.Sprint("g", i%8), fmt.Sprint(i)), aboard, now)
	}
	request := Request{Parts: []string{"shared", "bad"}, Fingerprint: "new"}
	b.Run("after a report", func(b *testing.B) {
		for b.Loop() {
			tracker.changed = true
			tracker.Refuse(request, now)
		}
	})
	b.Run("without one", func(b *testing.B) {
		for b.Loop() {
			tracker.Refuse(request, now)
		}
	})
}
