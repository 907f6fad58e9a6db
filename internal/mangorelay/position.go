package mangorelay

import "slices"

// minEqualSteps is the number of equal steps between the numbers of a stream from which the next one is known.
const minEqualSteps = 3

// streamPosition is what the caller of a stream has of it, and decides which event may come next. The pages of the platform promise
// numbers that increase, not by how much, and a replica may send a wrong one. A wrong number must not become the position from which
// another replica continues: one that is too high would skip events, up to an end that looks regular. So an event is passed on only
// if no event can lie between it and the last one:
//
//   - its number is one above the last number, or as far above it as all numbers before, or
//   - a greater number followed in the same run, or
//   - another replica gave the same number.
//
// A wrong number between the last one and the right one is not noticed; consecutive numbers leave no room for one. A stream that may not
// be resumed is passed on as it comes, as long as its numbers increase.
type streamPosition struct {
	// resumable says that another run may continue the stream.
	resumable bool
	// last is the number of the last event that the caller has; known says that there is one.
	last  uint64
	known bool
	// unnumbered says that the caller also has an event without a number, so that no other run can continue the stream.
	unnumbered bool
	// step is the difference between the numbers so far, equalSteps how often it was seen, and varies that there was another one.
	step       uint64
	equalSteps int
	varies     bool
	// replica is the id of the replica of the present run.
	replica string
	// held is the event of the present run that awaits a confirmation.
	held heldEvent
	// contested is what an earlier run gave for the event after last, if that was not confirmed.
	contested contestedEvent
}

// heldEvent is an event that awaits the number of the next one, with the comments that followed it; empty if there is none.
type heldEvent struct {
	text   []byte
	number uint64
}

func (h heldEvent) exists() bool { return len(h.text) > 0 }

// contestedEvent is the number that a replica gave; there is none if replica is empty.
type contestedEvent struct {
	number  eventNumber
	replica string
}

// numberVerdict says what is known of a number.
type numberVerdict int

const (
	// numberConfirmed means that the event may be passed on, numberUnconfirmed that the next one is awaited, and numberWrong that the
	// run must end.
	numberConfirmed numberVerdict = iota
	numberUnconfirmed
	numberWrong
)

// beginRun records that a run at a replica continues the stream after last. An event that the run before held has not reached the caller.
func (p *streamPosition) beginRun(replica string) {
	if p.held.exists() {
		p.contest(eventNumber{form: numberValid, value: p.held.number})
	}
	p.replica, p.held = replica, heldEvent{}
}

// accept takes the next event of the run. It returns the bytes that may be passed on now, and false if nothing more of the run may be.
func (p *streamPosition) accept(e event) (ready []byte, sound bool) {
	switch {
	case e.number.form == numberValid:
		return p.acceptNumbered(e)
	case e.number.form == numberAbsent && !e.hasData:
		if p.held.exists() {
			p.held.text = append(p.held.text, e.text...)
			return nil, true
		}
		return e.text, true
	default:
		return p.acceptUnnumbered(e)
	}
}

// acceptNumbered takes an event with a number.
func (p *streamPosition) acceptNumbered(e event) (ready []byte, sound bool) {
	if p.held.exists() {
		if e.number.value <= p.held.number || p.beginsLow(e.number) {
			return nil, false
		}
		ready = p.releaseHeld()
	}
	switch p.judge(e.number) {
	case numberConfirmed:
		p.advance(e.number.value)
		if ready == nil {
			return e.text, true
		}
		return append(ready, e.text...), true
	case numberUnconfirmed:
		p.held = heldEvent{text: slices.Clone(e.text), number: e.number.value}
		return ready, true
	case numberWrong:
	}
	return ready, false
}

// beginsLow reports whether the held event is the first one, and its number 0 and that of the next one 2: it is probably a wrong one in
// place of 1, and would have the first event sent again.
func (p *streamPosition) beginsLow(next eventNumber) bool {
	return !p.known && p.held.number == 0 && next.value == 2
}

// acceptUnnumbered takes an event with data but without a number. Nobody could continue a numbered stream after it.
func (p *streamPosition) acceptUnnumbered(e event) (ready []byte, sound bool) {
	isInvalid := e.number.form == numberInvalid
	expectsNumber := (isInvalid && (p.known || p.resumable)) || (p.known && p.resumable)
	switch {
	case p.held.exists():
		return nil, false
	case expectsNumber && !p.agreed(e.number):
		p.contest(e.number)
		return nil, false
	default:
		p.unnumbered, p.contested = true, contestedEvent{}
		return e.text, true
	}
}

// judge decides on a number by those before it.
func (p *streamPosition) judge(n eventNumber) numberVerdict {
	switch {
	case !p.known:
		return p.judgeFirst(n)
	case n.value <= p.last:
		return numberWrong
	case n.value == p.last+1, p.isRegular() && n.value == p.last+p.step, p.agreed(n):
		return numberConfirmed
	case p.isRegular() && (p.resumable || p.step == 1):
		p.contest(n)
		return numberWrong
	case !p.resumable:
		return numberConfirmed
	default:
		return numberUnconfirmed
	}
}

// isRegular reports whether the numbers so far show how far the next one is above the last.
func (p *streamPosition) isRegular() bool { return !p.varies && p.equalSteps >= minEqualSteps }

// judgeFirst decides on the number of the first event of a stream. Most streams begin with 1.
func (p *streamPosition) judgeFirst(n eventNumber) numberVerdict {
	if n.value == 1 || !p.resumable || p.agreed(n) {
		return numberConfirmed
	}
	return numberUnconfirmed
}

// agreed reports whether another replica gave the same number for the event after last.
func (p *streamPosition) agreed(n eventNumber) bool {
	return p.contested.replica != "" && p.contested.replica != p.replica && p.contested.number == n
}

// contest records what the run gave for the event after last.
func (p *streamPosition) contest(n eventNumber) {
	p.contested = contestedEvent{number: n, replica: p.replica}
}

// releaseHeld returns the held event, which has been confirmed.
func (p *streamPosition) releaseHeld() []byte {
	text := p.held.text
	p.advance(p.held.number)
	p.held = heldEvent{}
	return text
}

// advance records that the caller has the event with a number.
func (p *streamPosition) advance(number uint64) {
	if p.known {
		p.recordStep(number - p.last)
	}
	p.last, p.known, p.contested = number, true, contestedEvent{}
}

func (p *streamPosition) recordStep(step uint64) {
	switch p.step {
	case 0:
		p.step, p.equalSteps = step, 1
	case step:
		p.equalSteps++
	default:
		p.varies = true
	}
}

// endRun takes the regular end of the run. It returns the bytes that are still to be passed on, and whether the caller then has the
// whole stream. It has not if a run gave an event after the last one whose number was not confirmed.
func (p *streamPosition) endRun() (ready []byte, complete bool) {
	if p.held.exists() && p.known && (p.varies || p.held.number == p.last+p.step) {
		ready = p.releaseHeld()
	}
	return ready, !p.held.exists() && p.contested.replica == ""
}
