package mangobudget

import "time"

// buckets is the number of parts of a window; events are forgotten a part at a time, late rather than early.
const buckets = 20

// window counts events in a sliding span.
type window struct {
	counts [buckets + 1]int
	// head is the number of the part that the last event fell into.
	head int64
	sum  int
}

// advance forgets what is older than a span; now counts from any fixed moment.
func (w *window) advance(now, span time.Duration) {
	part := max(span/buckets, 1)
	at := int64(now / part)
	if at-w.head > buckets {
		w.counts = [buckets + 1]int{}
		w.sum = 0
		w.head = at
		return
	}
	for w.head < at {
		w.head++
		i := w.head % (buckets + 1)
		w.sum -= w.counts[i]
		w.counts[i] = 0
	}
}

func (w *window) add(now, span time.Duration) {
	w.advance(now, span)
	w.counts[w.head%(buckets+1)]++
	w.sum++
}

func (w *window) count(now, span time.Duration) int {
	w.advance(now, span)
	return w.sum
}
