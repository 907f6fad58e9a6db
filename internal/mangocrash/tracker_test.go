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

// Guards against a number of messages that grows with the square of the number of daemons, and against a daemon that does not
// learn of a crash: followers send their reports to their hub, which sends them to its followers and to the other hubs, and
// these to their followers.
func TestSuspicionsPassThroughHubs(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	const hubs, followers = 5, 58
	trackers := map[string]*CrashTracker{}
	name := func(hub, follower int) string { return fmt.Sprintf("d%d-%d", hub, follower) }
	for h := range hubs {
		for f := range followers + 1 {
			trackers[name(h, f)] = New(name(h, f))
		}
	}
	// Daemon 0 of each group is its hub.
	reporter := trackers[name(2, 7)]
	reporter.Report(NewCrashID("host"), []string{"f"}, now)
	messages := 0
	toHub := func(from, to *CrashTracker, fromIsHub bool) {
		news, _ := from.UpdatesToHub(0, fromIsHub, now)
		messages += len(news)
		if fromIsHub {
			to.MergeRelayed(news, now)
		} else {
			to.Merge(news, now)
		}
	}
	// Three rounds show that nothing is sent for ever.
	for range 3 {
		for h := range hubs {
			for f := 1; f <= followers; f++ {
				toHub(trackers[name(h, f)], trackers[name(h, 0)], false)
			}
		}
		for h := range hubs {
			for o := range hubs {
				if o != h {
					toHub(trackers[name(h, 0)], trackers[name(o, 0)], true)
				}
			}
		}
		for h := range hubs {
			news, _ := trackers[name(h, 0)].Updates(0, now)
			for f := 1; f <= followers; f++ {
				trackers[name(h, f)].MergeRelayed(news, now)
			}
		}
	}
	// In each round one message goes from the reporter to its hub, and one from there to each other hub.
	is.Equal(messages, 3*hubs)
	for _, tracker := range trackers {
		is.Equal(tracker.Check("f", now.Add(time.Second)), Suspect)
	}
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
