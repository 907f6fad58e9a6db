package mangocrash

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"mangopath.org/mangopath/pkg/mangomessage"
)

// Guards against blocking a call because several daemons reported the same crash, because a whole rack failed, because of
// crashes before it last completed or long ago, or before all reports have arrived.
func TestVerdicts(t *testing.T) {
	type report struct {
		id       string
		after    time.Duration
		inFlight []string
	}
	tests := []struct {
		name     string
		reports  []report
		complete bool // whether the call completes between the crashes
		after    time.Duration
		verdict  Verdict
		acquire  bool
	}{
		{"never in flight in a crash", nil, false, 0, Clear, true},
		{"one crash", []report{{"x#1", 0, []string{"p", "a"}}}, false, 9 * time.Second, Suspect, true},
		{"one crash reported twice", []report{{"x#1", 0, []string{"p"}}, {"x#2", time.Second, []string{"p", "a"}}}, false, 9 * time.Second, Suspect, true},
		{"second crash before the settle time", []report{{"x#1", 0, []string{"p"}}, {"y#1", time.Minute, []string{"p"}}}, false, time.Second, Suspect, false},
		{"second crash without another suspect", []report{{"x#1", 0, []string{"p", "a"}}, {"y#1", time.Minute, []string{"p", "b"}}}, false, 9 * time.Second, Blocked, false},
		{"second crash with another suspect", []report{{"x#1", 0, []string{"p", "a"}}, {"y#1", time.Minute, []string{"p", "a"}}}, false, 9 * time.Second, Suspect, true},
		{"completed between the crashes", []report{{"x#1", 0, []string{"p", "a"}}, {"y#1", time.Minute, []string{"p"}}}, true, 9 * time.Second, Suspect, true},
		{"rack failure", []report{{"x#1", 0, []string{"p"}}, {"v#1", 0, []string{"c"}}, {"w#1", 0, []string{"d"}}, {"y#1", time.Second, []string{"p"}}}, false, 9 * time.Second, Suspect, true},
		{"expired", []report{{"x#1", 0, []string{"p"}}, {"y#1", time.Minute, []string{"p"}}}, false, time.Hour, Clear, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			tracker, now := New("entry0"), time.Unix(0, 0)
			for i, r := range tt.reports {
				if i > 0 && tt.complete {
					tracker.Complete("p", now)
				}
				now = now.Add(r.after)
				tracker.Report(r.id, r.inFlight, now)
			}
			now = now.Add(tt.after)
			is.Equal(tracker.Check("p", now), tt.verdict)
			is.Equal(tracker.Acquire("p", "z", now), tt.acquire)
			is.True(!tracker.Acquire("q", "z", now) || !tt.acquire)
		})
	}
}

// Guards against counting a crash again when a peer sends it twice, and against sending log entries again.
func TestRepeatedNewsCountsOnce(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	a, b := New("a"), New("b")
	a.Report("x#1", []string{"p", "q"}, now)
	news, next := a.Updates(0, now)
	is.Equal(len(news), 2)
	b.Merge(news, now.Add(time.Second))
	b.Merge(news, now.Add(4*time.Second))
	b.Merge([]*mangomessage.Suspicion{{Fingerprint: "p"}, {CrashId: "x#3"}}, now)
	suspects, blocked := b.Counts(now.Add(time.Minute))
	is.Equal(suspects, 2)
	is.Equal(blocked, 0)
	a.Complete("p", now)
	news, next = a.Updates(next, now)
	is.Equal(len(news), 1)
	b.Merge(news, now.Add(time.Second))
	is.Equal(b.Check("p", now), Clear)
	is.Equal(b.Check("q", now), Suspect)
	news, _ = a.Updates(next, now)
	is.Equal(len(news), 0)
}

// Guards against a number of messages that grows with the square of the number of daemons, and against a daemon that never
// learns of a crash because it cannot be reached by the daemon that reported it.
func TestNewsIsForwardedToFewPeers(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	const daemons = 69
	var all []*CrashTracker
	for i := range daemons {
		all = append(all, New(fmt.Sprint("d", i)))
	}
	const crashes = 40
	for c := range crashes {
		all[0].Report(NewCrashID(fmt.Sprint("host", c)), []string{fmt.Sprint("f", c)}, now.Add(time.Duration(c)*time.Minute/crashes))
	}
	now = now.Add(time.Minute)
	own, _ := all[0].UpdatesFor("d1", daemons-1, 0, now)
	is.Equal(len(own), crashes) // a daemon sends its own reports to all peers
	// The first daemon cannot reach the last one.
	forwarded, missed := 0, map[string]bool{}
	for c := range crashes {
		missed[fmt.Sprint("f", c)] = true
	}
	for i := 1; i < daemons-1; i++ {
		all[i].Merge(own, now)
		for p := 1; p < daemons; p++ {
			if p == i {
				continue
			}
			news, _ := all[i].UpdatesFor(fmt.Sprint("d", p), daemons-1, 0, now)
			forwarded += len(news)
			for _, s := range news {
				if p == daemons-1 {
					delete(missed, s.GetFingerprint())
				}
			}
		}
	}
	is.True(forwarded <= crashes*daemons*(forwardFanout+1))
	is.True(len(missed) <= crashes/10)
}

// Guards against holding a stream because the data centre that it was resent to lost a replica at the same moment as the
// first one, and against not holding a request that crashed one replica after another.
func TestCoincidentCrashesCountAsOne(t *testing.T) {
	now := time.Unix(1000, 0)
	tests := []struct {
		name  string
		apart time.Duration
		held  bool
	}{
		{"at the same moment", 0, false},
		{"sooner than a resent request can begin", 39 * time.Millisecond, false},
		{"later", 41 * time.Millisecond, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			tracker := New("one", WithCoincidenceWindow(40*time.Millisecond))
			// The second crash may be reported first.
			tracker.Report(NewCrashID("y"), []string{"p"}, now.Add(tt.apart))
			tracker.Report(NewCrashID("x"), []string{"p"}, now)
			is.Equal(tracker.Held("p", now.Add(time.Second)), tt.held)
			is.Equal(tracker.Check("p", now.Add(time.Second)), Suspect)
			tracker.Report(NewCrashID("z"), []string{"p"}, now.Add(time.Second))
			is.True(tracker.Held("p", now.Add(2*time.Second))) // a crash after the window counts
		})
	}
}
