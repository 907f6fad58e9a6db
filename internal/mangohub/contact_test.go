package mangohub

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"mangopath.org/mangopath/internal/mangostate"
)

// contactStep is something that a mirror is told, at a time after the start of the test.
type contactStep struct {
	at   time.Duration
	tell func(m *Mirror)
}

// contactFixture is a mirror with a clock.
type contactFixture struct {
	mirror *Mirror
	start  time.Time
	clock  time.Time
	// losses counts those that the user of the mirror is told of.
	losses int
}

func newContactFixture() *contactFixture {
	start := time.Unix(1000, 0)
	f := &contactFixture{mirror: NewMirror(), start: start, clock: start}
	f.mirror.now = func() time.Time { return f.clock }
	f.mirror.Load(nil, 1)
	return f
}

// play tells the mirror a step and takes what it has to tell its user.
func (f *contactFixture) play(s contactStep) {
	f.clock = f.start.Add(s.at)
	s.tell(f.mirror)
	for {
		lost, returned := f.mirror.takeContactChange(false)
		if lost {
			f.losses++
		}
		if !lost && !returned {
			return
		}
		if lost && !f.mirror.Contact() {
			return
		}
	}
}

// awayAt returns when the store was last away, counted from the start, -1 if it never was.
func (f *contactFixture) awayAt() time.Duration {
	outage := f.mirror.Outage()
	if outage.At.IsZero() {
		return -1
	}
	return outage.At.Sub(f.start)
}

// callTime is the time that a call of ownCall takes.
const callTime = 100 * time.Millisecond

func ownCall(reached bool) func(*Mirror) {
	return func(m *Mirror) { m.SetOwnContact(reached, m.now().Add(-callTime)) }
}

func reading(on bool) func(*Mirror) { return func(m *Mirror) { m.SetReading(on) } }

func hubSays(h HubContact) func(*Mirror) { return func(m *Mirror) { m.SetHubContact(h) } }

func endHub(m *Mirror) { m.EndHubContact() }

// Guards against what one outage of the store leaves behind: a daemon took each later change of hubs for a loss of the store, and
// the next hub for its return, and kept entries that had been removed since. Times are in seconds.
func TestContactAfterOutage(t *testing.T) {
	const s, ms = time.Second, time.Millisecond
	f := newContactFixture()
	local, remote := HubContact{Reached: true, Local: true}, HubContact{Reached: true}
	// These were in contact all the while.
	localAll, remoteAll := HubContact{Reached: true, Local: true, Since: f.start}, HubContact{Reached: true, Since: f.start}
	awayAt := func(seconds float64) HubContact {
		return HubContact{Reached: true, Local: true, Outage: mangostate.Outage{At: f.start.Add(time.Duration(seconds * float64(s)))}}
	}
	const failedAt = 2*s - callTime
	// An outage from 1 s to 5 s, in which an own call failed; a hub tells of its end.
	outage := []contactStep{
		{0, hubSays(local)},
		{1 * s, hubSays(HubContact{Local: true})},
		{2 * s, reading(true)},
		{2 * s, ownCall(false)},
		{5 * s, hubSays(awayAt(4.5))},
		{5 * s, reading(false)},
	}
	tests := []struct {
		name   string
		steps  []contactStep
		losses int
		awayAt time.Duration
		lost   bool
		// onlyLocal says that other data centres had the store.
		onlyLocal bool
	}{
		{"the outage alone", outage, 1, 4500 * ms, false, false},
		{"a change of hubs long after it", append(outage[:6:6], contactStep{15 * s, endHub}, contactStep{16 * s, hubSays(local)}), 1, 4500 * ms, false, false},
		{"changes of hubs in series", append(
			outage[:6:6], contactStep{8 * s, endHub}, contactStep{8 * s, hubSays(local)}, contactStep{9 * s, endHub}, contactStep{9 * s, hubSays(remote)},
			contactStep{10 * s, endHub}, contactStep{10 * s, hubSays(local)},
		), 1, 4500 * ms, false, false},
		{"the daemon takes a seat long after it", append(
			outage[:6:6], contactStep{15 * s, endHub}, contactStep{15 * s, reading(true)}, contactStep{15 * s, ownCall(true)}, contactStep{16 * s, endHub},
		), 1, 4500 * ms, false, false},
		{"another hub saw its end a little later", append(outage[:6:6], contactStep{6 * s, endHub}, contactStep{6 * s, hubSays(awayAt(4.9))}), 1, 4900 * ms, false, false},
		{"the hub's time is rounded up", append(outage[:6:6], contactStep{6 * s, hubSays(awayAt(4.501))}, contactStep{7 * s, hubSays(awayAt(4.502))}), 1, 4500 * ms, false, false},
		{"no hub after it, and the store fails again", append(
			outage[:6:6], contactStep{15 * s, endHub}, contactStep{15 * s, reading(true)}, contactStep{15 * s, ownCall(false)}, contactStep{17 * s, ownCall(true)},
		), 2, 15*s - callTime, false, false},
		{"only the hub loses the store, an own call reaches it", []contactStep{
			{0, hubSays(local)}, {1 * s, hubSays(HubContact{Local: true})}, {2 * s, reading(true)}, {2 * s, ownCall(true)},
		}, 1, -1, false, false},
		{"only the hub loses the store, another one has it", []contactStep{
			{0, hubSays(local)}, {1 * s, hubSays(HubContact{Local: true})}, {2 * s, endHub}, {2 * s, hubSays(remote)},
		}, 1, -1, false, false},
		{"this daemon alone is cut off, a hub of its data centre was not", []contactStep{
			{0, hubSays(local)}, {1 * s, endHub}, {2 * s, reading(true)}, {2 * s, ownCall(false)}, {9 * s, hubSays(localAll)},
		}, 1, -1, false, false},
		{"the data centre is cut off, a hub of another one was not", []contactStep{
			{0, hubSays(local)}, {1 * s, endHub}, {2 * s, reading(true)}, {2 * s, ownCall(false)}, {9 * s, hubSays(remoteAll)},
		}, 1, failedAt, false, true},
		{"the data centre is cut off, a hub of another one has just started", []contactStep{
			{0, hubSays(local)}, {1 * s, endHub}, {2 * s, reading(true)}, {2 * s, ownCall(false)}, {9 * s, hubSays(remote)},
		}, 1, failedAt, false, false},
		{"the data centre was cut off, and an own call returns before a hub", []contactStep{
			{0, hubSays(local)}, {1 * s, endHub}, {2 * s, reading(true)}, {2 * s, ownCall(false)}, {6 * s, ownCall(true)}, {9 * s, hubSays(remoteAll)},
		}, 1, failedAt, false, true},
		{"the hub is left soon after the end of a cut", []contactStep{
			{0, hubSays(remote)}, {1 * s, endHub}, {2 * s, ownCall(false)}, {3 * s, hubSays(remoteAll)}, {3500 * ms, endHub}, {3500 * ms, reading(true)},
		}, 1, failedAt, false, true},
		{"a hub of the data centre that had contact all the while tells of an outage again and again", []contactStep{
			{0, hubSays(local)},
			{5 * s, hubSays(HubContact{Reached: true, Local: true, Since: f.start, Outage: mangostate.Outage{At: f.start.Add(4 * s)}})},
			{6 * s, hubSays(HubContact{Reached: true, Local: true, Since: f.start, Outage: mangostate.Outage{At: f.start.Add(4 * s)}})},
		}, 0, -1, false, false},
		{"an own call fails, and the hub has the store", []contactStep{{0, hubSays(remoteAll)}, {2 * s, ownCall(false)}, {3 * s, hubSays(remoteAll)}}, 0, -1, false, false},
		{"a success stands until a call fails", []contactStep{
			{0, reading(true)},
			{0, ownCall(true)},
			{1 * s, reading(false)},
			{10 * s, hubSays(HubContact{Local: true})},
			{11 * s, ownCall(false)},
		}, 1, 11*s - callTime, true, false},
		{"a watch that has lasted long is a contact", []contactStep{
			{0, reading(true)}, {0, ownCall(true)}, {10 * s, hubSays(HubContact{Local: true})},
		}, 0, -1, false, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			f := newContactFixture()
			for _, step := range tt.steps {
				f.play(step)
			}
			is.Equal(f.mirror.Contact(), !tt.lost)
			is.Equal(f.losses, tt.losses)
			is.Equal(f.awayAt(), tt.awayAt)
			is.Equal(f.mirror.Outage().OnlyLocal, tt.onlyLocal)
		})
	}
}

// Guards against a time of return that moves with the hubs: after an outage, hubs change in any order and the daemon takes and
// loses seats, while every call and every hub reaches the store. Entries would be kept for longer each time.
func TestReturnTimeStays(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newContactFixture()
		for _, s := range []contactStep{
			{0, hubSays(HubContact{Reached: true, Local: true})}, {time.Second, hubSays(HubContact{})}, {time.Second, ownCall(false)},
		} {
			f.play(s)
		}
		ended := 5 * time.Second
		f.play(contactStep{ended, hubSays(HubContact{Reached: true, Outage: mangostate.Outage{At: f.start.Add(ended)}})})
		at := ended
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			at += time.Duration(rapid.IntRange(0, 4000).Draw(t, "pause")) * time.Millisecond
			tell := rapid.SampledFrom([]func(*Mirror){
				endHub, ownCall(true), reading(true), reading(false), hubSays(HubContact{Reached: true, Local: true}), hubSays(HubContact{Reached: true}),
			}).Draw(t, "step")
			f.play(contactStep{at, tell})
		}
		if f.losses != 1 || f.awayAt() != ended {
			t.Fatalf("%d losses, away at %v instead of %v", f.losses, f.awayAt(), ended)
		}
	})
}

// Guards against a long pause of an earlier outage that delays the first call of a later one, and against a pause that goes on
// after the daemon has taken a seat, has found a hub, or has been told of changes.
func TestPauseAfterFailure(t *testing.T) {
	tests := []struct {
		name   string
		change func(r *Reader, d *testDaemon, upstream *testUpstream)
		// short says that the pause ends with the change.
		short bool
	}{
		{"nothing happens", func(*Reader, *testDaemon, *testUpstream) {}, false},
		{"a seat is taken", func(_ *Reader, d *testDaemon, _ *testUpstream) { d.seat.Store(1) }, true},
		{"a hub is found", func(_ *Reader, _ *testDaemon, u *testUpstream) { u.followsHub.Store(true) }, true},
		{"another daemon shows changes", func(r *Reader, _ *testDaemon, _ *testUpstream) { r.mirror.requestRestart() }, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				d, u := &testDaemon{}, &testUpstream{}
				d.seat.Store(-1)
				r := NewReader(nil, NewMirror(), d, u, WithReaderLogger(quietLogger()))
				r.retryPause, r.failedAt = 2*time.Second, time.Now()
				timer := time.AfterFunc(50*time.Millisecond, func() { tt.change(r, d, u) })
				defer timer.Stop()
				start := time.Now()
				r.pauseAfterFailure(t.Context(), start, start)
				is.Equal(time.Since(start) < 900*time.Millisecond, tt.short)
			})
		})
	}
	t.Run("an earlier outage", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			d := &testDaemon{}
			d.seat.Store(-1)
			r := NewReader(nil, NewMirror(), d, &testUpstream{}, WithReaderLogger(quietLogger()))
			r.retryPause, r.failedAt = maxUnseatedRetryPause, time.Now().Add(-time.Minute)
			start := time.Now()
			r.pauseAfterFailure(t.Context(), start, start)
			is.True(time.Since(start) < time.Second)
		})
	})
}

// testUpstream is an Upstream that has no hub until followsHub is set.
type testUpstream struct{ followsHub atomic.Bool }

// Link implements Upstream.
func (u *testUpstream) Link() Link {
	if !u.followsHub.Load() {
		return Link{}
	}
	now := time.Now()
	return Link{Hub: "hub", Since: now, UpdatedAt: now, ConfirmedAt: now}
}

// IsPrimary implements Upstream.
func (u *testUpstream) IsPrimary() bool { return false }

// Guards against hubs that follow each other in a ring and have all stopped reading the store: each counted as reaching it itself, since
// its last call had succeeded, so none saw that its contact came back to itself, and changes were missing for 1.7 s.
func TestPathOfContact(t *testing.T) {
	byHub := HubContact{Reached: true, Path: []string{"b", "c"}}
	tests := []struct {
		name  string
		steps []contactStep
		want  []string
	}{
		{"reads", []contactStep{
			{0, func(m *Mirror) { m.SetReading(true) }},
			{0, func(m *Mirror) { m.SetOwnContact(true, m.now()) }},
			{10 * time.Second, func(m *Mirror) { m.SetHubContact(byHub) }},
		}, nil},
		{"has stopped reading", []contactStep{
			{0, func(m *Mirror) { m.SetReading(true) }},
			{0, func(m *Mirror) { m.SetOwnContact(true, m.now()) }},
			{time.Second, func(m *Mirror) { m.SetHubContact(byHub) }},
			{2 * time.Second, func(m *Mirror) { m.SetReading(false) }},
		}, byHub.Path},
		{"has just made a call without reading", []contactStep{
			{0, func(m *Mirror) { m.SetHubContact(byHub) }}, {time.Second, func(m *Mirror) { m.SetOwnContact(true, m.now()) }},
		}, nil},
		{"has stopped reading, hub without contact", []contactStep{
			{0, func(m *Mirror) { m.SetOwnContact(true, m.now()) }}, {time.Second, func(m *Mirror) { m.SetHubContact(HubContact{Path: []string{"b"}}) }},
		}, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			f := newContactFixture()
			for _, s := range tt.steps {
				f.play(s)
			}
			is.Equal(f.mirror.Path(), tt.want)
		})
	}
}
