package mangocrash

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
	capacity = 8 // calls that a host runs at once
)

// simulatedCall is a call of the simulation; at is the time of its next event: to start while host is empty, else to end.
type simulatedCall struct {
	fingerprint string
	poison      bool // crashes every host that runs it
	daemon      int
	host        string
	suspect     bool
	refused     bool
	done        bool
	at          time.Time
}

// delivery is a message on its way to a daemon, which gets it at the time at.
type delivery struct {
	to   int
	at   time.Time
	news []*mangomessage.Suspicion
}

// fleet simulates hosts and the daemons that send calls to them and exchange suspicions with random delays.
type fleet struct {
	rng          *rand.Rand
	now          time.Time
	daemons      []*CrashTracker
	newsPosition [8][8]uint64
	inTransit    []delivery
	hosts        []string
	calls        []*simulatedCall
	hostsLost    int
	// replyHold is the time for which the reply for a crashed call waits while the crash is sent to the peers; at 0 it is not
	// sent at once, only with the periodic exchanges.
	replyHold time.Duration
	// replaceEnded says that a new call takes the place of each one that ends.
	replaceEnded bool
	resends      int
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
		f.calls = append(f.calls, &simulatedCall{fingerprint: fmt.Sprint("innocent", i), daemon: f.rng.IntN(8), at: f.now})
	}
	return f
}

func (f *fleet) randomDuration(low, high time.Duration) time.Duration {
	return low + time.Duration(f.rng.Int64N(int64(high-low)))
}

// sendNews sends the news of a daemon to a peer, which gets them after a delay.
func (f *fleet) sendNews(from, to int, delay time.Duration) {
	if from == to {
		return
	}
	news, next := f.daemons[from].Updates(f.newsPosition[from][to], f.now)
	f.newsPosition[from][to] = next
	f.inTransit = append(f.inTransit, delivery{to: to, at: f.now.Add(delay), news: news})
}

// deliver merges the messages that have arrived.
func (f *fleet) deliver() {
	f.inTransit = slices.DeleteFunc(f.inTransit, func(m delivery) bool {
		if m.at.After(f.now) {
			return false
		}
		f.daemons[m.to].Merge(m.news, f.now)
		return true
	})
}

// start begins a waiting call on a host with capacity for it, or refuses the call if it is blocked.
func (f *fleet) start(c *simulatedCall) {
	d := f.daemons[c.daemon]
	verdict := d.Check(c.fingerprint, f.now)
	if verdict == Blocked {
		c.refused = true
		if c.poison && f.resends < 40 {
			f.resend(c)
		}
		return
	}
	load := map[string]int{}
	for _, o := range f.calls {
		load[o.host]++
	}
	var candidates []string
	for _, h := range f.hosts {
		if load[h] < capacity {
			candidates = append(candidates, h)
		}
	}
	c.suspect = verdict == Suspect
	if c.suspect {
		candidates = d.EligibleHosts(c.fingerprint, candidates, f.now)
	}
	if len(candidates) == 0 {
		return
	}
	h := candidates[f.rng.IntN(len(candidates))]
	if c.suspect && !d.Acquire(c.fingerprint, h, f.now) {
		return
	}
	c.host, c.at = h, f.now.Add(f.randomDuration(time.Second, 3*time.Second))
	if c.poison {
		c.at = f.now.Add(200 * time.Millisecond)
	}
}

// resend lets the caller of a poison call send it again through the next daemon.
func (f *fleet) resend(c *simulatedCall) {
	f.resends++
	c.daemon = (c.daemon + 1) % 8
	c.at = f.now.Add(f.replyHold + tick)
}

// crash ends a host. Every daemon with calls in flight there reports them.
func (f *fleet) crash(host string) {
	f.hostsLost++
	f.hosts = slices.DeleteFunc(f.hosts, func(h string) bool { return h == host })
	for i, d := range f.daemons {
		var inFlight []string
		for _, c := range f.calls {
			if c.host == host && c.daemon == i {
				inFlight = append(inFlight, c.fingerprint)
				d.Release(c.fingerprint, host)
			}
		}
		if len(inFlight) == 0 {
			continue
		}
		d.Report(NewCrashID(host), inFlight, f.now)
		for j := range f.daemons {
			if f.replyHold > 0 {
				f.sendNews(i, j, f.randomDuration(tick, f.replyHold))
			}
		}
	}
	for _, c := range f.calls {
		if c.host != host {
			continue
		}
		c.host, c.at = "", f.now.Add(tick)
		if c.poison {
			f.resend(c)
		}
	}
}

// end completes a call; a poison call crashes its host instead.
func (f *fleet) end(c *simulatedCall) {
	if c.poison {
		f.crash(c.host)
		return
	}
	f.daemons[c.daemon].Complete(c.fingerprint, f.now)
	f.daemons[c.daemon].Release(c.fingerprint, c.host)
	c.host, c.done = "", !f.replaceEnded
	if f.replaceEnded {
		c.fingerprint = fmt.Sprint("innocent", f.rng.Uint64())
		c.at = f.now
	}
}

// step advances the simulation by one tick.
func (f *fleet) step(n int) {
	f.now = f.now.Add(tick)
	f.deliver()
	if n%100 == 0 {
		for i := range f.daemons {
			j := f.rng.IntN(8)
			f.sendNews(i, j, f.randomDuration(200*time.Millisecond, 1500*time.Millisecond))
			f.sendNews(j, i, f.randomDuration(200*time.Millisecond, 1500*time.Millisecond))
		}
	}
	for _, c := range f.calls {
		switch {
		case c.done || c.at.After(f.now):
		case c.host == "":
			f.start(c)
		default:
			f.end(c)
		}
	}
}

// Guards against refusing calls that crash nothing, and against a poison request that crashes more replicas than documented:
// two if the reply for a crashed call is held until the peers know, else two for each daemon.
func TestLossesByOnePoisonRequestAreBounded(t *testing.T) {
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
				f.replyHold = tt.hold
				poison := &simulatedCall{fingerprint: "poison", poison: true, at: f.now.Add(500 * time.Millisecond)}
				f.calls = append(f.calls, poison)
				for n := range 3000 {
					f.step(n)
				}
				for _, c := range f.calls {
					is.Equal(c.refused, c.poison)
					is.Equal(c.done, !c.poison)
				}
				counts[f.hostsLost]++
				is.True(f.hostsLost <= tt.bound)
			}
			t.Logf("runs by replicas lost: %v", counts)
		})
	}
}

// Guards against blocking a call when hosts crash for other reasons: one at a time at random, and several of a rack at once.
func TestUnrelatedCrashesBlockNoCall(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(2) {
		f := newFleet(seed, 60, 200)
		f.replaceEnded = true
		for n := range 30000 {
			rack := n >= 10000 && n < 10200 && n%40 == 0
			if rack || f.rng.IntN(6000) == 0 {
				f.crash(f.hosts[f.rng.IntN(len(f.hosts))])
			}
			f.step(n)
			for _, c := range f.calls {
				is.True(!c.refused)
			}
		}
		t.Logf("seed %d: %d hosts lost", seed, f.hostsLost)
	}
}
