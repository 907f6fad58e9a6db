package mangohub

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"mangopath.org/mangopath/internal/mangostate"
)

const (
	// maxHistoryItems and maxHistoryBytes bound the changes that a mirror keeps for followers that have been without a hub
	// for a while. One that is further behind gets everything.
	maxHistoryItems = 4096
	maxHistoryBytes = 4 << 20
)

// Mirror is a daemon's copy of the store, with its latest changes. It is safe for concurrent use.
type Mirror struct {
	mu    sync.Mutex
	items map[string]Item
	// history has the changes after historyFrom, in order, and historyBytes the size of their values.
	history      []Item
	historyFrom  uint64
	historyBytes int
	revision     uint64
	loaded       bool
	// lost says that neither this daemon nor its hub reaches the store, contactAt is when it was last reached after it had been lost,
	// and outage is when the store was last away.
	lost      bool
	contactAt time.Time
	outage    mangostate.Outage
	// own is whether the last call of this daemon reached the store, at ownAt, and hub whether its hub does, through the daemons
	// of hubPath. reading says that this daemon reads the store itself.
	own, hub contact
	ownAt    time.Time
	reading  bool
	hubPath  []string
	// now is the clock.
	now func() time.Time
	// confirmedAt is the latest time at which the mirror is known to have had all changes of the store.
	confirmedAt time.Time
	// lossDue says that the user of the mirror has to be told of a loss of the store, also if it is over, and returnDue that
	// it has been told of one and not of its end.
	lossDue, returnDue bool
	// changed is closed and replaced after each change.
	changed chan struct{}
	// restart is signalled when a reader of the mirror gave up a wait.
	restart chan struct{}
}

var _ Source = (*Mirror)(nil)

// NewMirror returns a mirror that has not been loaded.
func NewMirror() *Mirror {
	return &Mirror{items: map[string]Item{}, changed: make(chan struct{}), restart: make(chan struct{}, 1), now: time.Now}
}

// Load replaces everything by a snapshot of the store, unless the mirror is further.
func (m *Mirror) Load(items []Item, revision uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.loaded && revision < m.revision {
		return
	}
	m.items = make(map[string]Item, len(items))
	for _, it := range items {
		m.items[it.Key] = it.withPack()
	}
	m.history, m.historyBytes, m.historyFrom = nil, 0, revision
	m.revision, m.loaded = revision, true
	m.signal()
}

// Append adds changes that lead to a revision. Changes that the mirror has are left out.
func (m *Mirror) Append(items []Item, revision uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if revision <= m.revision {
		return
	}
	for _, it := range items {
		if it.Revision == 0 {
			it.Revision = revision
		}
		if it.Revision <= m.revision {
			continue
		}
		it = it.withPack()
		if it.Deleted {
			delete(m.items, it.Key)
		} else {
			m.items[it.Key] = it
		}
		m.history = append(m.history, it)
		m.historyBytes += len(it.Value)
	}
	m.revision = revision
	m.trimHistory()
	m.signal()
}

// trimHistory drops the older half of a history that is too large.
func (m *Mirror) trimHistory() {
	for len(m.history) > maxHistoryItems || (m.historyBytes > maxHistoryBytes && len(m.history) > 1) {
		half := (len(m.history) + 1) / 2
		for _, it := range m.history[:half] {
			m.historyBytes -= len(it.Value)
		}
		m.historyFrom = m.history[half-1].Revision
		m.history = append([]Item(nil), m.history[half:]...)
	}
}

// signal wakes all that wait for a change. The caller holds m.mu.
func (m *Mirror) signal() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// Changed returns a channel that is closed at the next change.
func (m *Mirror) Changed() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.changed
}

// Loaded reports whether the mirror has been loaded, and Revision its revision.
func (m *Mirror) Loaded() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.loaded
}

// Revision returns the revision of the store that the mirror reflects.
func (m *Mirror) Revision() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.revision
}

// Since returns the changes after a revision, of each key only the last one, and the revision that they lead to. complete is
// false if the mirror no longer has all of them.
func (m *Mirror) Since(after uint64) (items []Item, revision uint64, complete bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if after >= m.revision {
		return nil, m.revision, true
	}
	if after < m.historyFrom {
		return nil, m.revision, false
	}
	for i, it := range m.history {
		if it.Revision > after {
			return lastOfEachKey(m.history[i:]), m.revision, true
		}
	}
	return nil, m.revision, true
}

// lastOfEachKey returns the items, in order, without those that a later one of the same key replaces.
func lastOfEachKey(items []Item) []Item {
	last := make(map[string]int, len(items))
	for i, it := range items {
		last[it.Key] = i
	}
	kept := make([]Item, 0, len(last))
	for i, it := range items {
		if last[it.Key] == i {
			kept = append(kept, it)
		}
	}
	return kept
}

// All returns all items and the revision.
func (m *Mirror) All() ([]Item, uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	items := make([]Item, 0, len(m.items))
	for _, it := range m.items {
		items = append(items, it)
	}
	return items, m.revision
}

// Confirm records that the store was at a revision some time ago. If the mirror has reached it, it had all changes then.
func (m *Mirror) Confirm(revision uint64, age time.Duration) {
	at := time.Now().Add(-age)
	m.mu.Lock()
	defer m.mu.Unlock()
	if revision <= m.revision && at.After(m.confirmedAt) {
		m.confirmedAt = at
	}
}

// ConfirmedAge returns the time since the mirror is known to have had all changes of the store.
func (m *Mirror) ConfirmedAge() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return time.Since(m.confirmedAt)
}

// Snapshot implements Source. It waits until the mirror is loaded.
func (m *Mirror) Snapshot(ctx context.Context, _ bool) ([]Item, uint64, error) {
	for {
		changed := m.Changed()
		if m.Loaded() {
			items, revision := m.All()
			return items, revision, nil
		}
		select {
		case <-ctx.Done():
			return nil, 0, lostStore("Snapshot", ctx.Err())
		case <-changed:
		}
		if !m.Contact() && !m.Loaded() {
			return nil, 0, lostStore("Snapshot", nil)
		}
	}
}

// Watch implements Source. A loss of the store gives an error, also if it is over by now, and its end an answer at once. If ctx
// ends during the wait, the reader of the store is asked to restart.
func (m *Mirror) Watch(ctx context.Context, after uint64, wait time.Duration) ([]Item, uint64, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		changed := m.Changed()
		items, revision, complete := m.Since(after)
		lost, returned := m.takeContactChange(revision > after)
		if lost {
			return nil, 0, lostStore("Watch", nil)
		}
		switch {
		case !complete:
			return nil, 0, &mangostate.Error{Op: "Watch", Kind: mangostate.KindCompacted}
		case revision > after:
			return items, revision, nil
		case returned:
			return nil, after, nil
		}
		select {
		case <-ctx.Done():
			m.requestRestart()
			return nil, 0, lostStore("Watch", ctx.Err())
		case <-timer.C:
			if !m.Contact() {
				return nil, 0, lostStore("Watch", nil)
			}
			return nil, after, nil
		case <-changed:
		}
	}
}

// requestRestart asks the reader of the store to begin its watch anew.
func (m *Mirror) requestRestart() {
	select {
	case m.restart <- struct{}{}:
	default:
	}
}

func lostStore(op string, err error) error {
	if err == nil {
		err = errors.New("neither this daemon nor its hub reaches the store")
	}
	return &mangostate.Error{Op: op, Kind: mangostate.KindStore, Err: err}
}
