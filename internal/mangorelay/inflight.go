package mangorelay

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"mangopath.org/mangopath/internal/mangocrash"
	"mangopath.org/mangopath/internal/mangoreplica"
)

// beginMargin is the time after the first event of a send from which its answer counts as begun safely. An engine that
// crashes as it begins an answer may still send an event.
const beginMargin = 100 * time.Millisecond

// inFlightRequest is a request that has been sent and passes through one or more replicas.
type inFlightRequest struct {
	identity mangocrash.Request
	// begunBefore says that its answer began safely in an earlier send.
	begunBefore bool
	// first is the replica that took it and writes the answer, and sentAt when it was sent there.
	first  mangoreplica.Incarnation
	sentAt time.Time
	// firstEventAt is when the first event of this send came, in nanoseconds of Unix time; 0 if none has.
	firstEventAt atomic.Int64
	// lastEventAt is when the last event came that a read waited for, in nanoseconds of Unix time.
	lastEventAt atomic.Int64
	// lostAt is when the send was lost, in nanoseconds of Unix time; 0 if it was not.
	lostAt atomic.Int64
	// wake makes the request check again whether its replicas are alive.
	wake func()
}

// lostRetention is the time for which a request that was lost counts as in flight when its replica is found to have crashed.
// Several daemons notice a crash by their own requests, one after the other.
const lostRetention = time.Second

// begunSafely reports whether the answer began so long ago that the parts of the prompt do not crash replicas.
func (f *inFlightRequest) begunSafely(now time.Time) bool {
	at := f.firstEventAt.Load()
	if lostAt := f.lostAt.Load(); lostAt != 0 {
		now = time.Unix(0, lostAt)
	}
	return at != 0 && now.Sub(time.Unix(0, at)) >= beginMargin
}

// candidate returns the request as one that may have crashed a replica. The parts of its prompt count only if that replica was
// to answer it and it had not begun.
func (f *inFlightRequest) candidate(r mangoreplica.Incarnation, now time.Time) mangocrash.InFlight {
	if f.first != r || f.begunBefore || f.begunSafely(now) {
		return mangocrash.InFlight{Request: mangocrash.Request{Fingerprint: f.identity.Fingerprint}}
	}
	return mangocrash.InFlight{Request: f.identity, SentAt: f.sentAt}
}

// inFlightIndex records which requests are in flight on which replicas.
type inFlightIndex struct {
	mu        sync.Mutex
	byReplica map[mangoreplica.Incarnation]map[*inFlightRequest]struct{}
	// lost has the requests that were lost on a replica, or left it on a changed path, within lostRetention, the oldest first.
	lost map[mangoreplica.Incarnation][]lostRequest
}

// lostRequest is a request that is no longer in flight on a replica, with the time of its loss there.
type lostRequest struct {
	request *inFlightRequest
	at      time.Time
}

func newInFlightIndex() *inFlightIndex {
	return &inFlightIndex{
		byReplica: map[mangoreplica.Incarnation]map[*inFlightRequest]struct{}{}, lost: map[mangoreplica.Incarnation][]lostRequest{},
	}
}

// add records a request on replicas; the returned function removes it.
func (ix *inFlightIndex) add(f *inFlightRequest, replicas []mangoreplica.Incarnation) func() {
	ix.mu.Lock()
	defer ix.mu.Unlock()
	ix.insert(f, replicas)
	return func() { ix.remove(f, replicas, time.Now()) }
}

// remove ends the record of a request on replicas. A request that was lost stays a suspect there for lostRetention.
func (ix *inFlightIndex) remove(f *inFlightRequest, replicas []mangoreplica.Incarnation, now time.Time) {
	ix.mu.Lock()
	defer ix.mu.Unlock()
	for _, r := range replicas {
		ix.drop(f, r)
		if at := f.lostAt.Load(); at != 0 {
			ix.lost[r] = append(ix.lost[r], lostRequest{request: f, at: time.Unix(0, at)})
		}
	}
	ix.pruneLost(now)
}

// move records a request on the replicas of its changed path. On a replica that it left it stays a suspect for lostRetention:
// it left because that replica seemed to be lost, and if that is found to be a crash, it was in flight there. The returned
// function removes it.
func (ix *inFlightIndex) move(f *inFlightRequest, from, to []mangoreplica.Incarnation, now time.Time) func() {
	ix.mu.Lock()
	defer ix.mu.Unlock()
	ix.insert(f, to)
	for _, r := range from {
		if !slices.Contains(to, r) {
			ix.drop(f, r)
			ix.lost[r] = append(ix.lost[r], lostRequest{request: f, at: now})
		}
	}
	ix.pruneLost(now)
	return func() { ix.remove(f, to, time.Now()) }
}

// insert adds a request to replicas. The caller holds ix.mu.
func (ix *inFlightIndex) insert(f *inFlightRequest, replicas []mangoreplica.Incarnation) {
	for _, r := range replicas {
		if ix.byReplica[r] == nil {
			ix.byReplica[r] = map[*inFlightRequest]struct{}{}
		}
		ix.byReplica[r][f] = struct{}{}
	}
}

// drop takes a request from a replica. The caller holds ix.mu.
func (ix *inFlightIndex) drop(f *inFlightRequest, r mangoreplica.Incarnation) {
	delete(ix.byReplica[r], f)
	if len(ix.byReplica[r]) == 0 {
		delete(ix.byReplica, r)
	}
}

// pruneLost drops the requests that were lost more than lostRetention ago. The caller holds ix.mu.
func (ix *inFlightIndex) pruneLost(now time.Time) {
	for r, list := range ix.lost {
		kept := slices.DeleteFunc(list, func(l lostRequest) bool { return now.Sub(l.at) > lostRetention })
		if ix.lost[r] = kept; len(kept) == 0 {
			delete(ix.lost, r)
		}
	}
}

// candidates returns the requests in flight on a replica and those just lost there, one of which may have crashed it.
func (ix *inFlightIndex) candidates(r mangoreplica.Incarnation, now time.Time) []mangocrash.InFlight {
	ix.mu.Lock()
	defer ix.mu.Unlock()
	ix.pruneLost(now)
	var list []mangocrash.InFlight
	for f := range ix.byReplica[r] {
		list = append(list, f.candidate(r, now))
	}
	for _, l := range ix.lost[r] {
		list = append(list, l.request.candidate(r, now))
	}
	// Of several sends with the same fingerprint the one with parts and the latest send counts.
	slices.SortFunc(list, func(a, b mangocrash.InFlight) int {
		return cmp.Or(cmp.Compare(a.Fingerprint, b.Fingerprint), cmp.Compare(len(b.Parts), len(a.Parts)), b.SentAt.Compare(a.SentAt))
	})
	return slices.CompactFunc(list, func(a, b mangocrash.InFlight) bool { return a.Fingerprint == b.Fingerprint })
}

// wakeAll wakes all requests in flight on a replica.
func (ix *inFlightIndex) wakeAll(r mangoreplica.Incarnation) {
	ix.mu.Lock()
	defer ix.mu.Unlock()
	for f := range ix.byReplica[r] {
		f.wake()
	}
}

// wakeUnbegun wakes all requests without an event whose prompts have shared parts.
func (ix *inFlightIndex) wakeUnbegun() {
	ix.mu.Lock()
	defer ix.mu.Unlock()
	for r, requests := range ix.byReplica {
		for f := range requests {
			if f.first == r && len(f.identity.Parts) > 0 && f.firstEventAt.Load() == 0 {
				f.wake()
			}
		}
	}
}

// wakeWhere wakes all requests in flight on replicas whose ids the function accepts.
func (ix *inFlightIndex) wakeWhere(accepts func(id string) bool) {
	ix.mu.Lock()
	defer ix.mu.Unlock()
	for r, requests := range ix.byReplica {
		if !accepts(r.ID) {
			continue
		}
		for f := range requests {
			f.wake()
		}
	}
}
