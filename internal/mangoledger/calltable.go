package mangoledger

import (
	"container/list"
	"sync"
	"time"

	"mangopath.org/mangopath/pkg/mangomessage"
)

const (
	// maxNeverRun bounds the attempts known never to run; about 100 bytes each, so 6 MB at most.
	maxNeverRun = 65536
	// entryBytes is counted for an entry besides its answer.
	entryBytes = 512
)

// callEntry is what this process knows about its own latest attempt of a call.
type callEntry struct {
	storeKey     string
	attempt      string
	digest       string
	state        string
	status       int
	contentType  string
	answer       []byte
	expiresAt    time.Time
	endedElement *list.Element
}

// callTable holds the calls of this process: running ones without bound, since admission bounds them, and ended ones
// up to a number of bytes, oldest evicted first.
type callTable struct {
	mu            sync.Mutex
	entries       map[string]*callEntry
	ended         *list.List
	endedBytes    int
	maxBytes      int
	neverRun      map[string]*list.Element
	neverRunOrder *list.List
}

func newCallTable(limit int) *callTable {
	return &callTable{
		entries: map[string]*callEntry{}, ended: list.New(), maxBytes: limit,
		neverRun: map[string]*list.Element{}, neverRunOrder: list.New(),
	}
}

// reserve enters a running attempt unless the call is known already, in which case it returns a copy of its entry.
func (m *callTable) reserve(e callEntry, now time.Time) (callEntry, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if old := m.entries[e.storeKey]; old != nil {
		if old.state == StateRunning || now.Before(old.expiresAt) {
			return *old, false
		}
		m.remove(old)
	}
	m.entries[e.storeKey] = &e
	return e, true
}

// replaceAttempt gives a running entry another attempt.
func (m *callTable) replaceAttempt(store, attempt, next string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if e := m.entries[store]; e != nil && e.attempt == attempt {
		e.attempt = next
	}
}

// release forgets a running attempt; with idle the attempt is kept as one that never runs.
func (m *callTable) release(store, attempt string, idle bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if idle {
		m.addNeverRun(attempt)
	}
	if e := m.entries[store]; e != nil && e.attempt == attempt {
		m.remove(e)
	}
}

// end turns a running attempt into a Done or Unknown one.
func (m *callTable) end(next callEntry) {
	m.mu.Lock()
	defer m.mu.Unlock()
	old := m.entries[next.storeKey]
	if old == nil || old.attempt != next.attempt {
		return
	}
	m.remove(old)
	next.endedElement = m.ended.PushBack(&next)
	m.entries[next.storeKey] = &next
	m.endedBytes += entryBytes + len(next.answer)
	for m.endedBytes > m.maxBytes && m.ended.Len() > 0 {
		m.remove(m.ended.Front().Value.(*callEntry))
	}
}

func (m *callTable) remove(e *callEntry) {
	delete(m.entries, e.storeKey)
	if e.endedElement != nil {
		m.ended.Remove(e.endedElement)
		m.endedBytes -= entryBytes + len(e.answer)
	}
}

func (m *callTable) markNeverRun(attempt string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.addNeverRun(attempt)
}

func (m *callTable) addNeverRun(attempt string) {
	if _, ok := m.neverRun[attempt]; ok {
		return
	}
	m.neverRun[attempt] = m.neverRunOrder.PushBack(attempt)
	if m.neverRunOrder.Len() > maxNeverRun {
		oldest := m.neverRunOrder.Front()
		delete(m.neverRun, m.neverRunOrder.Remove(oldest).(string))
	}
}

func (m *callTable) isNeverRun(attempt string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	_, ok := m.neverRun[attempt]
	return ok
}

// lookup reports on an attempt; an empty attempt means the latest one of the call.
func (m *callTable) lookup(store, attempt string, now time.Time) *mangomessage.StatusReply {
	m.mu.Lock()
	defer m.mu.Unlock()
	e := m.entries[store]
	if e != nil && (attempt == "" || attempt == e.attempt) && (e.state == StateRunning || now.Before(e.expiresAt)) {
		return &mangomessage.StatusReply{
			State: e.state, BodyDigest: e.digest,
			AnswerStatus: int32(e.status), Answer: e.answer, AnswerType: e.contentType,
		}
	}
	if _, ok := m.neverRun[attempt]; ok {
		return &mangomessage.StatusReply{State: StateNotRun}
	}
	return &mangomessage.StatusReply{State: StateUnknown}
}
