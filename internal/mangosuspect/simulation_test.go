package mangosuspect

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"mangopath.org/mangopath/pkg/mangomessage"
)

const (
	tick     = 10 * time.Millisecond
	capacity = 8
)

type run struct {
	fingerprint string
	poison      bool
	daemon      int
	host        string
	suspect     bool
	refused     bool
	done        bool
	at          time.Time
}

type message struct {
	to   int
	at   time.Time
	news []*mangomessage.Suspicion
}

// fleet is a simulated fleet whose daemons exchange suspicions with delays.
type fleet struct {
	rng     *rand.Rand
	now     time.Time
	daemons []*CrashTracker
	sent    [8][8]uint64
	mail    []message
	hosts   []string
	runs    []*run
	lost    int
	// hold is the time for which the reply for a crashed call waits while peers are told; 0 means no push.
	hold time.Duration
	// renew replaces calls that end.
	renew   bool
	resends int
}

func newFleet(seed uint64, hosts, innocents int) *fleet {
	f := &fleet{rng: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(0, 0)}
	names := []string{}
	for i := range 8 {
		names = append(names, fmt.Sprint("entry", i))
		f.daemons = append(f.daemons, New(names[i]))
	}
	for _, d := range f.daemons {
		d.SetDaemons(names)
	}
	for i := range hosts {
		f.hosts = append(f.hosts, fmt.Sprint("host", i))
	}
	for i := range innocents {
		f.runs = append(f.runs, &run{fingerprint: fmt.Sprint("innocent", i), daemon: f.rng.IntN(8), at: f.now})
	}
	return f
}

func (f *fleet) between(low, high time.Duration) time.Duration {
	return low + time.Duration(f.rng.Int64N(int64(high-low)))
}

// post sends a daemon's news to a peer.
func (f *fleet) post(from, to int, delay time.Duration) {
	if from == to {
		return
	}
	news, next := f.daemons[from].News(f.sent[from][to], f.now)
	f.sent[from][to] = next
	f.mail = append(f.mail, message{to: to, at: f.now.Add(delay), news: news})
}

func (f *fleet) deliver() {
	f.mail = slices.DeleteFunc(f.mail, func(m message) bool {
		if m.at.After(f.now) {
			return false
		}
		f.daemons[m.to].Merge(m.news, f.now)
		return true
	})
}

// start puts a waiting call on a host.
func (f *fleet) start(r *run) {
	d := f.daemons[r.daemon]
	verdict := d.Check(r.fingerprint, f.now)
	if verdict == Blocked {
		r.refused = true
		if r.poison && f.resends < 40 {
			f.resend(r)
		}
		return
	}
	load := map[string]int{}
	for _, o := range f.runs {
		load[o.host]++
	}
	var open []string
	for _, h := range f.hosts {
		if load[h] < capacity {
			open = append(open, h)
		}
	}
	r.suspect = verdict == Suspect
	if r.suspect {
		open = d.Hosts(r.fingerprint, open, f.now)
	}
	if len(open) == 0 {
		return
	}
	h := open[f.rng.IntN(len(open))]
	if r.suspect && !d.Acquire(r.fingerprint, h, f.now) {
		return
	}
	r.host, r.at = h, f.now.Add(f.between(time.Second, 3*time.Second))
	if r.poison {
		r.at = f.now.Add(200 * time.Millisecond)
	}
}

func (f *fleet) resend(r *run) {
	f.resends++
	r.daemon = (r.daemon + 1) % 8
	r.at = f.now.Add(f.hold + tick)
}

// crash ends a host; every daemon with calls aboard reports them.
func (f *fleet) crash(host string) {
	f.lost++
	f.hosts = slices.DeleteFunc(f.hosts, func(h string) bool { return h == host })
	for i, d := range f.daemons {
		var aboard []string
		for _, r := range f.runs {
			if r.host == host && r.daemon == i {
				aboard = append(aboard, r.fingerprint)
				d.Release(r.fingerprint, host)
			}
		}
		if len(aboard) == 0 {
			continue
		}
		d.Report(NewCrashID(host), aboard, f.now)
		for j := range f.daemons {
			if f.hold > 0 {
				f.post(i, j, f.between(tick, f.hold))
			}
		}
	}
	for _, r := range f.runs {
		if r.host != host {
			continue
		}
		r.host, r.at = "", f.now.Add(tick)
		if r.poison {
			f.resend(r)
		}
	}
}

func (f *fleet) end(r *run) {
	if r.poison {
		f.crash(r.host)
		return
	}
	f.daemons[r.daemon].Complete(r.fingerprint, f.now)
	f.daemons[r.daemon].Release(r.fingerprint, r.host)
	r.host, r.done = "", !f.renew
	if f.renew {
		r.fingerprint = fmt.Sprint("innocent", f.rng.Uint64())
		r.at = f.now
	}
}

func (f *fleet) step(n int) {
	f.now = f.now.Add(tick)
	f.deliver()
	if n%100 == 0 {
		for i := range f.daemons {
			j := f.rng.IntN(8)
			f.post(i, j, f.between(200*time.Millisecond, 1500*time.Millisecond))
			f.post(j, i, f.between(200*time.Millisecond, 1500*time.Millisecond))
		}
	}
	for _, r := range f.runs {
		switch {
		case r.done || r.at.After(f.now):
		case r.host == "":
			f.start(r)
		default:
			f.end(r)
		}
	}
}

// Guards against innocent calls that are refused, and against a request that takes more replicas with it than stated:
// two when the reply for a crashed call is held until peers know, two for each daemon when it is not.
func TestOneCrashingRequest(t *testing.T) {
	tests := []struct {
		name  string
		hold  time.Duration
		bound int
	}{
		{"reply held until peers know", 150 * time.Millisecond, 2},
		{"reply at once", 0, 16},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			counts := map[int]int{}
			for seed := range uint64(30) {
				f := newFleet(seed, 40, 200)
				f.hold = tt.hold
				poison := &run{fingerprint: "poison", poison: true, at: f.now.Add(500 * time.Millisecond)}
				f.runs = append(f.runs, poison)
				for n := range 3000 {
					f.step(n)
				}
				for _, r := range f.runs {
					is.Equal(r.refused, r.poison)
					is.Equal(r.done, !r.poison)
				}
				counts[f.lost]++
				is.True(f.lost <= tt.bound)
			}
			t.Logf("runs by replicas lost: %v", counts)
		})
	}
}

// Guards against condemning a call when hosts die for other reasons: singly at random and a rack at once.
func TestHostsThatDieCondemnNobody(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(2) {
		f := newFleet(seed, 60, 200)
		f.renew = true
		for n := range 30000 {
			rack := n >= 10000 && n < 10200 && n%40 == 0
			if rack || f.rng.IntN(6000) == 0 {
				f.crash(f.hosts[f.rng.IntN(len(f.hosts))])
			}
			f.step(n)
			for _, r := range f.runs {
				is.True(!r.refused)
			}
		}
		t.Logf("seed %d: %d hosts lost", seed, f.lost)
	}
}
