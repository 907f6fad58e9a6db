package mangoledger

import (
	"container/list"
	"sync"
	"time"

	"mangopath.org/mangopath/pkg/mangomessage"
)

const (
	// maxIdle bounds the attempts known never to run; about 100 bytes each, so 6 MB at most.
	maxIdle = 65536
	// entryBytes is counted for an entry besides its answer.
	entryBytes = 512
)

// entry is what this process knows about its own latest attempt of a call.
type entry struct {
	store       string
	attempt     string
	digest      string
	state       string
	status      int
	contentType string
	answer      []byte
	expires     time.Time
	place       *list.Element
}

// memory holds the calls of this process: running ones without bound, since admission bounds them, and ended ones
// up to a number of bytes, oldest evicted first.
type memory struct {
	mu      sync.Mutex
	entries map[string]*entry
	ended   *list.List
	bytes   int
	limit   int
	idle    map[string]*list.Element
	idles   *list.List
}

func newMemory(limit int) *memory {
	return &memory{
		entries: map[string]*entry{}, ended: list.New(), limit: limit,
		idle: map[string]*list.Element{}, idles: list.New(),
	}
}

// reserve enters a running attempt unless the call is known already, in which case it returns a copy of its entry.
func (m *memory) reserve(e entry, now time.Time) (entry, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if old := m.entries[e.store]; old != nil {
		if old.state == StateRunning || now.Before(old.expires) {
			return *old, false
		}
		m.remove(old)
	}
	m.entries[e.store] = &e
	return e, true
}

// replace gives a running entry another attempt.
func (m *memory) replace(store, attempt, next string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if e := m.entries[store]; e != nil && e.attempt == attempt {
		e.attempt = next
	}
}

// release forgets a running attempt; with idle the attempt is kept as one that never runs.
func (m *memory) release(store, attempt string, idle bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if idle {
		m.addIdle(attempt)
	}
	if e := m.entries[store]; e != nil && e.attempt == attempt {
		m.remove(e)
	}
}

// end turns a running attempt into a Done or Unknown one.
func (m *memory) end(next entry) {
	m.mu.Lock()
	defer m.mu.Unlock()
	old := m.entries[next.store]
	if old == nil || old.attempt != next.attempt {
		return
	}
	m.remove(old)
	next.place = m.ended.PushBack(&next)
	m.entries[next.store] = &next
	m.bytes += entryBytes + len(next.answer)
	for m.bytes > m.limit && m.ended.Len() > 0 {
		m.remove(m.ended.Front().Value.(*entry))
	}
}

func (m *memory) remove(e *entry) {
	delete(m.entries, e.store)
	if e.place != nil {
		m.ended.Remove(e.place)
		m.bytes -= entryBytes + len(e.answer)
	}
}

func (m *memory) setIdle(attempt string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.addIdle(attempt)
}

func (m *memory) addIdle(attempt string) {
	if _, ok := m.idle[attempt]; ok {
		return
	}
	m.idle[attempt] = m.idles.PushBack(attempt)
	if m.idles.Len() > maxIdle {
		oldest := m.idles.Front()
		delete(m.idle, m.idles.Remove(oldest).(string))
	}
}

func (m *memory) isIdle(attempt string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	_, ok := m.idle[attempt]
	return ok
}

// lookup reports on an attempt; an empty attempt means the latest one of the call.
func (m *memory) lookup(store, attempt string, now time.Time) *mangomessage.StatusReply {
	m.mu.Lock()
	defer m.mu.Unlock()
	e := m.entries[store]
	if e != nil && (attempt == "" || attempt == e.attempt) && (e.state == StateRunning || now.Before(e.expires)) {
		return &mangomessage.StatusReply{
			State: e.state, BodyDigest: e.digest,
			AnswerStatus: int32(e.status), Answer: e.answer, AnswerType: e.contentType,
		}
	}
	if _, ok := m.idle[attempt]; ok {
		return &mangomessage.StatusReply{State: StateNotRun}
	}
	return &mangomessage.StatusReply{State: StateUnknown}
}
