package test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"mangopath.org/mangopath/pkg/mangomessage"
)

// proxy is a fault proxy in front of an address.
type proxy struct{ listen, admin string }

// faulty is a fleet of two entry hosts that reach the service and the platform through fault proxies.
type faulty struct {
	*bookings
	upstream proxy
	// stores are the entry hosts' ways to the platform.
	stores [2]proxy
}

// newFaulty starts the fleet with a second, healthy service for lookups; changes are settings of the entry hosts.
func newFaulty(t *testing.T, changes [2]string) *faulty {
	t.Helper()
	f := &faulty{bookings: startBookings(t)}
	f.fleet.startService("opvang-2", "nieuwegein")
	f.upstream = f.proxy("service-proxy", f.service)
	f.setListedHost(&mangomessage.ListedHost{
		Name: "opvang-1", Role: "Service", DataCentre: "nieuwegein", Address: f.upstream.listen, Kind: "service",
	})
	for i := range f.stores {
		f.stores[i] = f.proxy("store-proxy", f.platformAddress)
		own := []string{"Platform.Address=" + f.stores[i].listen}
		if changes[i] != "" {
			own = append(own, changes[i])
		}
		f.startEntryHost(entryName(i), "nieuwegein", own...)
	}
	f.open()
	return f
}

func (f *faulty) proxy(name, target string) proxy {
	f.t.Helper()
	// An address of its own in 127.0.0.0/8 keeps other tests from taking the port while the proxy is cut.
	own := fmt.Sprintf("127.%d.%d.%d:7000", 1+rand.IntN(254), rand.IntN(256), 1+rand.IntN(254))
	p := proxy{listen: own, admin: freeAddress(f.t)}
	startProcess(f.t, name, "mangostandin", "proxy", "--listen", p.listen, "--target", target, "--admin", p.admin)
	eventually(f.t, startTimeout, name+" answers", func() bool { return respondsOK("http://" + p.admin + "/admin/state") })
	return p
}

func (f *faulty) set(p proxy, faults map[string]any) { f.setStandInFaults(p.admin, faults) }

// pause stops an entry host for a time.
func (f *faulty) pause(i int, d time.Duration) {
	f.entryHosts[i].signal(syscall.SIGSTOP)
	time.AfterFunc(d, func() { f.entryHosts[i].signal(syscall.SIGCONT) })
}

// faultCase is a fault around bookings on the first entry host, which are sent again on the second one.
type faultCase struct {
	name string
	// before sets the fault before the bookings are sent, during acts while they run.
	before, during func(f *faulty)
	// settings are those of the entry hosts.
	settings [2]string
	// lookups are the entry hosts that must answer lookups during the fault.
	lookups []int
	// outcome is that of the first submission when the fault determines it.
	outcome string
}

func onUpstream(faults map[string]any) func(*faulty) {
	return func(f *faulty) { f.set(f.upstream, faults) }
}

func onStore(i int, faults map[string]any) func(*faulty) {
	return func(f *faulty) { f.set(f.stores[i], faults) }
}

func slowService(f *faulty) { f.setStandInFaults(f.service, map[string]any{"DelayMs": 1000}) }

func both(one, other func(*faulty)) func(*faulty) {
	return func(f *faulty) {
		one(f)
		other(f)
	}
}

func faultCases() []faultCase {
	cut, silent := map[string]any{"Cut": true}, map[string]any{"CutToTarget": true}
	unanswered, frozen := map[string]any{"CutToCaller": true}, map[string]any{"Freeze": true}
	kill := func(f *faulty) { f.entryHosts[0].kill() }
	late := map[string]any{"DelayMs": 250}
	pauseFor := func(d time.Duration) func(*faulty) {
		return func(f *faulty) {
			time.Sleep(200 * time.Millisecond) // the write has taken effect and its reply is under way
			f.pause(0, d)
		}
	}
	all, second := []int{0, 1}, []int{1}
	return []faultCase{
		{name: "connection refused", before: onUpstream(cut), lookups: all, outcome: "NotRun"},
		{name: "cut after the send", before: slowService, during: onUpstream(cut), lookups: all, outcome: "Unknown"},
		{name: "silence before the request arrives", before: onUpstream(silent), lookups: all, outcome: "Unknown"},
		{name: "silence before the answer", before: onUpstream(unanswered), lookups: all, outcome: "Unknown"},
		{name: "connections hang after the send", before: slowService, during: onUpstream(frozen), lookups: all, outcome: "Unknown"},
		{name: "store refuses the owner", before: onStore(0, cut), lookups: all, outcome: "NotRun"},
		{name: "store does not get the record", before: onStore(0, silent), lookups: all, outcome: "NotRun"},
		{name: "store's replies do not arrive", before: onStore(0, unanswered), lookups: all, outcome: "NotRun"},
		{name: "store unreachable for the resend", before: slowService, during: onStore(1, cut), lookups: all, outcome: "Answer"},
		{
			name: "owner cut off from store and peers", settings: [2]string{"", "Peers.SharedKey=another"},
			before: slowService, during: onStore(0, cut), lookups: all, outcome: "Answer",
		},
		{name: "reply of the record's write lost and owner killed", before: onStore(0, unanswered), during: kill, lookups: second},
		{name: "request under way and owner killed", before: onUpstream(silent), during: kill, lookups: second},
		{
			name: "owner paused past its bound before the send", settings: [2]string{"Limits.DispatchBound=1s"},
			before: onStore(0, late), during: pauseFor(3 * time.Second), lookups: second, outcome: "NotRun",
		},
		{
			name:   "owner paused past its bound and the deadline",
			before: onStore(0, late), during: pauseFor(7 * time.Second), lookups: second, outcome: "NotRun",
		},
		{
			name:   "owner paused for less than its bound",
			before: onStore(0, late), during: pauseFor(time.Second), lookups: second, outcome: "Answer",
		},
		{
			name: "answer lost and owner cut off from the store", before: both(slowService, onUpstream(map[string]any{"DropReplies": 100})),
			during: onStore(0, cut), lookups: all, outcome: "Unknown",
		},
		{name: "service refuses and store's replies lost", before: func(f *faulty) {
			f.setStandInFaults(f.service, map[string]any{"Refuse": true})
			f.set(f.stores[0], map[string]any{"DropReplies": 2})
		}, lookups: all},
	}
}

// TestBookingNetworkFaults guards against a second execution, a NotRun that is not true and answers that differ under
// network faults, and against lookups that fail although a healthy replica is left.
func TestBookingNetworkFaults(t *testing.T) {
	for _, c := range faultCases() {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			runFault(t, c)
		})
	}
}

func runFault(t *testing.T, c faultCase) {
	is := is.New(t)
	f := newFaulty(t, c.settings)
	if c.before != nil {
		c.before(f)
	}
	f.send(0, "again", 14*time.Second, false) // sent again before its answer, so it must not state first
	f.send(0, "once", 14*time.Second, true)
	f.send(0, "later", 14*time.Second, true)
	time.Sleep(200 * time.Millisecond) // lets the bookings reach the fault
	if c.during != nil {
		c.during(f)
	}
	f.send(1, "again", 8*time.Second, false)
	f.lookups(is, c.lookups)
	f.wait()
	f.heal()
	if c.outcome != "" {
		is.Equal(f.answers["once"][0].outcome, c.outcome)
	}
	time.Sleep(500 * time.Millisecond) // requests that the fault held back arrive now
	f.check()
	f.send(1, "again", 8*time.Second, false)
	f.send(1, "later", 8*time.Second, false)
	f.wait()
	f.check()
}

// lookups calls the idempotent profile on entry hosts, each of which has a healthy replica left.
func (f *faulty) lookups(is *is.I, entries []int) {
	f.t.Helper()
	for _, i := range entries {
		for range 4 {
			begin := time.Now()
			a := requestBooking(context.Background(), f.entryHosts[i], "lookup", "", `{"Find":"Mies"}`)
			f.t.Logf("lookup on %s: status=%d outcome=%s took=%v", f.entryHosts[i].name, a.status, a.outcome, time.Since(begin))
			is.Equal(a.status, http.StatusOK)
		}
	}
}

// heal ends all faults.
func (f *faulty) heal() {
	for _, p := range append(f.stores[:], f.upstream) {
		f.set(p, map[string]any{})
	}
	f.setStandInFaults(f.service, map[string]any{})
}
