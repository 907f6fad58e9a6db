package mangocrash

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxRecords bounds the fingerprints of Records, of which those in most crashes come first.
	maxRecords = 64
	// maxRecordedCrashes bounds the crashes of a record, of which the latest are kept. No trial is made from maxTrialCrashes on.
	maxRecordedCrashes = 2 * maxTrialCrashes
)

// Record is what must outlast all daemons of a fingerprint that is blocked, or held until reports on its crashes have arrived.
type Record struct {
	Fingerprint string
	// Wider has the fingerprints of the parts that come before this part, or before the whole request.
	Wider []string
	// Condemned says that the fingerprint is blocked.
	Condemned bool
	// Crashes are those that count against it, in the order of their times.
	Crashes []RecordedCrash
}

// RecordedCrash is a crash of a Record.
type RecordedCrash struct {
	// ID identifies the crash, by the host and an id of the daemon that reported it.
	ID string
	At time.Time
	// SentAt is when the request was sent to the host; zero if that is not known.
	SentAt time.Time
}

// Records returns the records of the fingerprints that are blocked or held.
func (t *CrashTracker) Records(now time.Time) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	var list []Record
	for f, crashes := range t.crashesByFingerprint {
		if len(crashes) < 2 {
			continue
		}
		if verdict, held := t.evaluate(f, now); verdict == Blocked || held {
			list = append(list, t.record(f, verdict == Blocked, now))
		}
	}
	slices.SortFunc(list, func(a, b Record) int {
		return cmp.Or(compareFlags(b.Condemned, a.Condemned), cmp.Compare(len(b.Crashes), len(a.Crashes)), cmp.Compare(a.Fingerprint, b.Fingerprint))
	})
	return list[:min(len(list), maxRecords)]
}

// compareFlags orders false before true.
func compareFlags(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

// record returns the record of a fingerprint. The caller holds t.mu.
func (t *CrashTracker) record(fingerprint string, condemned bool, now time.Time) Record {
	r := Record{Fingerprint: fingerprint, Wider: slices.Clone(t.wider[fingerprint]), Condemned: condemned}
	for _, c := range t.unexpired(fingerprint, now) {
		r.Crashes = append(r.Crashes, RecordedCrash{ID: c.ids[0], At: c.at, SentAt: c.sentAt[fingerprint]})
	}
	slices.SortStableFunc(r.Crashes, func(a, b RecordedCrash) int { return a.At.Compare(b.At) })
	r.Crashes = r.Crashes[max(0, len(r.Crashes)-maxRecordedCrashes):]
	return r
}

// Restore adds the crashes of a record, as far as they are not known or cleared. What a daemon that has started anew learns in this way
// blocks the fingerprint at once.
func (t *CrashTracker) Restore(r Record, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	ahead := r.ahead(now)
	for _, c := range r.Crashes {
		at := c.At.Add(-ahead)
		if c.ID == "" || now.Sub(at) > t.condemnedExpiry {
			continue
		}
		s := sighting{fingerprint: r.Fingerprint, wider: r.Wider, at: at}
		if !c.SentAt.IsZero() {
			s.sentAt = c.SentAt.Add(-ahead)
		}
		t.recordInFlight(c.ID, s, fromHub)
	}
	if r.Condemned && len(t.crashesByFingerprint[r.Fingerprint]) > 0 && !t.condemned[r.Fingerprint] {
		t.condemned[r.Fingerprint], t.changed = true, true
		t.onVerdict(Change{Fingerprint: r.Fingerprint, Event: Restored, Crashes: len(t.crashesByFingerprint[r.Fingerprint])})
	}
}

// ahead returns how far the clock of the daemon that wrote the record is ahead of this one's, as far as its crashes show that. The times
// between them are to stay as they are.
func (r Record) ahead(now time.Time) time.Duration {
	var ahead time.Duration
	for _, c := range r.Crashes {
		ahead = max(ahead, c.At.Sub(now))
	}
	return ahead
}

// Forget clears a fingerprint of the crashes that are known of it, since its record has been removed.
func (t *CrashTracker) Forget(fingerprint string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.clear(fingerprint, now, fromHub)
}
