package mangocrash

import (
	"time"

	"mangopath.org/mangopath/pkg/mangomessage"
)

// logEntry is an entry of the log that peers are sent: a fingerprint was in flight in a crash, or was cleared.
type logEntry struct {
	fingerprint string
	// crashID is empty if cleared is set.
	crashID string
	at      time.Time
	// sentAt is when the request was sent to the host; zero if that is not known.
	sentAt time.Time
	// onlySuspect says that no other suspect of the reporting daemon was in flight in the crash.
	onlySuspect bool
	// cleared says that the call of the fingerprint got past its crashes up to the time at.
	cleared bool
	origin  origin
}

// origin says from whom this daemon has an entry.
type origin int

const (
	// fromSelf entries are of this daemon.
	fromSelf origin = iota
	// fromPeer entries were sent by another daemon.
	fromPeer
	// fromHub entries were sent by a hub, which sends them to all other hubs, too.
	fromHub
)

// appendLog adds an entry for peers. When the log is full, it drops the older half.
func (t *CrashTracker) appendLog(e logEntry) {
	t.log = append(t.log, e)
	t.nextPosition++
	if len(t.log) > maxLogEntries {
		t.log = append([]logEntry(nil), t.log[len(t.log)-maxLogEntries/2:]...)
	}
}

// Updates returns the log entries after a position, as messages, and the position to continue from. The sender keeps one
// position for each peer, starting at 0, so that no entry is sent twice.
func (t *CrashTracker) Updates(after uint64, now time.Time) ([]*mangomessage.Suspicion, uint64) {
	return t.newsMatching(after, now, func(logEntry) bool { return true })
}

// UpdatesToHub is like Updates, for a receiver that is a hub. It returns the entries of this daemon and, if this daemon is a
// hub as well, those that its followers sent.
func (t *CrashTracker) UpdatesToHub(after uint64, isHub bool, now time.Time) ([]*mangomessage.Suspicion, uint64) {
	return t.newsMatching(after, now, func(e logEntry) bool { return e.origin == fromSelf || (isHub && e.origin == fromPeer) })
}

// newsMatching returns the unexpired log entries after a position that are wanted, and the position after the last one.
func (t *CrashTracker) newsMatching(after uint64, now time.Time, wanted func(e logEntry) bool) ([]*mangomessage.Suspicion, uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	skip := len(t.log)
	if behind := t.nextPosition - min(after, t.nextPosition); behind < uint64(len(t.log)) {
		skip -= int(behind)
	} else {
		skip = 0
	}
	var news []*mangomessage.Suspicion
	for _, e := range t.log[skip:] {
		age := now.Sub(e.at)
		if age > t.lifetime(e.fingerprint) || !wanted(e) {
			continue
		}
		m := &mangomessage.Suspicion{
			Fingerprint: e.fingerprint, CrashId: e.crashID, Alone: e.onlySuspect, Cleared: e.cleared, Wider: t.wider[e.fingerprint],
			AgeMs: uint32(max(age, 0) / time.Millisecond),
		}
		if !e.sentAt.IsZero() {
			m.SentMs = uint32(max(e.at.Sub(e.sentAt), time.Millisecond) / time.Millisecond)
		}
		news = append(news, m)
	}
	return news, t.nextPosition
}

// Counts returns the numbers of suspect and of blocked fingerprints.
func (t *CrashTracker) Counts(now time.Time) (suspects, blocked int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for f := range t.crashesByFingerprint {
		switch verdict, _ := t.evaluate(f, now); verdict {
		case Suspect:
			suspects++
		case Blocked:
			blocked++
		case Clear:
		}
	}
	return suspects, blocked
}
