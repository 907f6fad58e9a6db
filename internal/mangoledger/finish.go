package mangoledger

import (
	"context"
	"time"

	"mangopath.org/mangopath/pkg/mangomessage"
)

// Finish keeps the answer of a call in memory for resends and queues the write of the Done record. The write does not use
// the context, so it is made even if the caller disconnects.
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

// Abandon ends a call that certainly did not run and queues the write of the NotRun record.
func (l *Ledger) Abandon(t *Ticket) {
	// An unused ticket must not allow a dispatch later.
	t.used.Store(true)
	l.calls.release(t.storeKey, t.Attempt, true)
	l.enqueue(&recordWrite{
		storeKey: t.storeKey, attempt: t.Attempt, version: t.version, leaseID: t.leaseID, record: l.newRecord(t, StateNotRun),
	})
}

// MarkUnknown ends a call that may have run. Its record stays in state Started.
func (l *Ledger) MarkUnknown(t *Ticket) {
	l.calls.end(callEntry{
		storeKey: t.storeKey, attempt: t.Attempt, digest: t.Digest, state: StateUnknown,
		expiresAt: time.Now().Add(l.config.retention),
	})
}

// ConfirmNotRun records that the owner of an attempt reported NotRun for it, so that Begin may overwrite its record.
func (l *Ledger) ConfirmNotRun(attempt string) {
	if attempt != "" {
		l.calls.markNeverRun(attempt)
	}
}

// Lookup returns what this process knows about an attempt of a call, without a read of the store. An empty attempt means
// the latest one of the call, for which NotRun is never returned.
func (l *Ledger) Lookup(customer, key, attempt string) *mangomessage.StatusReply {
	return l.calls.lookup(recordKey(customer, key), attempt, time.Now())
}

// Stats has counts of the background writes.
type Stats struct {
	// Queued is the number of writes that are waiting or in progress.
	Queued int64
	// Dropped is the number of writes that did not fit into the queue since the start. Their records stay Started.
	Dropped int64
}

// Stats returns the current counts.
func (l *Ledger) Stats() Stats {
	return Stats{Queued: l.queuedWrites.Load(), Dropped: l.droppedWrites.Load()}
}
