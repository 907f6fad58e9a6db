package mangoreplica

import (
	"slices"
	"time"
)

const (
	// MaxRetryAfter bounds the time for which a replica can ask for no further requests. A longer time is cut to it.
	MaxRetryAfter = 5 * time.Minute
	// leavingMemory is the time for which a leaving replica is remembered although it has no entry, which may come back.
	leavingMemory = 10 * time.Minute
)

// Notice is what a replica says about itself in an answer, whatever the answer is to.
type Notice struct {
	// Leaving says that the replica is about to stop and is to get nothing new.
	Leaving bool
	// RetryAfter is the time for which a replica that refused a request wants no other one from this daemon; 0 if it did
	// not say.
	RetryAfter time.Duration
	// RateLimit is the limit on requests that the replica named, if any.
	RateLimit RateLimit
	// Load is the load that the replica reports, if any.
	Load ReportedLoad
}

// MarkLeaving records that a replica says that it is leaving. This holds for as long as its process runs: only a later start
// under the same id gets requests again. It reports whether that is news.
func (h *HealthTracker) MarkLeaving(r Incarnation, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	_, known := h.leavingSince[r]
	if !known {
		h.leavingSince[r] = now
	}
	return !known
}

// Leaving reports whether a replica has said that it is leaving.
func (h *HealthTracker) Leaving(r Incarnation) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.isLeaving(r)
}

func (h *HealthTracker) isLeaving(r Incarnation) bool {
	_, ok := h.leavingSince[r]
	return ok
}

// Pause records that a replica wants no requests of this daemon for a time, which is cut to MaxRetryAfter. A shorter time
// does not replace a longer one. It reports whether the replica was not paused before.
func (h *HealthTracker) Pause(r Incarnation, d time.Duration, now time.Time) bool {
	if d <= 0 {
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	until, before := now.Add(min(d, MaxRetryAfter)), h.pausedUntil[r]
	if until.After(before) {
		h.pausedUntil[r] = until
	}
	return !before.After(now)
}

// Paused reports whether a replica wants no requests of this daemon at a time.
func (h *HealthTracker) Paused(r Incarnation, at time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.pausedUntil[r].After(at)
}

// PauseEnds returns the times at which pauses end, the earliest first.
func (h *HealthTracker) PauseEnds(now time.Time) []time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	var ends []time.Time
	for _, until := range h.pausedUntil {
		if until.After(now) {
			ends = append(ends, until)
		}
	}
	slices.SortFunc(ends, time.Time.Compare)
	return ends
}

// pruneNotices removes what replicas said that have started anew or are gone. The caller holds h.mu.
func (h *HealthTracker) pruneNotices(fleet *Fleet, now time.Time) {
	for r, since := range h.leavingSince {
		switch entry := fleet.ByID(r.ID); {
		case entry != nil && entry.Born != r.Born, entry == nil && now.Sub(since) > leavingMemory:
			delete(h.leavingSince, r)
		}
	}
	for r, until := range h.pausedUntil {
		if entry := fleet.ByID(r.ID); !until.After(now) || (entry != nil && entry.Born != r.Born) {
			delete(h.pausedUntil, r)
		}
	}
}
