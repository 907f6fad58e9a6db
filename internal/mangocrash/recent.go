package mangocrash

import "time"

// maxRecentTimes bounds the entries of each of the two generations of recentTimes.
const maxRecentTimes = 2048

// recentTimes holds the last time of each key for the keys that were set most recently. When the newer generation is full, it
// replaces the older one.
type recentTimes struct {
	newer, older map[string]time.Time
}

func newRecentTimes() *recentTimes {
	return &recentTimes{newer: map[string]time.Time{}, older: map[string]time.Time{}}
}

// set records the time of a key.
func (r *recentTimes) set(key string, at time.Time) {
	if _, ok := r.newer[key]; !ok && len(r.newer) >= maxRecentTimes {
		r.newer, r.older = map[string]time.Time{}, r.newer
	}
	r.newer[key] = at
}

// get returns the last time of a key, if it is still known.
func (r *recentTimes) get(key string) (time.Time, bool) {
	if at, ok := r.newer[key]; ok {
		return at, true
	}
	at, ok := r.older[key]
	return at, ok
}
