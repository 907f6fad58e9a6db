package mangocapacity

import (
	"maps"
	"runtime"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"
)

// Guards against reports in which a caller that repeats at once displaces others, that exceed their bound or tell old refusals, and
// against times that become later each time they come back from the hub.
func TestReportedRefusals(t *testing.T) {
	due := at(time.Second)
	refuse := func(tracker *Tracker, keys ...RefusalKey) {
		for _, k := range keys {
			tracker.RecordRefusal(k, due, at(0))
		}
	}
	tests := []struct {
		name   string
		refuse func(tracker *Tracker)
		after  time.Duration
		want   int
	}{
		{"two callers", func(tr *Tracker) { refuse(tr, 1, 2) }, refusalReportTime, 2},
		{"a caller that repeats at once", func(tr *Tracker) {
			refuse(tr, 1)
			for range 2 * maxOwnRefusals {
				refuse(tr, 2)
			}
		}, 0, 2},
		{"more than the bound", func(tr *Tracker) {
			for k := range 2 * maxOwnRefusals {
				refuse(tr, RefusalKey(k))
			}
		}, 0, maxOwnRefusals},
		{"old ones", func(tr *Tracker) { refuse(tr, 1) }, refusalReportTime + 1, 0},
		{"told again by the hub", func(tr *Tracker) {
			refuse(tr, 1)
			tr.SetFleet(Report{Refusals: map[RefusalKey]time.Time{1: due.Add(30 * time.Millisecond)}}, Report{}, at(0))
		}, 0, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			tracker := NewTracker()
			tt.refuse(tracker)
			told := tracker.Own(at(tt.after)).Refusals
			is.Equal(len(told), tt.want)
			for at := range maps.Values(told) {
				is.Equal(at, due)
			}
		})
	}
}

// Guards against a search through all refusals for each one that finds no room, and for each view of a request.
func TestManyRefusalsAreCheap(t *testing.T) {
	is := is.New(t)
	tracker := NewTracker()
	// The processor time of this thread leaves out the time for which the machine runs something else.
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	processorTime := func() time.Duration {
		var spent unix.Timespec
		is.NoErr(unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &spent))
		return time.Duration(spent.Nano())
	}
	learn := func(first int) time.Duration {
		many := Report{Refusals: map[RefusalKey]time.Time{}}
		for k := first; k < first+maxRefusals; k++ {
			many.Refusals[RefusalKey(k)] = at(maxRetryAfter)
		}
		began := processorTime()
		tracker.SetFleet(many, Report{}, at(0))
		return processorTime() - began
	}
	view := func() float64 { return testing.AllocsPerRun(10, func() { tracker.View("s", nil, nil, at(0)) }) }
	without := view()
	learn(0)
	known := learn(0)
	further := learn(maxRefusals)
	t.Logf("%d known refusals take %v, as many without room %v", maxRefusals, known, further)
	is.True(further < 200*known) // About 850 times as long with a search for each refusal.
	is.Equal(len(tracker.refusals.due), maxRefusals)
	is.True(view() <= without)
	tracker.SetFleet(Report{}, Report{}, at(2*time.Minute))
	is.Equal(len(tracker.refusals.due), 0)
}

// Guards against callers of a service that wants no requests for minutes taking the places of those that come back in seconds.
func TestLateReturnsTakeNoPlace(t *testing.T) {
	is := is.New(t)
	tracker := NewTracker()
	for k := range RefusalKey(maxRefusals) {
		tracker.RecordRefusal(k, at(time.Minute), at(0))
		tracker.ExpectReturn("s", "d", rank(1), Work{Tokens: 100}, time.Minute, at(0))
	}
	tracker.RecordRefusal(maxRefusals, at(time.Second), at(0))
	tracker.ExpectReturn("s", "d", rank(1), Work{Tokens: 100}, time.Second, at(0))
	is.True(tracker.IsReturning(maxRefusals, at(time.Second)))
	is.Equal(len(tracker.Own(at(0)).Demand), 1)
}
