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

// startProxy is a fault proxy before an address.
func (f *fleet) startProxy(name, target string) proxied {
	f.t.Helper()
	p := proxied{name: name, engine: freeAddress(f.t), admin: freeAddress(f.t)}
	startProcess(f.t, "proxy-"+name, "mangostandin", "proxy", "--listen", p.engine, "--target", target, "--admin", p.admin)
	eventually(f.t, startTimeout, "proxy answers", func() bool { return respondsOK("http://" + p.admin + "/admin/state") })
	return p
}

// startProxiedEntryHost starts an entry host that reaches the platform, and is reached by peers, through proxies of its own.
func (f *fleet) startProxiedEntryHost(name, centre string) (e *entryHost, links []proxied) {
	f.t.Helper()
	listen := freeAddress(f.t)
	platform, peers := f.startProxy("platform-"+name, f.platformAddress), f.startProxy("peers-"+name, listen)
	e = f.startEntryHost(name, centre, "Platform.Address="+platform.engine, "Peers.Address="+listen, "Peers.AdvertisedAddress="+peers.engine)
	e.peerAddress = peers.engine
	for _, h := range f.hosts {
		if h.Name == name {
			h.Address = peers.engine
		}
	}
	return e, []proxied{platform, peers}
}

func setLinksCut(t *testing.T, yes bool, links ...proxied) {
	t.Helper()
	for _, l := range links {
		l.set(t, map[string]any{"Cut": yes})
	}
}

// configStatus returns what an entry host states about its book.
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

// Guards against data centres that stop serving, or accept changes that nobody else learns, while they are cut apart
// from each other and from the platform, and against an old book that comes back when they are joined again.
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
	f.declareShelter()
	mustPropose(t, near, newChange("v2", 0, profileEntry(modelProfile("tekst-v2", "v2"))))
	f.waitServing("tekst")
	f.waitServing("tekst-v2")
	seen := aliasRevision(t, near, "tekst")
	setLinksCut(t, true, append(slices.Clone(nearLinks), farLinks...)...)
	for _, e := range f.entryHosts {
		eventually(t, 10*time.Second, e.name+" reports that it is unconfirmed", func() bool { return configStatus(e).Unconfirmed })
		is.Equal(requestCompletion(context.Background(), e, "tekst", "cut", 4).text, faultFree("v1", "cut", 4))
		status, _ := propose(e, newChange("refused-"+e.name, seen, aliasEntry("tekst", "tekst-v2")))
		is.Equal(status, http.StatusServiceUnavailable)
	}
	setLinksCut(t, false, nearLinks[0]) // the platform is back on one side only
	mustPropose(t, near, newChange("s1", seen, aliasEntry("tekst", "tekst-v2")))
	waitForVersion(t, f.entryHosts[:1], "tekst", "v2")
	f.checkNoRollback("tekst", "v1", []*entryHost{distant}, time.Second) // it serves what it knows
	setLinksCut(t, false, nearLinks[1], farLinks[1])
	t.Logf("in force %v after only the peers were joined", waitForVersion(t, f.entryHosts, "tekst", "v2"))
	setLinksCut(t, false, farLinks[0])
	f.checkNoRollback("tekst", "v2", f.entryHosts, 3*time.Second)
	is.Equal(currentRevision(near), currentRevision(distant))
}

// Guards against a change that is accepted and lost around an outage of the store, or that stays impossible after it.
func TestStoreOutageAroundChanges(t *testing.T) {
	is := is.New(t)
	f := newTwoVersionFleet(t, 3)
	seen := aliasRevision(t, f.entryHosts[0], "tekst")
	f.setFaults(f.platformAddress, map[string]any{"Down": true})
	status, _ := propose(f.entryHosts[0], newChange("s1", seen, aliasEntry("tekst", "tekst-v2")))
	is.Equal(status, http.StatusServiceUnavailable)
	for begin := time.Now(); time.Since(begin) < 20*time.Second; {
		f.checkNoRollback("tekst", "v1", f.entryHosts, time.Second)
	}
	is.True(configStatus(f.entryHosts[0]).Unconfirmed)
	status, _ = propose(f.entryHosts[1], newChange("s2", seen, aliasEntry("tekst", "tekst-v2")))
	is.Equal(status, http.StatusServiceUnavailable)
	f.setFaults(f.platformAddress, map[string]any{"Down": false})
	mustPropose(t, f.entryHosts[0], newChange("s3", seen, aliasEntry("tekst", "tekst-v2")))
	t.Logf("in force %v after the outage", waitForVersion(t, f.entryHosts, "tekst", "v2"))
	// The store goes down while the change is on its way: it is in force everywhere, or it was refused and is nowhere.
	seen = aliasRevision(t, f.entryHosts[0], "tekst")
	f.setFaults(f.platformAddress, map[string]any{"DelayMs": 300})
	result := make(chan int, 1)
	go func() {
		status, _ := propose(f.entryHosts[0], newChange("s4", seen, aliasEntry("tekst", "tekst-v1")))
		result <- status
	}()
	time.Sleep(450 * time.Millisecond) // after the read and before the write has its reply
	f.setFaults(f.platformAddress, map[string]any{"Down": true})
	status = <-result
	t.Logf("change during the start of an outage: %d", status)
	f.setFaults(f.platformAddress, map[string]any{"Down": false})
	if status == http.StatusServiceUnavailable {
		f.checkNoRollback("tekst", "v2", f.entryHosts, 3*time.Second)
		return
	}
	mustPropose(t, f.entryHosts[1], newChange("s4", seen, aliasEntry("tekst", "tekst-v1"))) // the same id, so that it is harmless
	waitForVersion(t, f.entryHosts, "tekst", "v1")
	f.checkNoRollback("tekst", "v1", f.entryHosts, 2*time.Second)
}

// Guards against two operators who change one profile at the same moment and both believe that they did.
func TestTwoOperatorsAtOnce(t *testing.T) {
	is := is.New(t)
	f := shelter(t, 2, 1)
	for round := range 10 {
		seen := entryRevision(t, f.entryHosts[0], "tekst-v1")
		type result struct {
			author, body string
			status       int
		}
		results := make(chan result, 2)
		for i, author := range []string{"anna", "bert"} {
			go func() {
				p := modelProfile("tekst-v1", "v1")
				p.MaxTokens = uint32(100 + 10*round + i)
				c := newChange(fmt.Sprintf("%s-%d", author, round), seen, profileEntry(p))
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
		is.Equal(refusal.Present.Author, a.author) // who
		at, err := refusal.Present.AtMs.Int64()    // when
		is.NoErr(err)
		is.True(time.Since(time.UnixMilli(at)).Abs() < 10*time.Second)
	}
}

// entryRevision returns the revision of the entry of a profile.
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

// Guards against an entry host that was paused for longer than all bounds and resumes while the store is down: a peer
// that is alive must tell it the newest profile before its first call is routed.
func TestLongPauseWithStoreDown(t *testing.T) {
	is := is.New(t)
	f := newTwoVersionFleet(t, 3)
	paused := f.entryHosts[2]
	paused.signal(syscall.SIGSTOP)
	mustPropose(t, f.entryHosts[0], newChange("s1", aliasRevision(t, f.entryHosts[0], "tekst"), aliasEntry("tekst", "tekst-v2")))
	waitForVersion(t, f.entryHosts[:2], "tekst", "v2")
	f.setFaults(f.platformAddress, map[string]any{"Down": true})
	f.entryHosts[0].kill() // the peer that took the change
	time.Sleep(32 * time.Second)
	first := make(chan callResult, 1)
	go func() { first <- requestCompletion(context.Background(), paused, "tekst", "check", 4) }()
	time.Sleep(100 * time.Millisecond)
	paused.signal(syscall.SIGCONT)
	is.Equal((<-first).text, faultFree("v2", "check", 4))
	is.Equal(currentRevision(paused), currentRevision(f.entryHosts[1]))
}

// Guards against durable state that is lost when all entry hosts are replaced at once.
func TestAllEntryHostsReplacedAtOnce(t *testing.T) {
	is := is.New(t)
	f := newTwoVersionFleet(t, 3)
	mustPropose(t, f.entryHosts[0], newChange("s1", aliasRevision(t, f.entryHosts[0], "tekst"), aliasEntry("tekst", "tekst-v2")))
	booked := requestBooking(context.Background(), f.entryHosts[0], "reserve", "k1", `{"Cat":"Mies"}`)
	is.Equal(booked.outcome, "Answer")
	_, before, err := sendOperatorRequest(f.entryHosts[0], http.MethodGet, "/v1/entries", nil)
	is.NoErr(err)
	time.Sleep(time.Second) // the record of the booking is written lazily
	for _, e := range f.entryHosts {
		e.kill()
	}
	f.hosts = slices.DeleteFunc(f.hosts, func(h *mangomessage.ListedHost) bool { return h.Role == "Entry" })
	f.entryHosts = nil
	begin := time.Now()
	for i := range 3 {
		f.startEntryHost("new-"+entryName(i), "nieuwegein")
	}
	f.publishHostList()
	f.waitServing("tekst")
	t.Logf("serving again %v after the loss", time.Since(begin))
	for _, e := range f.entryHosts {
		is.Equal(requestCompletion(context.Background(), e, "tekst", "check", 4).text, faultFree("v2", "check", 4))
		_, after, err := sendOperatorRequest(e, http.MethodGet, "/v1/entries", nil)
		is.NoErr(err)
		is.Equal(strings.ReplaceAll(string(after), " ", ""), strings.ReplaceAll(string(before), " ", ""))
		again := requestBooking(context.Background(), e, "reserve", "k1", `{"Cat":"Mies"}`)
		t.Logf("booking again: %s", again.outcome)
		is.Equal(again.body, booked.body) // the same answer, not another booking
	}
}
