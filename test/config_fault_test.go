package test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"mangopath.org/mangopath/pkg/mangomessage"
)

// startLinkProxy starts a fault proxy in front of an address.
func (f *fleet) startLinkProxy(name, target string) targetProxy {
	f.t.Helper()
	p := targetProxy{name: name, target: freeAddress(f.t), admin: freeAddress(f.t)}
	startProcess(f.t, "proxy-"+name, "mangostandin", "proxy", "--listen", p.target, "--target", target, "--admin", p.admin)
	eventually(f.t, startTimeout, "proxy answers", func() bool { return respondsOK("http://" + p.admin + "/admin/state") })
	return p
}

// startProxiedEntryHost starts an entry host that reaches the platform, and is reached by its peers, through fault proxies
// of its own. It returns these two links, first that to the platform.
func (f *fleet) startProxiedEntryHost(name, centre string) (e *entryHost, links []targetProxy) {
	f.t.Helper()
	listen := freeAddress(f.t)
	platform, peers := f.startLinkProxy("platform-"+name, f.platformAddress), f.startLinkProxy("peers-"+name, listen)
	e = f.startEntryHost(name, centre, "Platform.Address="+platform.target, "Peers.Address="+listen, "Peers.AdvertisedAddress="+peers.target)
	e.peerAddress = peers.target
	for _, h := range f.hostList {
		if h.Name == name {
			h.Address = peers.target
		}
	}
	return e, []targetProxy{platform, peers}
}

// setLinksCut cuts or restores links.
func setLinksCut(t *testing.T, cut bool, links ...targetProxy) {
	t.Helper()
	for _, l := range links {
		l.setFaults(t, map[string]any{"Cut": cut})
	}
}

// configStatus returns what an entry host reports about its configuration; all is zero when it does not answer.
func configStatus(e *entryHost) (s struct {
	Revision    json.Number
	Unconfirmed bool
	Forks       int
	Fork        string
},
) {
	_, body, err := sendOperatorRequest(e, http.MethodGet, "/v1/status", nil)
	if err == nil {
		_ = json.Unmarshal(body, &s)
	}
	return s
}

// Guards against data centres that stop serving, or accept changes that do not reach the others, while a partition
// separates them from each other and from the platform, and against an old configuration that returns after it.
func TestDataCentresCutApart(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	near, nearLinks := f.startProxiedEntryHost("a-entry", "nieuwegein")
	distant, farLinks := f.startProxiedEntryHost("b-entry", "houten")
	for _, version := range []string{"v1", "v2"} {
		f.startPipeline(version, "nieuwegein", 1)
		f.startPipeline(version, "houten", 1)
	}
	f.publishHostList()
	f.declareStandardProfiles()
	mustPropose(t, near, newChange("v2", 0, profileEntry(modelProfile("tekst-v2", "v2"))))
	f.waitServing("tekst")
	f.waitServing("tekst-v2")
	expected := aliasRevision(t, near, "tekst")
	setLinksCut(t, true, append(slices.Clone(nearLinks), farLinks...)...)
	for _, e := range f.entryHosts {
		eventually(t, 10*time.Second, e.name+" reports that its configuration is unconfirmed", func() bool { return configStatus(e).Unconfirmed })
		is.Equal(requestCompletion(context.Background(), e, "tekst", "cut", 4).text, expectedText("v1", "cut", 4))
		status, _ := propose(e, newChange("refused-"+e.name, expected, aliasEntry("tekst", "tekst-v2")))
		is.Equal(status, http.StatusServiceUnavailable)
	}
	setLinksCut(t, false, nearLinks[0]) // only one data centre reaches the platform again
	mustPropose(t, near, newChange("s1", expected, aliasEntry("tekst", "tekst-v2")))
	waitForVersion(t, f.entryHosts[:1], "tekst", "v2")
	// The other one is still separated and serves the last configuration that it knows.
	f.checkVersionStays("tekst", "v1", []*entryHost{distant}, time.Second)
	setLinksCut(t, false, nearLinks[1], farLinks[1])
	t.Logf("in force %v after the links between the peers were restored, without that to the platform", waitForVersion(t, f.entryHosts, "tekst", "v2"))
	setLinksCut(t, false, farLinks[0])
	f.checkVersionStays("tekst", "v2", f.entryHosts, 3*time.Second)
	is.Equal(configRevision(near), configRevision(distant))
}

// Guards against a change that is accepted and then lost around an outage of the store, and against changes that are still
// refused after the outage.
func TestStoreOutageAroundChanges(t *testing.T) {
	is := is.New(t)
	f := newTwoVersionFleet(t, 3)
	expected := aliasRevision(t, f.entryHosts[0], "tekst")
	f.setStandInFaults(f.platformAddress, map[string]any{"Down": true})
	status, _ := propose(f.entryHosts[0], newChange("s1", expected, aliasEntry("tekst", "tekst-v2")))
	is.Equal(status, http.StatusServiceUnavailable)
	for begin := time.Now(); time.Since(begin) < 20*time.Second; {
		f.checkVersionStays("tekst", "v1", f.entryHosts, time.Second)
	}
	is.True(configStatus(f.entryHosts[0]).Unconfirmed)
	status, _ = propose(f.entryHosts[1], newChange("s2", expected, aliasEntry("tekst", "tekst-v2")))
	is.Equal(status, http.StatusServiceUnavailable)
	f.setStandInFaults(f.platformAddress, map[string]any{"Down": false})
	mustPropose(t, f.entryHosts[0], newChange("s3", expected, aliasEntry("tekst", "tekst-v2")))
	t.Logf("in force %v after the outage", waitForVersion(t, f.entryHosts, "tekst", "v2"))
	// The store goes down while it handles a change: the change must be in force on all entry hosts, or on none if it was
	// refused.
	expected = aliasRevision(t, f.entryHosts[0], "tekst")
	f.setStandInFaults(f.platformAddress, map[string]any{"DelayMs": 300})
	result := make(chan int, 1)
	go func() {
		status, _ := propose(f.entryHosts[0], newChange("s4", expected, aliasEntry("tekst", "tekst-v1")))
		result <- status
	}()
	time.Sleep(450 * time.Millisecond) // the read has its reply, the write has none yet
	f.setStandInFaults(f.platformAddress, map[string]any{"Down": true})
	status = <-result
	t.Logf("change during the start of an outage: %d", status)
	f.setStandInFaults(f.platformAddress, map[string]any{"Down": false})
	if status == http.StatusServiceUnavailable {
		f.checkVersionStays("tekst", "v2", f.entryHosts, 3*time.Second)
		return
	}
	// The same change id, so that it has no effect if the change was already accepted.
	mustPropose(t, f.entryHosts[1], newChange("s4", expected, aliasEntry("tekst", "tekst-v1")))
	waitForVersion(t, f.entryHosts, "tekst", "v1")
	f.checkVersionStays("tekst", "v1", f.entryHosts, 2*time.Second)
}

// Guards against two operators who change one profile at the same moment and are both told that their change was accepted:
// one must get a conflict that names the author and the time of the other change.
func TestTwoOperatorsAtOnce(t *testing.T) {
	is := is.New(t)
	f := newStandardFleet(t, 2, 1)
	for round := range 10 {
		expected := entryRevision(t, f.entryHosts[0], "tekst-v1")
		type result struct {
			author, body string
			status       int
		}
		results := make(chan result, 2)
		for i, author := range []string{"anna", "bert"} {
			go func() {
				p := modelProfile("tekst-v1", "v1")
				p.MaxTokens = uint32(100 + 10*round + i)
				c := newChange(fmt.Sprintf("%s-%d", author, round), expected, profileEntry(p))
				c.Entry.Author = author
				status, body := propose(f.entryHosts[i], c)
				results <- result{author, body, status}
			}()
		}
		a, b := <-results, <-results
		if b.status == http.StatusOK {
			a, b = b, a
		}
		is.Equal(a.status, http.StatusOK)
		is.Equal(b.status, http.StatusConflict)
		var refusal struct {
			Present struct {
				Author string
				AtMs   json.Number
			}
		}
		is.NoErr(json.Unmarshal([]byte(b.body), &refusal))
		is.Equal(refusal.Present.Author, a.author)
		at, err := refusal.Present.AtMs.Int64()
		is.NoErr(err)
		is.True(time.Since(time.UnixMilli(at)).Abs() < 10*time.Second)
	}
}

// entryRevision returns the revision of the configuration entry of a profile.
func entryRevision(t *testing.T, e *entryHost, name string) uint64 {
	t.Helper()
	_, body, err := sendOperatorRequest(e, http.MethodGet, "/v1/entries?Kind=Profile", nil)
	var reply struct {
		Entries []struct {
			Revision json.Number
			Profile  struct{ Name string }
		}
	}
	if err != nil || json.Unmarshal(body, &reply) != nil {
		t.Fatalf("entries: %v %s", err, body)
	}
	for _, p := range reply.Entries {
		if p.Profile.Name == name {
			n, _ := p.Revision.Int64()
			return uint64(n)
		}
	}
	t.Fatalf("no profile %s in %s", name, body)
	return 0
}

// Guards against an entry host that is paused for longer than all its timeouts, resumes while the store is down and routes
// its first call by an old profile: it must first get the newest one from a live peer.
func TestLongPauseWithStoreDown(t *testing.T) {
	is := is.New(t)
	f := newTwoVersionFleet(t, 3)
	paused := f.entryHosts[2]
	paused.signal(syscall.SIGSTOP)
	mustPropose(t, f.entryHosts[0], newChange("s1", aliasRevision(t, f.entryHosts[0], "tekst"), aliasEntry("tekst", "tekst-v2")))
	waitForVersion(t, f.entryHosts[:2], "tekst", "v2")
	f.setStandInFaults(f.platformAddress, map[string]any{"Down": true})
	f.entryHosts[0].kill() // the peer that accepted the change
	time.Sleep(32 * time.Second)
	first := make(chan callResult, 1)
	go func() { first <- requestCompletion(context.Background(), paused, "tekst", "check", 4) }()
	time.Sleep(100 * time.Millisecond)
	paused.signal(syscall.SIGCONT)
	is.Equal((<-first).text, expectedText("v2", "check", 4))
	is.Equal(configRevision(paused), configRevision(f.entryHosts[1]))
}

// Guards against configuration and booking records that are lost when all entry hosts are replaced at once.
func TestAllEntryHostsReplacedAtOnce(t *testing.T) {
	is := is.New(t)
	f := newTwoVersionFleet(t, 3)
	mustPropose(t, f.entryHosts[0], newChange("s1", aliasRevision(t, f.entryHosts[0], "tekst"), aliasEntry("tekst", "tekst-v2")))
	booked := requestBooking(context.Background(), f.entryHosts[0], "reserve", "k1", `{"Cat":"Mies"}`)
	is.Equal(booked.outcome, "Answer")
	_, before, err := sendOperatorRequest(f.entryHosts[0], http.MethodGet, "/v1/entries", nil)
	is.NoErr(err)
	time.Sleep(time.Second) // the booking record is written asynchronously
	for _, e := range f.entryHosts {
		e.kill()
	}
	f.hostList = slices.DeleteFunc(f.hostList, func(h *mangomessage.ListedHost) bool { return h.Role == "Entry" })
	f.entryHosts = nil
	begin := time.Now()
	for i := range 3 {
		f.startEntryHost("new-"+entryName(i), "nieuwegein")
	}
	f.publishHostList()
	f.waitServing("tekst")
	t.Logf("serving again after %v", time.Since(begin))
	for _, e := range f.entryHosts {
		is.Equal(requestCompletion(context.Background(), e, "tekst", "check", 4).text, expectedText("v2", "check", 4))
		_, after, err := sendOperatorRequest(e, http.MethodGet, "/v1/entries", nil)
		is.NoErr(err)
		is.Equal(strings.ReplaceAll(string(after), " ", ""), strings.ReplaceAll(string(before), " ", ""))
		again := requestBooking(context.Background(), e, "reserve", "k1", `{"Cat":"Mies"}`)
		t.Logf("booking again: %s", again.outcome)
		is.Equal(again.body, booked.body) // the stored reply, not a second booking
	}
}
