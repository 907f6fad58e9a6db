package mangosuspect

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"mangopath.org/mangopath/pkg/mangomessage"
)

// Guards against verdicts on one crash that several daemons noticed, on failures of a whole rack, on calls that have
// completed since, on crashes that are long past, and before all reports are in.
func TestVerdicts(t *testing.T) {
	type report struct {
		id     string
		after  time.Duration
		aboard []string
	}
	tests := []struct {
		name     string
		reports  []report
		complete bool
		after    time.Duration
		verdict  Verdict
		acquire  bool
	}{
		{"never aboard", nil, false, 0, Clear, true},
		{"one crash", []report{{"x#1", 0, []string{"p", "a"}}}, false, 9 * time.Second, Suspect, true},
		{"one crash noticed twice", []report{{"x#1", 0, []string{"p"}}, {"x#2", time.Second, []string{"p", "a"}}}, false, 9 * time.Second, Suspect, true},
		{"second crash not settled", []report{{"x#1", 0, []string{"p"}}, {"y#1", time.Minute, []string{"p"}}}, false, time.Second, Suspect, false},
		{"second crash alone", []report{{"x#1", 0, []string{"p", "a"}}, {"y#1", time.Minute, []string{"p", "b"}}}, false, 9 * time.Second, Blocked, false},
		{"second crash with another suspect", []report{{"x#1", 0, []string{"p", "a"}}, {"y#1", time.Minute, []string{"p", "a"}}}, false, 9 * time.Second, Suspect, true},
		{"completed in between", []report{{"x#1", 0, []string{"p", "a"}}, {"y#1", time.Minute, []string{"p"}}}, true, 9 * time.Second, Suspect, true},
		{"rack", []report{{"x#1", 0, []string{"p"}}, {"v#1", 0, []string{"c"}}, {"w#1", 0, []string{"d"}}, {"y#1", time.Second, []string{"p"}}}, false, 9 * time.Second, Suspect, true},
		{"expired", []report{{"x#1", 0, []string{"p"}}, {"y#1", time.Minute, []string{"p"}}}, false, time.Hour, Clear, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s, now := New("entry0"), time.Unix(0, 0)
			for i, r := range tt.reports {
				if i > 0 && tt.complete {
					s.Complete("p", now)
				}
				now = now.Add(r.after)
				s.Report(r.id, r.aboard, now)
			}
			now = now.Add(tt.after)
			is.Equal(s.Check("p", now), tt.verdict)
			is.Equal(s.Acquire("p", "z", now), tt.acquire)
			is.True(!s.Acquire("q", "z", now) || !tt.acquire)
		})
	}
}

// Guards against peers that count a crash again when news comes twice, and against news that is sent again.
func TestNewsCountsOnce(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	a, b := New("a"), New("b")
	a.Report("x#1", []string{"p", "q"}, now)
	news, next := a.News(0, now)
	is.Equal(len(news), 2)
	b.Merge(news, now.Add(time.Second))
	b.Merge(news, now.Add(4*time.Second))
	b.Merge([]*mangomessage.Suspicion{{Fingerprint: "p"}, {CrashId: "x#3"}}, now)
	suspects, condemned := b.Counts(now.Add(time.Minute))
	is.Equal(suspects, 2)
	is.Equal(condemned, 0)
	a.Complete("p", now)
	news, next = a.News(next, now)
	is.Equal(len(news), 1)
	b.Merge(news, now.Add(time.Second))
	is.Equal(b.Check("p", now), Clear)
	is.Equal(b.Check("q", now), Suspect)
	news, _ = a.News(next, now)
	is.Equal(len(news), 0)
}

// Guards against messages that grow with the square of the number of daemons, and against a daemon that is cut off from the
// one that noticed a crash and never learns of it.
func TestNewsIsForwardedToFew(t *testing.T) {
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
	own, _ := all[0].NewsFor("d1", daemons-1, 0, now)
	is.Equal(len(own), crashes) // its own reports go to all
	// The last daemon is cut off from the first one.
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
			news, _ := all[i].NewsFor(fmt.Sprint("d", p), daemons-1, 0, now)
			forwarded += len(news)
			for _, s := range news {
				if p == daemons-1 {
					delete(missed, s.GetFingerprint())
				}
			}
		}
	}
	is.True(forwarded <= crashes*daemons*(forwards+1))
	is.True(len(missed) <= crashes/10)
}

// Guards against streams that are held back as crashing because they were sent on to a data centre that lost a replica at the
// same moment as the first one, and against a crashing request that is not held after it crashed one replica after another.
func TestCrashesTogether(t *testing.T) {
	now := time.Unix(1000, 0)
	tests := []struct {
		name  string
		apart time.Duration
		held  bool
	}{
		{"at the same moment", 0, false},
		{"sooner than a request can be sent on and begin", 39 * time.Millisecond, false},
		{"later", 41 * time.Millisecond, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := New("one", WithCoincidenceWindow(40*time.Millisecond))
			// Reports of the second crash may arrive first.
			s.Report(NewCrashID("y"), []string{"p"}, now.Add(tt.apart))
			s.Report(NewCrashID("x"), []string{"p"}, now)
			is.Equal(s.Held("p", now.Add(time.Second)), tt.held)
			is.Equal(s.Check("p", now.Add(time.Second)), Suspect)
			s.Report(NewCrashID("z"), []string{"p"}, now.Add(time.Second))
			is.True(s.Held("p", now.Add(2*time.Second))) // a further crash counts
		})
	}
}
