package mangoledger

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	"mangopath.org/mangopath/internal/mangostore"
	"mangopath.org/mangopath/pkg/mangomessage"
)

const (
	writerCount  = 4
	writeTimeout = 3 * time.Second
	minBackoff   = 50 * time.Millisecond
	// maxBackoff bounds how long records stay Started after the store is reachable again.
	maxBackoff = 2 * time.Second
)

// recordWrite is a queued write of the final state of a record. Version 0 means that the version in the store is unknown.
type recordWrite struct {
	storeKey string
	attempt  string
	version  uint64
	leaseID  uint64
	record   *mangomessage.Record
}

// enqueue queues a write, or drops it if the queue is full.
func (l *Ledger) enqueue(w *recordWrite) {
	l.queuedWrites.Add(1)
	l.queuedBytes.Add(int64(len(w.record.Answer)))
	select {
	case l.writes <- w:
	default:
		l.droppedWrites.Add(1)
		l.removeQueued(w)
	}
}

// removeQueued removes a write from the counts of queued writes.
func (l *Ledger) removeQueued(w *recordWrite) {
	l.queuedBytes.Add(-int64(len(w.record.Answer)))
	l.queuedWrites.Add(-1)
}

// Run makes the queued writes until the context ends. Writes that are queued then are lost, so call Flush first.
func (l *Ledger) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	for range writerCount {
		g.Go(func() error {
			for {
				select {
				case <-ctx.Done():
					return ctx.Err()
				case w := <-l.writes:
					l.writeWithRetries(ctx, w)
				}
			}
		})
	}
	return g.Wait()
}

// Flush waits until the queue is empty and no write is in progress; Run must be running.
func (l *Ledger) Flush(ctx context.Context) error {
	ticker := time.NewTicker(10 * time.Millisecond)
	defer ticker.Stop()
	for l.queuedWrites.Load() > 0 {
		select {
		case <-ctx.Done():
			return &Error{Op: "Flush", Kind: KindUnavailable, Err: ctx.Err()}
		case <-ticker.C:
		}
	}
	return nil
}

// writeWithRetries retries a write until it succeeds or can no longer succeed.
func (l *Ledger) writeWithRetries(ctx context.Context, w *recordWrite) {
	defer l.removeQueued(w)
	wait := minBackoff
	for !l.tryWrite(ctx, w) {
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
		wait = min(2*wait, maxBackoff)
	}
}

// tryWrite tries a write once. It returns false if the write should be retried.
func (l *Ledger) tryWrite(ctx context.Context, w *recordWrite) bool {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	if w.version == 0 {
		found, err := l.findStartedRecord(ctx, w)
		if err != nil || !found {
			return err == nil
		}
	}
	value, err := proto.Marshal(w.record)
	if err != nil {
		return true
	}
	_, err = l.config.backgroundStore.Put(ctx, mangostore.Item{
		Key: w.storeKey, Value: value, Version: w.version, LeaseID: w.leaseID,
	})
	if err == nil {
		return true
	}
	kind := storeKind(err)
	if kind == mangostore.KindConflict {
		w.version = 0
	}
	// The record has expired (KindLeaseLost), or the store rejects it on every try (KindInvalid).
	return kind == mangostore.KindLeaseLost || kind == mangostore.KindInvalid
}

// findStartedRecord reads the version and lease of the Started record of the attempt. It returns false if the store has no
// such record, so there is nothing to write.
func (l *Ledger) findStartedRecord(ctx context.Context, w *recordWrite) (bool, error) {
	item, err := l.config.backgroundStore.Get(ctx, w.storeKey)
	if err != nil {
		return false, err
	}
	if item.Version == 0 {
		return false, nil
	}
	r, err := decodeRecord(item.Value)
	if err != nil || r.Attempt != w.attempt || r.State != StateStarted {
		return false, nil //nolint:nilerr // a record that cannot be decoded may belong to another attempt
	}
	w.version, w.leaseID = item.Version, item.LeaseID
	return true, nil
}

var _ error = (*Error)(nil)
