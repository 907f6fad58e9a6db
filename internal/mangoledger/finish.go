package mangoledger

import (
	"context"
	"time"

	"mangopath.org/mangopath/pkg/mangomessage"
)

// Finish keeps the answer of a call for resends at once and writes the Done record in the background.
// The context is not used for the write, so a caller that went away loses nothing.
func (l *Ledger) Finish(_ context.Context, t *Ticket, status int, contentType string, answer []byte) {
	l.calls.end(callEntry{
		storeKey: t.storeKey, attempt: t.Attempt, digest: t.Digest, state: StateDone,
		status: status, contentType: contentType, answer: answer, expiresAt: time.Now().Add(l.config.retention),
	})
	record := l.newRecord(t, StateDone)
	keep := l.queuedBytes.Load()+int64(len(answer)) <= int64(l.config.queueBytes)
	setAnswer(record, status, contentType, answer, keep)
	l.enqueue(&recordWrite{storeKey: t.storeKey, attempt: t.Attempt, version: t.version, leaseID: t.leaseID, record: record})
}

// Abandon gives up a call that was proved not to have run and writes NotRun in the background.
func (l *Ledger) Abandon(t *Ticket) {
	// A ticket that was not spent must not be dispatched later.
	t.used.Store(true)
	l.calls.release(t.storeKey, t.Attempt, true)
	l.enqueue(&recordWrite{
		storeKey: t.storeKey, attempt: t.Attempt, version: t.version, leaseID: t.leaseID, record: l.newRecord(t, StateNotRun),
	})
}

// MarkUnknown ends a call that may have run; its record stays Started.
func (l *Ledger) MarkUnknown(t *Ticket) {
	l.calls.end(callEntry{
		storeKey: t.storeKey, attempt: t.Attempt, digest: t.Digest, state: StateUnknown,
		expiresAt: time.Now().Add(l.config.retention),
	})
}

// Confirm notes that the owner of an attempt said that it never runs, so that Begin may take its record over.
func (l *Ledger) Confirm(attempt string) {
	if attempt != "" {
		l.calls.markNeverRun(attempt)
	}
}

// Lookup returns what this process knows about an attempt of a call, without asking the store. An empty attempt
// stands for the latest one of the call, for which NotRun is never returned.
func (l *Ledger) Lookup(customer, key, attempt string) *mangomessage.StatusReply {
	return l.calls.lookup(recordKey(customer, key), attempt, time.Now())
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
	return Stats{Queued: l.queuedWrites.Load(), Dropped: l.droppedWrites.Load()}
}
