package mangocapacity

import (
	"maps"
	"slices"
	"time"
)

const (
	// refusalReportTime is how long a refusal is part of this daemon's reports. A daemon reports to its hub every 0.25 s and the hub of a
	// group to the other hubs every 0.5 s, so several reports have each refusal.
	refusalReportTime = time.Second
	// earlyReturnTolerance is how much earlier than told a caller may come back and still count as returning. A time to come back is
	// later by the delay of the messages at each daemon that receives it.
	earlyReturnTolerance = 100 * time.Millisecond
	// lateReturnTolerance is how much later than told a caller still counts as returning.
	lateReturnTolerance = 2 * time.Second
	// maxOwnRefusals bounds the refusals in the reports of this daemon, and maxRefusals those of all daemons that it keeps. A refusal
	// takes about ten bytes in a message.
	maxOwnRefusals = 64
	maxRefusals    = 8192
	// maxSumRefusals bounds the refusals in a sum of reports, and so in a message of a hub. Four updates a second with that many take
	// about 6 kB/s, and the other messages to a daemon 7.7 kB/s, of the limit of 14 kB/s (docs/CAPACITY.md).
	maxSumRefusals = 128
	// expireInterval is the least time between two searches for expired refusals. A search visits all of them, which would be too
	// expensive for each refusal that arrives while maxRefusals are kept.
	expireInterval = 200 * time.Millisecond
)

// RefusalKey identifies a request among those that were refused lately. While 8,192 refusals are kept, one in 500,000 other requests
// has the key of one of them by chance.
type RefusalKey uint32

// refusals has the refused requests whose callers may come back. Tracker.mu protects it.
type refusals struct {
	// due is when each caller was told to come back.
	due map[RefusalKey]time.Time
	// own has the refusals of this daemon for its reports, the oldest first.
	own []ownRefusal
	// expiredAt is the time of the last search for expired refusals.
	expiredAt time.Time
}

// ownRefusal is a refusal of this daemon.
type ownRefusal struct {
	key RefusalKey
	// due is when the caller was told to come back, and at when it was refused.
	due, at time.Time
}

// recordOwn records a refusal of this daemon.
func (r *refusals) recordOwn(key RefusalKey, due, now time.Time) {
	if !r.record(key, due, now) {
		return
	}
	// A caller that repeats at once takes one entry and does not displace others.
	r.own = slices.DeleteFunc(r.own, func(o ownRefusal) bool { return o.key == key })
	r.own = append(r.own, ownRefusal{key: key, due: due, at: now})
	if len(r.own) > maxOwnRefusals {
		r.own = slices.Delete(r.own, 0, len(r.own)-maxOwnRefusals)
	}
}

// record records a refusal of any daemon, and reports whether it was kept: not beyond maxRefusals, and not if the caller is to come back
// after more than maxRetryAfter, since it would take an entry for minutes. Of several refusals of a request, the latest time counts.
func (r *refusals) record(key RefusalKey, due, now time.Time) bool {
	if due.Sub(now) > maxRetryAfter {
		return false
	}
	known, ok := r.due[key]
	if !ok && len(r.due) >= maxRefusals {
		r.expire(now)
		if len(r.due) >= maxRefusals {
			return false
		}
	}
	if r.due == nil {
		r.due = map[RefusalKey]time.Time{}
	}
	r.due[key] = later(known, due)
	return true
}

// expire removes the refusals whose callers can no longer count as returning, at most once per expireInterval.
func (r *refusals) expire(now time.Time) {
	if now.Sub(r.expiredAt) < expireInterval {
		return
	}
	r.expiredAt = now
	maps.DeleteFunc(r.due, func(_ RefusalKey, due time.Time) bool { return now.After(due.Add(lateReturnTolerance)) })
}

// isReturning reports whether the caller of a request was refused before and comes back when it was told to.
func (r *refusals) isReturning(key RefusalKey, now time.Time) bool {
	due, ok := r.due[key]
	return ok && !now.Before(due.Add(-earlyReturnTolerance)) && !now.After(due.Add(lateReturnTolerance))
}

// recent returns the refusals for the present report of this daemon; nil if there are none. The times are those that this daemon told
// its callers. Those that come back from the hub are later by the delay of the messages, which would add up if they were reported again.
func (r *refusals) recent(now time.Time) map[RefusalKey]time.Time {
	r.own = slices.DeleteFunc(r.own, func(o ownRefusal) bool { return now.Sub(o.at) > refusalReportTime })
	if len(r.own) == 0 {
		return nil
	}
	recent := make(map[RefusalKey]time.Time, len(r.own))
	for _, o := range r.own {
		recent[o.key] = o.due
	}
	return recent
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// RecordRefusal records that this daemon refused a request and told its caller to come back at due, so that IsReturning recognises the
// caller at all daemons.
func (t *Tracker) RecordRefusal(key RefusalKey, due, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refusals.recordOwn(key, due, now)
}

// IsReturning reports whether any daemon refused the request before and its caller comes back at the time that it was told. A caller
// that comes back earlier does not count, so that repeating at once gains nothing.
func (t *Tracker) IsReturning(key RefusalKey, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.refusals.isReturning(key, now)
}
