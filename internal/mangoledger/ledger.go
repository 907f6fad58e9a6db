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

// maxRounds bounds the compare-and-swaps of one Begin; more than two are needed only while others write the same key.
const maxRounds = 6

// Ledger holds the at-most-once records of one daemon.
type Ledger struct {
	store   mangostore.Store
	owner   string
	address string
	config  config
	leases  *bucketLease
	memory  *memory
	jobs    chan *job
	queued  atomic.Int64
	bytes   atomic.Int64
	dropped atomic.Int64
}

// New returns a ledger for the daemon of a name whose peers reach it at ownerAddress.
func New(store mangostore.Store, owner, ownerAddress string, opts ...Option) *Ledger {
	c := defaults()
	c.background = store
	for _, o := range opts {
		o(&c)
	}
	return &Ledger{
		store: store, owner: owner, address: ownerAddress, config: c,
		leases: newBucketLease(store, c.retention, c.bucket),
		memory: newMemory(c.cacheBytes),
		jobs:   make(chan *job, c.queue),
	}
}

// Begin creates the Started record of a call. All errors are of type *Error.
func (l *Ledger) Begin(ctx context.Context, customer, key, digest string) (*Ticket, error) {
	if !validKey(customer, key, digest) {
		return nil, &Error{Op: "Begin", Kind: KindInvalid}
	}
	now := time.Now()
	t := &Ticket{
		Customer: customer, Key: key, Digest: digest, Attempt: rand.Text(),
		store: recordKey(customer, key), deadline: now.Add(l.config.bound),
	}
	known, free := l.memory.reserve(entry{store: t.store, attempt: t.Attempt, digest: digest, state: StateRunning}, now)
	if !free {
		return nil, l.known(t, known)
	}
	ctx, cancel := context.WithDeadline(ctx, t.deadline)
	defer cancel()
	if err := l.claim(ctx, t); err != nil {
		l.memory.release(t.store, t.Attempt, err.Kind == KindPending)
		if err.Kind == KindPending {
			l.enqueue(&job{store: t.store, attempt: t.Attempt, record: l.record(t, StateNotRun)})
		}
		return nil, err
	}
	return t, nil
}

// known turns what this process remembers about a call into the error for a resend.
func (l *Ledger) known(t *Ticket, e entry) *Error {
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

// claim writes the Started record at the version at which the key is free.
func (l *Ledger) claim(ctx context.Context, t *Ticket) *Error {
	for range maxRounds {
		lease, err := l.leases.get(ctx)
		if err != nil {
			return l.readOnly(ctx, t, &Error{Op: "Grant", Kind: KindUnavailable, Err: err})
		}
		t.lease = lease
		won, failed := l.write(ctx, t)
		if won || failed != nil {
			return failed
		}
	}
	return &Error{Op: "Begin", Kind: KindContended, Err: errors.New("the record kept changing")}
}

// write makes one compare-and-swap; neither result means that another round is to be tried at t.version.
func (l *Ledger) write(ctx context.Context, t *Ticket) (bool, *Error) {
	version, err := l.store.Put(ctx, l.item(t, l.record(t, StateStarted)))
	if err == nil {
		t.version = version
		return true, nil
	}
	switch storeKind(err) {
	case mangostore.KindConflict:
		return l.readBack(ctx, t, false)
	case mangostore.KindLeaseLost:
		l.leases.drop(t.lease)
		return false, nil
	case mangostore.KindUnavailable, mangostore.KindLimited, mangostore.KindInvalid:
		return false, l.readOnly(ctx, t, &Error{Op: "Put", Kind: KindUnavailable, Err: err})
	case mangostore.KindUnknown:
	}
	return l.readBack(ctx, t, true)
}

// readBack reads the record and decides by its attempt. With lost set, the write of t.Attempt may still take effect.
func (l *Ledger) readBack(ctx context.Context, t *Ticket, lost bool) (bool, *Error) {
	item, err := l.store.Get(ctx, t.store)
	if err != nil {
		if lost {
			return false, &Error{Op: "Get", Kind: KindPending, Err: err}
		}
		return false, &Error{Op: "Get", Kind: KindUnavailable, Err: err}
	}
	var r *mangomessage.Record
	if item.Version != 0 {
		if r, err = decode(item.Value); err != nil {
			return false, &Error{Op: "Get", Kind: KindCorrupt, Err: err}
		}
		if r.Attempt == t.Attempt {
			t.version, t.lease = item.Version, item.LeaseID
			return true, nil
		}
	}
	t.version = item.Version
	if lost {
		// The lost write may arrive late, so its attempt is given up for good and the next round has a new one.
		l.memory.setIdle(t.Attempt)
		next := rand.Text()
		l.memory.replace(t.store, t.Attempt, next)
		t.Attempt = next
	}
	return false, l.judge(t, r)
}

// readOnly looks for the record of a call when the store cannot be written, so that a resend still gets its answer.
func (l *Ledger) readOnly(ctx context.Context, t *Ticket, failed *Error) *Error {
	item, err := l.store.Get(ctx, t.store)
	if err != nil || item.Version == 0 {
		return failed
	}
	r, err := decode(item.Value)
	if err != nil {
		return &Error{Op: "Get", Kind: KindCorrupt, Err: err}
	}
	if known := l.judge(t, r); known != nil {
		return known
	}
	return &Error{Op: failed.Op, Kind: KindContended, Err: failed.Err}
}

// judge returns nil when the key is free at the version that was read.
func (l *Ledger) judge(t *Ticket, r *mangomessage.Record) *Error {
	switch {
	case r == nil:
		return nil
	case r.BodyDigest != t.Digest:
		return &Error{Op: "Begin", Kind: KindMismatch, Record: r}
	case r.State == StateDone:
		return &Error{Op: "Begin", Kind: KindDone, Record: r}
	case r.State == StateNotRun || l.memory.isIdle(r.Attempt):
		return nil
	default:
		return &Error{Op: "Begin", Kind: KindStarted, Record: r}
	}
}

func (l *Ledger) record(t *Ticket, state string) *mangomessage.Record {
	return &mangomessage.Record{
		Customer: t.Customer, Key: t.Key, BodyDigest: t.Digest, Owner: l.owner, OwnerAddress: l.address,
		Attempt: t.Attempt, State: state,
	}
}

func (l *Ledger) item(t *Ticket, r *mangomessage.Record) mangostore.Item {
	// Marshal fails only on invalid UTF-8, which validKey and setAnswer exclude.
	value, _ := proto.Marshal(r)
	return mangostore.Item{Key: t.store, Value: value, Version: t.version, LeaseID: t.lease}
}

func storeKind(err error) mangostore.Kind {
	var e *mangostore.Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return mangostore.KindUnknown
}
