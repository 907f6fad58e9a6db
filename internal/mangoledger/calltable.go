package mangoledger

import (
	"container/list"
	"sync"
	"time"

	"mangopath.org/mangopath/pkg/mangomessage"
)

const (
	// maxNeverRun bounds the remembered attempts that never run; at about 100 bytes each they take 6 MB at most.
	maxNeverRun = 65536
	// entryBytes is the memory counted for an entry in addition to its answer.
	entryBytes = 512
)

// callEntry is the state of this process's latest attempt of a call, with the answer once it is done. It is used until
// expiresAt, or always while the call runs.
type callEntry struct {
	storeKey    string
	attempt     string
	digest      string
	state       string
	status      int
	contentType string
	answer      []byte
	expiresAt   time.Time
	// endedElement is the element of callTable.ended; nil while the call runs.
	endedElement *list.Element
}

// callTable holds the calls of this process by store key. Running calls are not bounded here, since admission bounds them.
// Ended calls are bounded by maxBytes; those that ended first are evicted first.
type callTable struct {
	mu         sync.Mutex
	entries    map[string]*callEntry
	ended      *list.List
	endedBytes int
	maxBytes   int
	// neverRun has the attempts that are known never to run, and neverRunOrder the same from the oldest to the newest.
	neverRun      map[string]*list.Element
	neverRunOrder *list.List
}

func newCallTable(maxBytes int) *callTable {
	return &callTable{
		entries: map[string]*callEntry{}, ended: list.New(), maxBytes: maxBytes,
		neverRun: map[string]*list.Element{}, neverRunOrder: list.New(),
	}
}

// reserve adds a running attempt and returns true, unless the call has an entry already: then it returns a copy of that
// and false.
func (t *callTable) reserve(e callEntry, now time.Time) (callEntry, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if old := t.entries[e.storeKey]; old != nil {
		if old.state == StateRunning || now.Before(old.expiresAt) {
			return *old, false
		}
		t.remove(old)
	}
	t.entries[e.storeKey] = &e
	return e, true
}

// replaceAttempt replaces the attempt id of a running call.
func (t *callTable) replaceAttempt(storeKey, attempt, next string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.entries[storeKey]; e != nil && e.attempt == attempt {
		e.attempt = next
	}
}

// release removes a running attempt. With neverRun the attempt id is kept as one that never runs.
func (t *callTable) release(storeKey, attempt string, neverRun bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if neverRun {
		t.addNeverRun(attempt)
	}
	if e := t.entries[storeKey]; e != nil && e.attempt == attempt {
		t.remove(e)
	}
}

// end replaces the entry of a running attempt by its final one, Done or Unknown, and evicts old entries above the limit.
func (t *callTable) end(next callEntry) {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.entries[next.storeKey]
	if old == nil || old.attempt != next.attempt {
		return
	}
	t.remove(old)
	next.endedElement = t.ended.PushBack(&next)
	t.entries[next.storeKey] = &next
	t.endedBytes += entryBytes + len(next.answer)
	for t.endedBytes > t.maxBytes && t.ended.Len() > 0 {
		t.remove(t.ended.Front().Value.(*callEntry))
	}
}

// remove deletes an entry; the caller holds the lock.
func (t *callTable) remove(e *callEntry) {
	delete(t.entries, e.storeKey)
	if e.endedElement != nil {
		t.ended.Remove(e.endedElement)
		t.endedBytes -= entryBytes + len(e.answer)
	}
}

// markNeverRun remembers an attempt as one that never runs.
func (t *callTable) markNeverRun(attempt string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.addNeverRun(attempt)
}

// addNeverRun is markNeverRun for callers that hold the lock.
func (t *callTable) addNeverRun(attempt string) {
	if _, ok := t.neverRun[attempt]; ok {
		return
	}
	t.neverRun[attempt] = t.neverRunOrder.PushBack(attempt)
	if t.neverRunOrder.Len() > maxNeverRun {
		oldest := t.neverRunOrder.Front()
		delete(t.neverRun, t.neverRunOrder.Remove(oldest).(string))
	}
}

func (t *callTable) isNeverRun(attempt string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, ok := t.neverRun[attempt]
	return ok
}

// lookup returns the state of an attempt; an empty attempt means the latest one of the call.
func (t *callTable) lookup(storeKey, attempt string, now time.Time) *mangomessage.StatusReply {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[storeKey]
	if e != nil && (attempt == "" || attempt == e.attempt) && (e.state == StateRunning || now.Before(e.expiresAt)) {
		return &mangomessage.StatusReply{
			State: e.state, BodyDigest: e.digest,
			AnswerStatus: int32(e.status), Answer: e.answer, AnswerType: e.contentType,
		}
	}
	if _, ok := t.neverRun[attempt]; ok {
		return &mangomessage.StatusReply{State: StateNotRun}
	}
	return &mangomessage.StatusReply{State: StateUnknown}
}
