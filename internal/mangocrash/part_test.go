package mangocrash

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// unbegun returns a request with parts that was sent a moment before the crash at a time and had not begun.
func unbegun(at time.Time, fingerprint string, parts ...string) InFlight {
	return InFlight{Request: Request{Parts: parts, Fingerprint: fingerprint}, SentAt: at.Add(-50 * time.Millisecond)}
}

// begun returns a request that was running when its host crashed.
func begun(fingerprint string) InFlight { return InFlight{Request: Request{Fingerprint: fingerprint}} }

// Guards against refusing a wider part, another part or another request than the one that the crashes have in common, and
// against letting the guilty one run while it is not known yet.
func TestVerdictsOnParts(t *testing.T) {
	start := time.Unix(1000, 0)
	type crashAt struct {
		group  string
		after  time.Duration
		aboard []InFlight
	}
	at := start.Add
	tests := []struct {
		name    string
		crashes []crashAt
		// held and blocked are the fingerprints that are refused just after the last crash, and when all reports have arrived.
		held, blocked []string
	}{
		{
			"a part of two requests",
			[]crashAt{{"a", 0, []InFlight{unbegun(at(0), "r1", "shared", "bad")}}, {"b", time.Second, []InFlight{unbegun(at(time.Second), "r2", "shared", "bad")}}},
			[]string{"bad"},
			[]string{"bad"},
		},
		{
			"the same request twice",
			[]crashAt{{"a", 0, []InFlight{unbegun(at(0), "r1", "shared", "part")}}, {"b", time.Second, []InFlight{unbegun(at(time.Second), "r1", "shared", "part")}}},
			[]string{"r1"},
			[]string{"r1"},
		},
		{
			"the same request twice, then another one with its part",
			[]crashAt{
				{"a", 0, []InFlight{unbegun(at(0), "r1", "shared", "bad")}},
				{"b", time.Second, []InFlight{unbegun(at(time.Second), "r1", "shared", "bad")}},
				{"c", 2 * time.Second, []InFlight{unbegun(at(2*time.Second), "r2", "shared", "bad")}},
			},
			[]string{"bad", "r1"},
			[]string{"bad"},
		},
		{
			"a stream that ran on both hosts",
			[]crashAt{
				{"a", 0, []InFlight{unbegun(at(0), "r1", "bad"), begun("stream")}},
				{"b", time.Second, []InFlight{unbegun(at(time.Second), "r2", "bad"), begun("stream")}},
			},
			[]string{"bad"},
			[]string{"bad"},
		},
		{
			"two parts that can't be told apart",
			[]crashAt{
				{"a", 0, []InFlight{unbegun(at(0), "r1", "one"), unbegun(at(0), "r2", "two")}},
				{"b", time.Second, []InFlight{unbegun(at(time.Second), "r3", "one"), unbegun(at(time.Second), "r4", "two")}},
			},
			[]string{"one", "two"},
			nil,
		},
		{
			"one host after the other of a group, sent anew each time",
			[]crashAt{{"a", 0, []InFlight{unbegun(at(0), "r1", "bad")}}, {"a", time.Second, []InFlight{unbegun(at(time.Second), "r2", "bad")}}},
			[]string{"bad"},
			[]string{"bad"},
		},
		{
			"hosts of a group that are lost together",
			[]crashAt{{"a", 0, []InFlight{unbegun(at(0), "r1", "part")}}, {"a", 45 * time.Millisecond, []InFlight{unbegun(at(45*time.Millisecond), "r2", "part")}}},
			nil, nil,
		},
		{
			"a held part explains what a request would be blocked for",
			[]crashAt{
				{"a", 0, []InFlight{unbegun(at(0), "r1", "bad")}},
				{"b", 500 * time.Millisecond, []InFlight{unbegun(at(500*time.Millisecond), "r1", "bad")}},
				{"c", 2600 * time.Millisecond, []InFlight{unbegun(at(2600*time.Millisecond), "r2", "bad")}},
			},
			[]string{"bad"},
			[]string{"bad"},
		},
	}
	refused := func(tracker *CrashTracker, now time.Time) []string {
		var list []string
		for _, f := range []string{"shared", "part", "bad", "one", "two", "r1", "stream"} {
			if _, isRefused := tracker.Refuse(Request{Fingerprint: f}, now); isRefused {
				list = append(list, f)
			}
		}
		return list
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			tracker := New("one", WithCoincidenceWindow(40*time.Millisecond))
			var now time.Time
			for i, c := range tt.crashes {
				now = at(c.after)
				tracker.ReportInFlight(NewGroupCrashID(c.group, fmt.Sprint("host", i)), c.aboard, now)
			}
			is.Equal(refused(tracker, now.Add(time.Millisecond)), tt.held)
			is.Equal(refused(tracker, now.Add(3*time.Second)), tt.blocked)
		})
	}
}

// Guards against an innocent part that stays refused although answers with it begin, whatever crashes it was in.
func TestBegunPartsAreNotRefused(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		tracker := New("one", WithCoincidenceWindow(40*time.Millisecond), WithCondemnedExpiry(time.Hour))
		parts := []string{"a", "b", "c", "d"}
		for i := range rapid.IntRange(1, 12).Draw(t, "crashes") {
			now = now.Add(time.Duration(rapid.IntRange(0, 4000).Draw(t, "pause")) * time.Millisecond)
			var aboard []InFlight
			for n := range rapid.IntRange(1, 4).Draw(t, "requests") {
				k := rapid.IntRange(0, 3).Draw(t, "part")
				aboard = append(aboard, unbegun(now, fmt.Sprint("r", i, "-", n), parts[:k+1]...))
			}
			tracker.ReportInFlight(NewGroupCrashID(fmt.Sprint("g", rapid.IntRange(0, 2).Draw(t, "group")), fmt.Sprint(i)), aboard, now)
			// Verdicts are made as requests arrive.
			tracker.Refuse(Request{Parts: parts, Fingerprint: "any"}, now)
		}
		now = now.Add(time.Duration(rapid.IntRange(1, 5000).Draw(t, "rest")) * time.Millisecond)
		sound := rapid.SampledFrom(parts).Draw(t, "sound")
		tracker.Begin([]string{sound}, now)
		if refusal, refused := tracker.Refuse(Request{Parts: []string{sound}, Fingerprint: "sound"}, now); refused {
			t.Fatalf("refused as %+v", refusal)
		}
	})
}

// Guards against a blocked part that is refused for ever though it is sound, against trials that end more replicas than three,
// and against several daemons that try at the same time.
func TestBlockedPartIsTried(t *testing.T) {
	tests := []struct {
		name   string
		sound  bool
		trials int
	}{
		{"a sound part", true, 1},
		{"a part that crashes replicas", false, 3},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(1000, 0)
			names := []string{"h1", "h2", "h3", "other"}
			var trackers []*CrashTracker
			for _, name := range names {
				trackers = append(trackers, New(name, WithCondemnedExpiry(24*time.Hour), WithTriers(func() []string { return []string{"h1", "h2", "h3"} })))
			}
			crashes := 0
			report := func() {
				for _, tracker := range trackers {
					tracker.ReportInFlight(NewGroupCrashID(fmt.Sprint("g", crashes), fmt.Sprint(crashes)), []InFlight{unbegun(now, fmt.Sprint("r", crashes), "part")}, now)
				}
				crashes++
			}
			report()
			now = now.Add(time.Second)
			report()
			trials, freed := 0, false
			for range 3 * 60 * 60 {
				now = now.Add(time.Second)
				tried := 0
				for i, tracker := range trackers {
					if _, refused, _ := tracker.Admit(Request{Parts: []string{"part"}, Fingerprint: "new"}, now); !refused && !freed {
						is.True(names[i] != "other")
						tried++
					}
				}
				is.True(tried <= 1)
				trials += tried
				switch {
				case tried > 0 && tt.sound:
					freed = true
					for _, tracker := range trackers {
						tracker.Begin([]string{"part"}, now)
					}
				case tried > 0:
					report()
				}
			}
			is.Equal(trials, tt.trials)
			is.Equal(freed, tt.sound)
		})
	}
}
