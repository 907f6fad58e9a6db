package mangoledger

import (
	"context"
	"time"

	"mangopath.org/mangopath/pkg/mangomessage"
)

// Finish keeps the answer of a call for resends at once and writes the Done record in the background.
// The context is not used for the write, so a caller that went away loses nothing.
func (l *Ledger) Finish(_ context.Context, t *Ticket, status int, contentType string, answer []byte) {
	l.memory.end(entry{
		store: t.store, attempt: t.Attempt, digest: t.Digest, state: StateDone,
		status: status, contentType: contentType, answer: answer, expires: time.Now().Add(l.config.retention),
	})
	record := l.record(t, StateDone)
	keep := l.bytes.Load()+int64(len(answer)) <= int64(l.config.queueBytes)
	setAnswer(record, status, contentType, answer, keep)
	l.enqueue(&job{store: t.store, attempt: t.Attempt, version: t.version, lease: t.lease, record: record})
}

// Abandon gives up a call that was proved not to have run and writes NotRun in the background.
func (l *Ledger) Abandon(t *Ticket) {
	// A ticket that was not spent must not be dispatched later.
	t.spent.Store(true)
	l.memory.release(t.store, t.Attempt, true)
	l.enqueue(&job{
		store: t.store, attempt: t.Attempt, version: t.version, lease: t.lease, record: l.record(t, StateNotRun),
	})
}

// MarkUnknown ends a call that may have run; its record stays Started.
func (l *Ledger) MarkUnknown(t *Ticket) {
	l.memory.end(entry{
		store: t.store, attempt: t.Attempt, digest: t.Digest, state: StateUnknown,
		expires: time.Now().Add(l.config.retention),
	})
}

// Confirm notes that the owner of an attempt said that it never runs, so that Begin may take its record over.
func (l *Ledger) Confirm(attempt string) {
	if attempt != "" {
		l.memory.setIdle(attempt)
	}
}

// Lookup returns what this process knows about an attempt of a call, without asking the store. An empty attempt
// stands for the latest one of the call, for which NotRun is never returned.
func (l *Ledger) Lookup(customer, key, attempt string) *mangomessage.StatusReply {
	return l.memory.lookup(recordKey(customer, key), attempt, time.Now())
}

// Stats are counts of the background writes.
type Stats struct {
	// Queued writes wait or run now.
	Queued int64
	// Dropped writes did not fit into the queue; their records stay Started.
	Dropped int64
}

// Stats returns the present counts.
func (l *Ledger) Stats() Stats {
	return Stats{Queued: l.queued.Load(), Dropped: l.dropped.Load()}
}
