package mangohub

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"mangopath.org/mangopath/internal/mangorevision"
	"mangopath.org/mangopath/internal/mangostate"
)

const (
	// maxWatchWait is the longest time for which the store may hold a watch without changes.
	maxWatchWait = 25 * time.Second
	// minBatchPause is the pause after an answer with changes, so that the next answer batches the rest of a burst. A daemon
	// that reads without a seat, because it hears from no hub, pauses for unseatedBatchPause, since many may do so at once.
	minBatchPause      = 120 * time.Millisecond
	unseatedBatchPause = 700 * time.Millisecond
	// burstGap is the time without changes after which the next change starts a new burst, in which the pause of a hub
	// grows to burstBatchPause.
	burstGap        = 2 * time.Second
	burstBatchPause = 250 * time.Millisecond
	// minRetryPause and maxRetryPause bound the growing pause after a failed call of a hub, and maxUnseatedRetryPause that of
	// other daemons.
	minRetryPause         = 100 * time.Millisecond
	maxRetryPause         = 800 * time.Millisecond
	maxUnseatedRetryPause = 8 * time.Second
	// probeWait is the time for which the store may hold a watch that begins while it is away, and probeTimeout bounds that call, so that a
	// hub finds out soon that the store is back.
	probeWait    = time.Millisecond
	probeTimeout = 600 * time.Millisecond
	// slowProbeEach is the number of calls after which one is not bounded by probeTimeout, as the store may be that slow.
	slowProbeEach = 8
	// formerSeatTime is the time after the loss of a seat for which a daemon calls a store that is away as often as a hub. In an outage that
	// outlasts the leases nobody holds a seat, and somebody has to notice the return.
	formerSeatTime = time.Minute
	// outageMemory is the time after a failed call from which the next one belongs to another outage. It is longer than any pause.
	outageMemory = 2 * maxUnseatedRetryPause
	// hubGrace is the time without a hub after which a daemon reads the store itself, plus a random time up to
	// hubGraceJitter. A hub that has just taken its seat is found within it.
	hubGrace       = 300 * time.Millisecond
	hubGraceJitter = 300 * time.Millisecond
	// unconfirmedGrace is the time after which a daemon whose hub has lost the store tries it itself, plus a random time up
	// to unconfirmedJitter: the store may turn away only some of the daemons.
	unconfirmedGrace  = 400 * time.Millisecond
	unconfirmedJitter = 1000 * time.Millisecond
	// snapshotLogInterval is the least time between two log lines on snapshots.
	snapshotLogInterval = time.Second
	// deafTime is the time for which a hub reads the store itself after another one has lagged behind.
	deafTime = 2 * time.Second
	// roleCheckInterval is the time between two checks whether this daemon has to read the store.
	roleCheckInterval = 50 * time.Millisecond
)

// Holder tells which seat this daemon holds.
type Holder interface {
	// Held returns the seat; ok is false if this daemon holds none.
	Held() (seat int, ok bool)
}

// Upstream tells what this daemon hears from its hub.
type Upstream interface {
	// Link returns the state of the stream from the hub.
	Link() Link
	// IsPrimary reports whether the other hubs expect this daemon to read the store on their behalf.
	IsPrimary() bool
}

// Reader reads the store into the mirror while that is this daemon's duty, or when it hears from no hub.
type Reader struct {
	store    Source
	mirror   *Mirror
	seats    Holder
	upstream Upstream
	logger   logrus.FieldLogger
	// onContact is called when a call has reached the store.
	onContact func()
	// reading says that the last decision was to read.
	reading bool
	// retryPause is the pause after the next failed call, and failedAt the time of the last one.
	retryPause time.Duration
	failedAt   time.Time
	// seatedAt is when this daemon was last seen to hold a seat.
	seatedAt time.Time
	// failedCalls is the number of calls that have failed since the last one that did not.
	failedCalls int
	// grace and unconfirmed are the times to wait, drawn anew whenever the link changes.
	grace, unconfirmed time.Duration
	drawnFor           Link
	// snapshots is the number of snapshots since the last log line on them, at snapshotLoggedAt.
	snapshots        int
	snapshotLoggedAt time.Time
	// deafAt is when the user of the mirror last gave up waiting for a change that the store has.
	deafAt time.Time
}

// ReaderOption sets a property of a Reader.
type ReaderOption func(*Reader)

// WithReaderLogger sets the logger of what is read by whom.
func WithReaderLogger(l logrus.FieldLogger) ReaderOption { return func(r *Reader) { r.logger = l } }

// WithContact sets the function that is called when a call has reached the store. It must not block.
func WithContact(f func()) ReaderOption { return func(r *Reader) { r.onContact = f } }

// NewReader returns a reader of a store.
func NewReader(store Source, mirror *Mirror, seats Holder, upstream Upstream, opts ...ReaderOption) *Reader {
	r := &Reader{store: store, mirror: mirror, seats: seats, upstream: upstream, logger: logrus.StandardLogger(), onContact: func() {}, retryPause: minRetryPause}
	for _, o := range opts {
		o(r)
	}
	return r
}

// Run reads the store while needed, until the context ends.
func (r *Reader) Run(ctx context.Context) error {
	compacted := false
	var lastChange time.Time
	for ctx.Err() == nil {
		if !r.awaitDuty(ctx) {
			return ctx.Err()
		}
		snapshot := compacted || !r.mirror.Loaded()
		begun := time.Now()
		items, revision, abandoned, err := r.read(ctx, snapshot, compacted)
		if abandoned {
			continue
		}
		now := time.Now()
		var pause time.Duration
		failed := false
		switch {
		case err == nil && snapshot:
			known := r.mirror.Revision()
			r.mirror.Load(items, revision)
			r.logSnapshot(len(items), revision, known, compacted, now)
		case err == nil:
			r.mirror.Append(items, revision)
			if len(items) > 0 {
				pause = r.batchPause(now.Sub(lastChange))
				lastChange = now
			}
		case needsSnapshot(err):
			// The next snapshot is a fresh one: an old one could end before the history that the store still has.
		default:
			failed = true
		}
		if err == nil && (!snapshot || compacted) {
			r.mirror.Confirm(revision, 0)
		}
		compacted = needsSnapshot(err)
		r.recordResult(begun, err)
		if failed {
			r.failedCalls++
			r.pauseAfterFailure(ctx, begun, now)
			continue
		}
		r.failedCalls = 0
		if pause > 0 {
			_ = sleep(ctx, pause)
		}
	}
	return ctx.Err()
}

// logSnapshot logs a snapshot, with the revision that the mirror had before it and the one that it has now.
func (r *Reader) logSnapshot(items int, revision, known uint64, compacted bool, now time.Time) {
	r.snapshots++
	if now.Sub(r.snapshotLoggedAt) < snapshotLogInterval {
		return
	}
	r.logger.WithFields(logrus.Fields{
		"event": "store_snapshot", "items": items, "revision": mangorevision.Text(revision), "known": mangorevision.Text(known), "kept": mangorevision.Text(r.mirror.Revision()), "history_gone": compacted, "snapshots": r.snapshots,
	}).Info("this daemon has read everything from the store")
	r.snapshots, r.snapshotLoggedAt = 0, now
}

// pauseAfterFailure waits after a failed call, longer after each of a series. The wait ends early when this daemon no longer has to
// read the store, when it takes or loses a seat, and when another daemon has shown that the store has changes. The calls of a hub begin
// AwayCallInterval apart at most, as the last one that failed bounds from when the store may have been back.
func (r *Reader) pauseAfterFailure(ctx context.Context, begun, now time.Time) {
	if now.Sub(r.failedAt) > outageMemory {
		// The last failure belongs to an earlier outage.
		r.retryPause = minRetryPause
	}
	r.failedAt = now
	_, seated := r.seats.Held()
	pause := r.retryPause/2 + rand.N(r.retryPause)
	if r.callsAsHub(now) {
		pause = min(pause, max(mangostate.AwayCallInterval-now.Sub(begun), minRetryPause/2))
	}
	timer := time.NewTimer(pause)
	defer timer.Stop()
	r.retryPause = min(2*r.retryPause, r.maxRetryPause())
	tick := time.NewTicker(roleCheckInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			return
		case <-r.mirror.restart:
			return
		case <-tick.C:
			if _, held := r.seats.Held(); held != seated || !r.hasDuty(time.Now()) {
				return
			}
		}
	}
}

// RecordCall records whether a call that another component of this daemon made, and that began at a time, reached the store.
func (r *Reader) RecordCall(begun time.Time, err error) { r.mirror.SetOwnContact(err == nil, begun) }

// recordResult records whether a call of Run reached the store. A compacted history shows that it did. A refusal without a call shows
// nothing: taken for contact, it would hide an outage in which snapshots fail after a restore.
func (r *Reader) recordResult(begun time.Time, err error) {
	if isKind(err, mangostate.KindRestored) {
		return
	}
	if isKind(err, mangostate.KindCompacted) {
		err = nil
	}
	r.RecordCall(begun, err)
	if err == nil {
		r.retryPause = minRetryPause
		r.onContact()
		return
	}
	r.logger.WithFields(logrus.Fields{"event": "store_call_failed", "revision": mangorevision.Text(r.mirror.Revision())}).WithError(err).
		Warn("the store could not be read")
}

// read makes one call. It reports abandoned if the call was cancelled because it was no longer needed, or was a watch
// that seemed deaf.
func (r *Reader) read(ctx context.Context, snapshot, fresh bool) (items []Item, revision uint64, abandoned bool, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	wait := maxWatchWait
	if (r.failedCalls > 0 || !r.mirror.Contact()) && !snapshot {
		wait = probeWait
		if r.failedCalls%slowProbeEach != 0 {
			var end context.CancelFunc
			ctx, end = context.WithTimeout(ctx, probeTimeout)
			defer end()
		}
	}
	done, cancelled := make(chan struct{}), make(chan bool, 1)
	go func() {
		cancelled <- r.cancelWhenUnneeded(done, cancel, snapshot, wait == maxWatchWait)
	}()
	if snapshot {
		items, revision, err = r.store.Snapshot(ctx, fresh)
	} else {
		items, revision, err = r.store.Watch(ctx, r.mirror.Revision(), wait)
	}
	close(done)
	// An answer that arrived just before the cancellation is still used.
	return items, revision, <-cancelled && err != nil, err
}

// batchPause returns the pause after an answer with changes; since is the time since the previous such answer.
func (r *Reader) batchPause(since time.Duration) time.Duration {
	_, seated := r.seats.Held()
	switch {
	case !seated:
		return unseatedBatchPause
	case since >= burstGap:
		return minBatchPause
	default:
		return burstBatchPause
	}
}

func (r *Reader) maxRetryPause() time.Duration {
	if r.callsAsHub(time.Now()) {
		return maxRetryPause
	}
	return maxUnseatedRetryPause
}

// callsAsHub reports whether this daemon calls a store that is away as often as a hub: it holds a seat, or did lately.
func (r *Reader) callsAsHub(now time.Time) bool {
	if _, seated := r.seats.Held(); seated {
		return true
	}
	return !r.seatedAt.IsZero() && now.Sub(r.seatedAt) < formerSeatTime
}

// needsSnapshot reports whether no watch can lead on from the revision of the mirror.
func needsSnapshot(err error) bool {
	return isKind(err, mangostate.KindCompacted) || isKind(err, mangostate.KindRestored)
}

func isKind(err error, kind mangostate.Kind) bool {
	var e *mangostate.Error
	return errors.As(err, &e) && e.Kind == kind
}

// sleep waits for a duration; it reports false if the context ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
