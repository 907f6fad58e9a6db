package mangorelay

import (
	"bytes"
	"strconv"
)

// eventBuffer collects the bytes of an event stream and returns whole events only.
type eventBuffer struct {
	pending []byte
	// lastID is the id of the last event returned, or of the last one that the caller had before; hasLastID says that
	// there is one.
	lastID    uint64
	hasLastID bool
	// hasGap says that the id of a returned event was not the one after the last id.
	hasGap bool
	// count is the number of events returned. Comments, which keep a connection alive, are none.
	count int
}

const (
	// maxEventBytes bounds an event; a longer one is no event of a sound replica.
	maxEventBytes = 256 << 10
	// maxEventEnd is the length of the longest end of an event.
	maxEventEnd = len("\r\n\r\n")
)

// oversized reports whether the event that is being collected is too long.
func (b *eventBuffer) oversized() bool { return len(b.pending) > maxEventBytes }

// add appends bytes and returns the whole events collected so far; they are valid until the next call.
func (b *eventBuffer) add(data []byte) []byte {
	// The pending bytes have been searched before, and only an end that is divided between two reads can begin in them. Searching them
	// with each read would take time in proportion to the square of the length of an event.
	searched := max(0, len(b.pending)-(maxEventEnd-1))
	b.pending = append(b.pending, data...)
	end := eventEnd(b.pending[searched:])
	if end == 0 {
		return nil
	}
	end += searched
	whole := b.pending[:end]
	b.trackIDs(whole)
	rest := b.pending[end:]
	b.pending = append([]byte(nil), rest...)
	return whole
}

// eventEnd returns the length of the whole events at the start of data; an empty line ends an event.
func eventEnd(data []byte) int {
	end := 0
	if i := bytes.LastIndex(data, []byte("\n\n")); i >= 0 {
		end = i + 2
	}
	if i := bytes.LastIndex(data, []byte("\r\n\r\n")); i >= 0 {
		end = max(end, i+4)
	}
	return end
}

// trackIDs updates lastID, hasGap and count from the lines of events.
func (b *eventBuffer) trackIDs(events []byte) {
	for line := range bytes.Lines(events) {
		if bytes.HasPrefix(line, []byte("data:")) {
			b.count++
		}
		value, ok := bytes.CutPrefix(line, []byte("id:"))
		if !ok {
			continue
		}
		id, err := strconv.ParseUint(string(bytes.TrimSpace(value)), 10, 64)
		if err != nil {
			continue
		}
		if b.hasLastID && id != b.lastID+1 {
			b.hasGap = true
		}
		b.lastID, b.hasLastID = id, true
	}
}
