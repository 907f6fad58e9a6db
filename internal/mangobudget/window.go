package mangobudget

import "time"

// bucketCount is the number of buckets in a window. Events expire one bucket at a time, late rather than early.
const bucketCount = 20

// window counts the events of a sliding time window in a ring of buckets.
type window struct {
	// counts has one more bucket than the window, since the newest one is incomplete.
	counts [bucketCount + 1]int
	// newest is the number of the newest bucket, counted from the origin of the times.
	newest int64
	total  int
}

// advance drops the events that are older than span; now is the time since a fixed origin.
func (w *window) advance(now, span time.Duration) {
	bucketSpan := max(span/bucketCount, 1)
	current := int64(now / bucketSpan)
	if current-w.newest > bucketCount {
		w.counts = [bucketCount + 1]int{}
		w.total = 0
		w.newest = current
		return
	}
	for w.newest < current {
		w.newest++
		i := w.newest % (bucketCount + 1)
		w.total -= w.counts[i]
		w.counts[i] = 0
	}
}

func (w *window) add(now, span time.Duration) {
	w.advance(now, span)
	w.counts[w.newest%(bucketCount+1)]++
	w.total++
}

func (w *window) count(now, span time.Duration) int {
	w.advance(now, span)
	return w.total
}
