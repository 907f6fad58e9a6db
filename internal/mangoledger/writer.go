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
	writers      = 4
	writeTimeout = 3 * time.Second
	minBackoff   = 50 * time.Millisecond
	// maxBackoff bounds the time for which records stay Started after the store is back.
	maxBackoff = 2 * time.Second
)

// job writes the last state of a record. Version 0 means that the version is not known.
type job struct {
	store   string
	attempt string
	version uint64
	lease   uint64
	record  *mangomessage.Record
}

func (l *Ledger) enqueue(j *job) {
	l.queued.Add(1)
	l.bytes.Add(int64(len(j.record.Answer)))
	select {
	case l.jobs <- j:
	default:
		l.dropped.Add(1)
		l.finished(j)
	}
}

func (l *Ledger) finished(j *job) {
	l.bytes.Add(-int64(len(j.record.Answer)))
	l.queued.Add(-1)
}

// Run writes records until the context ends; writes that are queued then are lost, so Flush comes first.
func (l *Ledger) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	for range writers {
		g.Go(func() error {
			for {
				select {
				case <-ctx.Done():
					return ctx.Err()
				case j := <-l.jobs:
					l.settle(ctx, j)
				}
			}
		})
	}
	return g.Wait()
}

// Flush waits until all queued writes were made; Run must be running.
func (l *Ledger) Flush(ctx context.Context) error {
	tick := time.NewTicker(10 * time.Millisecond)
	defer tick.Stop()
	for l.queued.Load() > 0 {
		select {
		case <-ctx.Done():
			return &Error{Op: "Flush", Kind: KindUnavailable, Err: ctx.Err()}
		case <-tick.C:
		}
	}
	return nil
}

// settle retries a write until it is made or has become pointless.
func (l *Ledger) settle(ctx context.Context, j *job) {
	defer l.finished(j)
	wait := minBackoff
	for !l.attempt(ctx, j) {
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
		wait = min(2*wait, maxBackoff)
	}
}

// attempt tries a write once and reports whether nothing is left to do.
func (l *Ledger) attempt(ctx context.Context, j *job) bool {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	if j.version == 0 {
		open, err := l.locate(ctx, j)
		if err != nil || !open {
			return err == nil
		}
	}
	value, err := proto.Marshal(j.record)
	if err != nil {
		return true
	}
	_, err = l.config.background.Put(ctx, mangostore.Item{Key: j.store, Value: value, Version: j.version, LeaseID: j.lease})
	if err == nil {
		return true
	}
	kind := storeKind(err)
	if kind == mangostore.KindConflict {
		j.version = 0
	}
	// With these the record has expired, or the service will never take it.
	return kind == mangostore.KindLeaseLost || kind == mangostore.KindInvalid
}

// locate finds the version of a Started record of the attempt; false means that there is none to change.
func (l *Ledger) locate(ctx context.Context, j *job) (bool, error) {
	item, err := l.config.background.Get(ctx, j.store)
	if err != nil {
		return false, err
	}
	if item.Version == 0 {
		return false, nil
	}
	r, err := decode(item.Value)
	if err != nil || r.Attempt != j.attempt || r.State != StateStarted {
		return false, nil //nolint:nilerr // a record that cannot be read is not this attempt's to change
	}
	j.version, j.lease = item.Version, item.LeaseID
	return true, nil
}

var _ error = (*Error)(nil)
