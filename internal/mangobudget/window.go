package mangobudget

import "time"

// bucketCount is the number of parts of a window; events are forgotten a part at a time, late rather than early.
const bucketCount = 20

// window counts events in a sliding span.
type window struct {
	counts [bucketCount + 1]int
	// newest is the number of the part that the last event fell into.
	newest int64
	total  int
}

// advance forgets what is older than a span; now counts from any fixed moment.
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
