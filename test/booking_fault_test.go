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

// faultProxy is a fault proxy in front of an address.
type faultProxy struct{ listen, admin string }

// proxiedFleet is a fleet of two entry hosts that reach the service and the platform through fault proxies.
type proxiedFleet struct {
	*bookingFleet
	upstreamProxy faultProxy
	// stores are the entry hosts' ways to the platform.
	storeProxies [2]faultProxy
}

// newProxiedFleet starts the fleet with a second, healthy service for lookups; changes are settings of the entry hosts.
func newProxiedFleet(t *testing.T, changes [2]string) *proxiedFleet {
	t.Helper()
	f := &proxiedFleet{bookingFleet: startBookingFleet(t)}
	f.fleet.startService("opvang-2", "nieuwegein")
	f.upstreamProxy = f.startProxy("service-proxy", f.serviceAddress)
	f.setListedHost(&mangomessage.ListedHost{
		Name: "opvang-1", Role: "Service", DataCentre: "nieuwegein", Address: f.upstreamProxy.listen, Kind: "service",
	})
	for i := range f.storeProxies {
		f.storeProxies[i] = f.startProxy("store-proxy", f.platformAddress)
		own := []string{"Platform.Address=" + f.storeProxies[i].listen}
		if changes[i] != "" {
			own = append(own, changes[i])
		}
		f.startEntryHost(entryName(i), "nieuwegein", own...)
	}
	f.declareProfiles()
	return f
}

func (f *proxiedFleet) startProxy(name, target string) faultProxy {
	f.t.Helper()
	// An address of its own in 127.0.0.0/8 keeps other tests from taking the port while the proxy is cut.
	own := fmt.Sprintf("127.%d.%d.%d:7000", 1+rand.IntN(254), rand.IntN(256), 1+rand.IntN(254))
	p := faultProxy{listen: own, admin: freeAddress(f.t)}
	startProcess(f.t, name, "mangostandin", "proxy", "--listen", p.listen, "--target", target, "--admin", p.admin)
	eventually(f.t, startTimeout, name+" answers", func() bool { return respondsOK("http://" + p.admin + "/admin/state") })
	return p
}

func (f *proxiedFleet) setFaults(p faultProxy, faults map[string]any) {
	f.setStandInFaults(p.admin, faults)
}

// pauseEntry stops an entry host for a time.
func (f *proxiedFleet) pauseEntry(i int, d time.Duration) {
	f.entryHosts[i].signal(syscall.SIGSTOP)
	time.AfterFunc(d, func() { f.entryHosts[i].signal(syscall.SIGCONT) })
}

// networkFaultCase is a fault around bookings on the first entry host, which are sent again on the second one.
type networkFaultCase struct {
	name string
	// before sets the fault before the bookings are sent, during acts while they run.
	before, during func(f *proxiedFleet)
	// settings are those of the entry hosts.
	settings [2]string
	// lookups are the entry hosts that must answer lookups during the fault.
	lookupEntries []int
	// outcome is that of the first submission when the fault determines it.
	firstOutcome string
}

func setUpstreamFaults(faults map[string]any) func(*proxiedFleet) {
	return func(f *proxiedFleet) { f.setFaults(f.upstreamProxy, faults) }
}

func setStoreFaults(i int, faults map[string]any) func(*proxiedFleet) {
	return func(f *proxiedFleet) { f.setFaults(f.storeProxies[i], faults) }
}

func delayService(f *proxiedFleet) {
	f.setStandInFaults(f.serviceAddress, map[string]any{"DelayMs": 1000})
}

func inOrder(one, other func(*proxiedFleet)) func(*proxiedFleet) {
	return func(f *proxiedFleet) {
		one(f)
		other(f)
	}
}

func networkFaultCases() []networkFaultCase {
	cut, silent := map[string]any{"Cut": true}, map[string]any{"CutToTarget": true}
	unanswered, frozen := map[string]any{"CutToCaller": true}, map[string]any{"Freeze": true}
	kill := func(f *proxiedFleet) { f.entryHosts[0].kill() }
	late := map[string]any{"DelayMs": 250}
	pauseFor := func(d time.Duration) func(*proxiedFleet) {
		return func(f *proxiedFleet) {
			time.Sleep(200 * time.Millisecond) // the write has taken effect and its reply is under way
			f.pauseEntry(0, d)
		}
	}
	all, second := []int{0, 1}, []int{1}
	return []networkFaultCase{
		{name: "connection refused", before: setUpstreamFaults(cut), lookupEntries: all, firstOutcome: "NotRun"},
		{name: "cut after the send", before: delayService, during: setUpstreamFaults(cut), lookupEntries: all, firstOutcome: "Unknown"},
		{name: "silence before the request arrives", before: setUpstreamFaults(silent), lookupEntries: all, firstOutcome: "Unknown"},
		{name: "silence before the answer", before: setUpstreamFaults(unanswered), lookupEntries: all, firstOutcome: "Unknown"},
		{name: "connections hang after the send", before: delayService, during: setUpstreamFaults(frozen), lookupEntries: all, firstOutcome: "Unknown"},
		{name: "store refuses the owner", before: setStoreFaults(0, cut), lookupEntries: all, firstOutcome: "NotRun"},
		{name: "store does not get the record", before: setStoreFaults(0, silent), lookupEntries: all, firstOutcome: "NotRun"},
		{name: "store's replies do not arrive", before: setStoreFaults(0, unanswered), lookupEntries: all, firstOutcome: "NotRun"},
		{name: "store unreachable for the resend", before: delayService, during: setStoreFaults(1, cut), lookupEntries: all, firstOutcome: "Answer"},
		{
			name: "owner cut off from store and peers", settings: [2]string{"", "Peers.SharedKey=another"},
			before: delayService, during: setStoreFaults(0, cut), lookupEntries: all, firstOutcome: "Answer",
		},
		{name: "reply of the record's write lost and owner killed", before: setStoreFaults(0, unanswered), during: kill, lookupEntries: second},
		{name: "request under way and owner killed", before: setUpstreamFaults(silent), during: kill, lookupEntries: second},
		{
			name: "owner paused past its bound before the send", settings: [2]string{"Limits.DispatchBound=1s"},
			before: setStoreFaults(0, late), during: pauseFor(3 * time.Second), lookupEntries: second, firstOutcome: "NotRun",
		},
		{
			name:   "owner paused past its bound and the deadline",
			before: setStoreFaults(0, late), during: pauseFor(7 * time.Second), lookupEntries: second, firstOutcome: "NotRun",
		},
		{
			name:   "owner paused for less than its bound",
			before: setStoreFaults(0, late), during: pauseFor(time.Second), lookupEntries: second, firstOutcome: "Answer",
		},
		{
			name: "answer lost and owner cut off from the store", before: inOrder(delayService, setUpstreamFaults(map[string]any{"DropReplies": 100})),
			during: setStoreFaults(0, cut), lookupEntries: all, firstOutcome: "Unknown",
		},
		{name: "service refuses and store's replies lost", before: func(f *proxiedFleet) {
			f.setStandInFaults(f.serviceAddress, map[string]any{"Refuse": true})
			f.setFaults(f.storeProxies[0], map[string]any{"DropReplies": 2})
		}, lookupEntries: all},
	}
}

// TestBookingNetworkFaults guards against a second execution, a NotRun that is not true and answers that differ under
// network faults, and against lookups that fail although a healthy replica is left.
func TestBookingNetworkFaults(t *testing.T) {
	for _, c := range networkFaultCases() {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			runNetworkFault(t, c)
		})
	}
}

func runNetworkFault(t *testing.T, c networkFaultCase) {
	is := is.New(t)
	f := newProxiedFleet(t, c.settings)
	if c.before != nil {
		c.before(f)
	}
	f.submit(0, "again", 14*time.Second, false) // sent again before its answer, so it must not state first
	f.submit(0, "once", 14*time.Second, true)
	f.submit(0, "later", 14*time.Second, true)
	time.Sleep(200 * time.Millisecond) // lets the bookings reach the fault
	if c.during != nil {
		c.during(f)
	}
	f.submit(1, "again", 8*time.Second, false)
	f.checkLookups(is, c.lookupEntries)
	f.waitAnswers()
	f.heal()
	if c.firstOutcome != "" {
		is.Equal(f.answers["once"][0].outcome, c.firstOutcome)
	}
	time.Sleep(500 * time.Millisecond) // requests that the fault held back arrive now
	f.checkAnswers()
	f.submit(1, "again", 8*time.Second, false)
	f.submit(1, "later", 8*time.Second, false)
	f.waitAnswers()
	f.checkAnswers()
}

// checkLookups calls the idempotent profile on entry hosts, each of which has a healthy replica left.
func (f *proxiedFleet) checkLookups(is *is.I, entries []int) {
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
func (f *proxiedFleet) heal() {
	for _, p := range append(f.storeProxies[:], f.upstreamProxy) {
		f.setFaults(p, map[string]any{})
	}
	f.setStandInFaults(f.serviceAddress, map[string]any{})
}
