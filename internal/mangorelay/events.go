package mangorelay

import (
	"bytes"
	"strconv"
)

// event is a whole event of a stream, or a comment, with the empty line that ends it.
type event struct {
	text   []byte
	number eventNumber
	// hasData says that the event has a data field; a comment, which keeps a connection alive, has none.
	hasData bool
}

// eventNumber is the number in the id field of an event.
type eventNumber struct {
	form  numberForm
	value uint64
}

// numberForm says whether an event has a number.
type numberForm int

const (
	// numberAbsent means that the event has no id field, and numberInvalid that the field has no number.
	numberAbsent numberForm = iota
	numberInvalid
	numberValid
)

// parseNumber returns the number in the value of an id field.
func parseNumber(value []byte) eventNumber {
	n, err := strconv.ParseUint(string(bytes.TrimSpace(value)), 10, 64)
	if err != nil {
		return eventNumber{form: numberInvalid}
	}
	return eventNumber{form: numberValid, value: n}
}

// String returns the number as it appears in logs.
func (n eventNumber) String() string {
	switch n.form {
	case numberValid:
		return strconv.FormatUint(n.value, 10)
	case numberInvalid:
		return "Invalid"
	case numberAbsent:
	}
	return "None"
}

// eventBuffer collects the bytes of an event stream and returns whole events only.
type eventBuffer struct {
	pending []byte
	// events has the events of the last call of add.
	events []event
	// count is the number of events with data that have been returned.
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
func (b *eventBuffer) add(data []byte) []event {
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
	rest := b.pending[end:]
	b.pending = append([]byte(nil), rest...)
	b.split(whole)
	return b.events
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

// split sets events from bytes that end with the end of an event.
func (b *eventBuffer) split(whole []byte) {
	b.events = b.events[:0]
	begin, end := 0, 0
	var e event
	for line := range bytes.Lines(whole) {
		end += len(line)
		if len(bytes.TrimRight(line, "\r\n")) > 0 {
			e.addField(line)
			continue
		}
		e.text = whole[begin:end]
		b.events = append(b.events, e)
		if e.hasData {
			b.count++
		}
		begin, e = end, event{}
	}
}

// addField takes a line of the event; of several ids the last one counts.
func (e *event) addField(line []byte) {
	if bytes.HasPrefix(line, []byte("data:")) {
		e.hasData = true
	}
	if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
		e.number = parseNumber(value)
	}
}
