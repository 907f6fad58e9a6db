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

// faultProxy holds the addresses of a fault proxy: the one that it forwards from and the one that sets its faults.
type faultProxy struct{ listen, admin string }

// proxiedFleet is a booking fleet of two entry hosts that reach the service and the platform through fault proxies.
type proxiedFleet struct {
	*bookingFleet
	upstreamProxy faultProxy
	// storeProxies are the proxies between each entry host and the platform, which holds the store.
	storeProxies [2]faultProxy
}

// newProxiedFleet starts the fleet with a second service host for lookups, which has no proxy and no faults. Settings are
// the extra settings of each entry host.
func newProxiedFleet(t *testing.T, settings [2]string) *proxiedFleet {
	t.Helper()
	f := &proxiedFleet{bookingFleet: startBookingFleet(t)}
	f.startService("opvang-2", "nieuwegein")
	f.upstreamProxy = f.startProxy("service-proxy", f.serviceAddress)
	f.setListedHost(&mangomessage.ListedHost{
		Name: "opvang-1", Role: "Service", DataCentre: "nieuwegein", Address: f.upstreamProxy.listen, Kind: "service",
	})
	for i := range f.storeProxies {
		f.storeProxies[i] = f.startProxy("store-proxy", f.platformAddress)
		own := []string{"Platform.Address=" + f.storeProxies[i].listen}
		if settings[i] != "" {
			own = append(own, settings[i])
		}
		f.startEntryHost(entryName(i), "nieuwegein", own...)
	}
	f.declareProfiles()
	return f
}

// startProxy starts a fault proxy in front of an address.
func (f *proxiedFleet) startProxy(name, target string) faultProxy {
	f.t.Helper()
	// A random address in 127.0.0.0/8 keeps other tests from taking the port while the proxy refuses connections.
	listen := fmt.Sprintf("127.%d.%d.%d:7000", 1+rand.IntN(254), rand.IntN(256), 1+rand.IntN(254))
	p := faultProxy{listen: listen, admin: freeAddress(f.t)}
	startProcess(f.t, name, "mangostandin", "proxy", "--listen", p.listen, "--target", target, "--admin", p.admin)
	eventually(f.t, startTimeout, name+" answers", func() bool { return respondsOK("http://" + p.admin + "/admin/state") })
	return p
}

// setFaults replaces the faults of a proxy.
func (f *proxiedFleet) setFaults(p faultProxy, faults map[string]any) {
	f.setStandInFaults(p.admin, faults)
}

// pauseEntry suspends the process of an entry host and resumes it after d.
func (f *proxiedFleet) pauseEntry(i int, d time.Duration) {
	f.entryHosts[i].signal(syscall.SIGSTOP)
	time.AfterFunc(d, func() { f.entryHosts[i].signal(syscall.SIGCONT) })
}

// networkFaultCase is a network fault that affects bookings on the first entry host; a booking is sent again to the second
// one.
type networkFaultCase struct {
	name string
	// before sets faults before the bookings are sent; during runs 200 ms later and sets faults, or pauses or kills the
	// entry host.
	before, during func(f *proxiedFleet)
	// settings are the extra settings of each entry host.
	settings [2]string
	// lookupEntries are the indexes of the entry hosts that must answer lookups during the fault.
	lookupEntries []int
	// firstOutcome is the expected outcome of the booking that is sent once, or empty if the fault doesn't determine it.
	firstOutcome string
}

// setUpstreamFaults returns a function that sets the faults of the proxy in front of the service.
func setUpstreamFaults(faults map[string]any) func(*proxiedFleet) {
	return func(f *proxiedFleet) { f.setFaults(f.upstreamProxy, faults) }
}

// setStoreFaults returns a function that sets the faults between an entry host and the platform.
func setStoreFaults(i int, faults map[string]any) func(*proxiedFleet) {
	return func(f *proxiedFleet) { f.setFaults(f.storeProxies[i], faults) }
}

// delayService makes the service take 1 s for each booking.
func delayService(f *proxiedFleet) {
	f.setStandInFaults(f.serviceAddress, map[string]any{"DelayMs": 1000})
}

// inOrder returns a function that calls first and then second.
func inOrder(first, second func(*proxiedFleet)) func(*proxiedFleet) {
	return func(f *proxiedFleet) {
		first(f)
		second(f)
	}
}

// networkFaultCases returns faults of the links to the service and to the store, and pauses and kills of the entry host that
// owns the booking, which is the first one.
func networkFaultCases() []networkFaultCase {
	cut, silent := map[string]any{"Cut": true}, map[string]any{"CutToTarget": true}
	unanswered, frozen := map[string]any{"CutToCaller": true}, map[string]any{"Freeze": true}
	kill := func(f *proxiedFleet) { f.entryHosts[0].kill() }
	delayed := map[string]any{"DelayMs": 250}
	pauseFor := func(d time.Duration) func(*proxiedFleet) {
		return func(f *proxiedFleet) {
			time.Sleep(200 * time.Millisecond) // the store has applied the write and its reply is on the way
			f.pauseEntry(0, d)
		}
	}
	allEntries, secondEntry := []int{0, 1}, []int{1}
	return []networkFaultCase{
		{name: "connection refused", before: setUpstreamFaults(cut), lookupEntries: allEntries, firstOutcome: "NotRun"},
		{name: "cut after the send", before: delayService, during: setUpstreamFaults(cut), lookupEntries: allEntries, firstOutcome: "Unknown"},
		{name: "silence before the request arrives", before: setUpstreamFaults(silent), lookupEntries: allEntries, firstOutcome: "Unknown"},
		{name: "silence before the answer", before: setUpstreamFaults(unanswered), lookupEntries: allEntries, firstOutcome: "Unknown"},
		{name: "connections hang after the send", before: delayService, during: setUpstreamFaults(frozen), lookupEntries: allEntries, firstOutcome: "Unknown"},
		{name: "store refuses the owner", before: setStoreFaults(0, cut), lookupEntries: allEntries, firstOutcome: "NotRun"},
		{name: "store does not get the record", before: setStoreFaults(0, silent), lookupEntries: allEntries, firstOutcome: "NotRun"},
		{name: "store's replies do not arrive", before: setStoreFaults(0, unanswered), lookupEntries: allEntries, firstOutcome: "NotRun"},
		{name: "store unreachable for the resend", before: delayService, during: setStoreFaults(1, cut), lookupEntries: allEntries, firstOutcome: "Answer"},
		{
			name: "owner cut off from store and peers", settings: [2]string{"", "Peers.SharedKey=another"},
			before: delayService, during: setStoreFaults(0, cut), lookupEntries: allEntries, firstOutcome: "Answer",
		},
		{name: "reply of the record's write lost and owner killed", before: setStoreFaults(0, unanswered), during: kill, lookupEntries: secondEntry},
		{name: "request under way and owner killed", before: setUpstreamFaults(silent), during: kill, lookupEntries: secondEntry},
		{
			name: "owner paused past its dispatch bound before the send", settings: [2]string{"Limits.DispatchBound=1s"},
			before: setStoreFaults(0, delayed), during: pauseFor(3 * time.Second), lookupEntries: secondEntry, firstOutcome: "NotRun",
		},
		{
			name:   "owner paused past its dispatch bound and the deadline",
			before: setStoreFaults(0, delayed), during: pauseFor(7 * time.Second), lookupEntries: secondEntry, firstOutcome: "NotRun",
		},
		{
			name:   "owner paused for less than its dispatch bound",
			before: setStoreFaults(0, delayed), during: pauseFor(time.Second), lookupEntries: secondEntry, firstOutcome: "Answer",
		},
		{
			name: "answer lost and owner cut off from the store", before: inOrder(delayService, setUpstreamFaults(map[string]any{"DropReplies": 100})),
			during: setStoreFaults(0, cut), lookupEntries: allEntries, firstOutcome: "Unknown",
		},
		{name: "service refuses and store's replies lost", before: func(f *proxiedFleet) {
			f.setStandInFaults(f.serviceAddress, map[string]any{"Refuse": true})
			f.setFaults(f.storeProxies[0], map[string]any{"DropReplies": 2})
		}, lookupEntries: allEntries},
	}
}

// TestBookingNetworkFaults guards, under network faults, against a second execution of a booking, NotRun for a booking that
// ran, and different answers to one booking. It also guards against lookups that fail although a healthy replica is left.
func TestBookingNetworkFaults(t *testing.T) {
	for _, c := range networkFaultCases() {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			runNetworkFault(t, c)
		})
	}
}

// runNetworkFault books with three keys on the first entry host under the fault: "once" is sent once, "again" is sent again
// during and after the fault, "later" is sent again only after it.
func runNetworkFault(t *testing.T, c networkFaultCase) {
	is := is.New(t)
	f := newProxiedFleet(t, c.settings)
	if c.before != nil {
		c.before(f)
	}
	f.submit(0, "again", 14*time.Second, false) // sent again before its answer, so not marked as the first submission
	f.submit(0, "once", 14*time.Second, true)
	f.submit(0, "later", 14*time.Second, true)
	time.Sleep(200 * time.Millisecond) // the bookings reach the fault
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
	time.Sleep(500 * time.Millisecond) // requests that the proxies held back arrive now
	f.checkAnswers()
	f.submit(1, "again", 8*time.Second, false)
	f.submit(1, "later", 8*time.Second, false)
	f.waitAnswers()
	f.checkAnswers()
}

// checkLookups checks that the given entry hosts, each of which still reaches a healthy replica, answer calls of the
// idempotent profile.
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

// heal ends the faults of all proxies and of the service.
func (f *proxiedFleet) heal() {
	for _, p := range append(f.storeProxies[:], f.upstreamProxy) {
		f.setFaults(p, map[string]any{})
	}
	f.setStandInFaults(f.serviceAddress, map[string]any{})
}
