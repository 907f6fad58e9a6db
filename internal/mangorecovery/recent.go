package mangorecovery

import (
	"sync"
	"time"
)

// prefillTime is the time for which a repair counts as load of the replacement replica: about the time to prefill a typical prompt
// behind those of other streams that were repaired after the same loss.
const prefillTime = 300 * time.Millisecond

// Recent counts the repairs within prefillTime for which a daemon chose each replica. It is safe for concurrent use.
type Recent struct {
	mu sync.Mutex
	at map[string][]time.Time
}

// NewRecent returns a Recent without repairs.
func NewRecent() *Recent { return &Recent{at: map[string][]time.Time{}} }

// Add counts a repair at a replica.
func (r *Recent) Add(id string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.prune(id, now)
	r.at[id] = append(r.at[id], now)
}

// Count returns the number of repairs that a replica may still be prefilling.
func (r *Recent) Count(id string, now time.Time) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.prune(id, now)
	return float64(len(r.at[id]))
}

// prune removes repairs older than prefillTime; the list is in order of time. The caller holds r.mu.
func (r *Recent) prune(id string, now time.Time) {
	list := r.at[id]
	for len(list) > 0 && now.Sub(list[0]) > prefillTime {
		list = list[1:]
	}
	if len(list) == 0 {
		delete(r.at, id)
		return
	}
	r.at[id] = list
}
