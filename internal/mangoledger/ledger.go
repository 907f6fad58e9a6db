package mangoledger

import (
	"context"
	"crypto/rand"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"mangopath.org/mangopath/internal/mangostore"
	"mangopath.org/mangopath/pkg/mangomessage"
)

// maxBeginWrites bounds the compare-and-swaps of one Begin. More than two are needed only while others write the same key.
const maxBeginWrites = 6

// Ledger writes and reads the at-most-once records of one daemon.
type Ledger struct {
	store         mangostore.Store
	owner         string
	address       string
	config        config
	lease         *sharedLease
	calls         *callTable
	writes        chan *recordWrite
	queuedWrites  atomic.Int64
	queuedBytes   atomic.Int64
	droppedWrites atomic.Int64
}

// New returns a ledger for the daemon with the name owner, which its peers reach at ownerAddress. Both are written to its
// records.
func New(store mangostore.Store, owner, ownerAddress string, opts ...Option) *Ledger {
	c := defaultConfig()
	c.backgroundStore = store
	for _, o := range opts {
		o(&c)
	}
	return &Ledger{
		store: store, owner: owner, address: ownerAddress, config: c,
		lease:  newSharedLease(store, c.retention, c.leasePeriod),
		calls:  newCallTable(c.cacheBytes),
		writes: make(chan *recordWrite, c.queueLength),
	}
}

// Begin creates the Started record of a call and returns the ticket for its dispatch. All errors are of type *Error.
func (l *Ledger) Begin(ctx context.Context, customer, key, digest string) (*Ticket, error) {
	if !isValidKey(customer, key, digest) {
		return nil, &Error{Op: "Begin", Kind: KindInvalid}
	}
	now := time.Now()
	t := &Ticket{
		Customer: customer, Key: key, Digest: digest, Attempt: rand.Text(),
		storeKey: recordKey(customer, key), deadline: now.Add(l.config.dispatchBound),
	}
	existing, free := l.calls.reserve(callEntry{storeKey: t.storeKey, attempt: t.Attempt, digest: digest, state: StateRunning}, now)
	if !free {
		return nil, l.knownCallError(t, existing)
	}
	ctx, cancel := context.WithDeadline(ctx, t.deadline)
	defer cancel()
	if err := l.createRecord(ctx, t); err != nil {
		l.calls.release(t.storeKey, t.Attempt, err.Kind == KindPending)
		if err.Kind == KindPending {
			l.enqueue(&recordWrite{storeKey: t.storeKey, attempt: t.Attempt, record: l.newRecord(t, StateNotRun)})
		}
		return nil, err
	}
	return t, nil
}

// knownCallError returns the error for a resend of a call that has an entry in this process.
func (l *Ledger) knownCallError(t *Ticket, e callEntry) *Error {
	r := &mangomessage.Record{
		Customer: t.Customer, Key: t.Key, BodyDigest: e.digest, Owner: l.owner, OwnerAddress: l.address,
		Attempt: e.attempt, State: StateStarted,
	}
	switch {
	case e.digest != t.Digest:
		return &Error{Op: "Begin", Kind: KindMismatch, Record: r}
	case e.state == StateDone:
		setAnswer(r, e.status, e.contentType, nil, true)
		r.Answer = e.answer
		return &Error{Op: "Begin", Kind: KindDone, Record: r}
	default:
		return &Error{Op: "Begin", Kind: KindStarted, Record: r}
	}
}

// createRecord writes the Started record, and tries again while the key changes but stays free.
func (l *Ledger) createRecord(ctx context.Context, t *Ticket) *Error {
	for range maxBeginWrites {
		lease, err := l.lease.get(ctx)
		if err != nil {
			return l.findExisting(ctx, t, &Error{Op: "Grant", Kind: KindUnavailable, Err: err})
		}
		t.leaseID = lease
		created, failed := l.tryCreate(ctx, t)
		if created || failed != nil {
			return failed
		}
	}
	return &Error{Op: "Begin", Kind: KindContended, Err: errors.New("the record or its lease changed during every write")}
}

// tryCreate makes one compare-and-swap and returns true if the record was written. With false and no error the caller
// tries again, at t.version.
func (l *Ledger) tryCreate(ctx context.Context, t *Ticket) (bool, *Error) {
	version, err := l.store.Put(ctx, l.recordItem(t, l.newRecord(t, StateStarted)))
	if err == nil {
		t.version = version
		return true, nil
	}
	switch storeKind(err) {
	case mangostore.KindConflict, mangostore.KindRestored:
		return l.readBack(ctx, t, false)
	case mangostore.KindLeaseLost:
		l.lease.forget(t.leaseID)
		return false, nil
	case mangostore.KindUnavailable, mangostore.KindLimited, mangostore.KindInvalid:
		return false, l.findExisting(ctx, t, &Error{Op: "Put", Kind: KindUnavailable, Err: err})
	case mangostore.KindUnknown:
	}
	return l.readBack(ctx, t, true)
}

// readBack reads the record after a failed write and returns true if it is that of t.Attempt. With lost set, the reply was
// lost and the write may still take effect.
func (l *Ledger) readBack(ctx context.Context, t *Ticket, lost bool) (bool, *Error) {
	item, err := l.store.Get(ctx, t.storeKey)
	if err != nil {
		if lost {
			return false, &Error{Op: "Get", Kind: KindPending, Err: err}
		}
		return false, &Error{Op: "Get", Kind: KindUnavailable, Err: err}
	}
	var r *mangomessage.Record
	if item.Version != 0 {
		if r, err = decodeRecord(item.Value); err != nil {
			return false, &Error{Op: "Get", Kind: KindCorrupt, Err: err}
		}
		if r.Attempt == t.Attempt {
			t.version, t.leaseID = item.Version, item.LeaseID
			return true, nil
		}
	}
	t.version = item.Version
	if lost {
		// The write may still take effect later, so its attempt id never runs and the next write uses a new one.
		l.calls.markNeverRun(t.Attempt)
		next := rand.Text()
		l.calls.replaceAttempt(t.storeKey, t.Attempt, next)
		t.Attempt = next
	}
	return false, l.existingRecordError(t, r)
}

// findExisting reads the record of a call when the store cannot be written, so that a resend still gets its answer. If
// there is none it returns the error of the write.
func (l *Ledger) findExisting(ctx context.Context, t *Ticket, failed *Error) *Error {
	item, err := l.store.Get(ctx, t.storeKey)
	if err != nil || item.Version == 0 {
		return failed
	}
	r, err := decodeRecord(item.Value)
	if err != nil {
		return &Error{Op: "Get", Kind: KindCorrupt, Err: err}
	}
	if existing := l.existingRecordError(t, r); existing != nil {
		return existing
	}
	return &Error{Op: failed.Op, Kind: KindContended, Err: failed.Err}
}

// existingRecordError returns the error for a key whose record is r, or nil if the key is free: without a record, or with
// one whose attempt never runs.
func (l *Ledger) existingRecordError(t *Ticket, r *mangomessage.Record) *Error {
	switch {
	case r == nil:
		return nil
	case r.BodyDigest != t.Digest:
		return &Error{Op: "Begin", Kind: KindMismatch, Record: r}
	case r.State == StateDone:
		return &Error{Op: "Begin", Kind: KindDone, Record: r}
	case r.State == StateNotRun || l.calls.isNeverRun(r.Attempt):
		return nil
	default:
		return &Error{Op: "Begin", Kind: KindStarted, Record: r}
	}
}

// newRecord returns a record of the ticket's attempt in a state.
func (l *Ledger) newRecord(t *Ticket, state string) *mangomessage.Record {
	return &mangomessage.Record{
		Customer: t.Customer, Key: t.Key, BodyDigest: t.Digest, Owner: l.owner, OwnerAddress: l.address,
		Attempt: t.Attempt, State: state,
	}
}

// recordItem returns the item that writes a record at the version and lease of the ticket.
func (l *Ledger) recordItem(t *Ticket, r *mangomessage.Record) mangostore.Item {
	// Marshal fails only on invalid UTF-8, which isValidKey and setAnswer exclude.
	value, _ := proto.Marshal(r)
	return mangostore.Item{Key: t.storeKey, Value: value, Version: t.version, LeaseID: t.leaseID}
}

// storeKind returns the kind of an error of the store. Any other error counts as KindUnknown.
func storeKind(err error) mangostore.Kind {
	var e *mangostore.Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return mangostore.KindUnknown
}
