package mangocheck

import (
	"slices"
	"time"

	"mangopath.org/mangopath/internal/mangoreplica"
	"mangopath.org/mangopath/internal/mangostate"
)

const (
	// shareInterval is the least time between two checks of a replica by one hub; requests in that time share the result.
	shareInterval = 150 * time.Millisecond
	// leastSilence is the shortest silence of a chain for which daemons request checks: the least soft limit between events in
	// mangorelay. A check that reached a replica longer ago says nothing about the silence.
	leastSilence = 45 * time.Millisecond
	// confirmDelay is the time for which the second monitor of a replica waits for the result of the first one. A check of a
	// reachable replica takes about 1 ms, and its result waits up to 5 ms for other messages to the same daemon.
	confirmDelay = 30 * time.Millisecond
	// cutOffWindow is the age up to which checks count when a hub decides whether it is cut off itself.
	cutOffWindow = time.Second
	// A hub takes itself to be cut off if at least cutOffMinFailures checks have failed and these are more than 1/cutOffDivisor of
	// all.
	cutOffMinFailures = 2
	cutOffDivisor     = 3
	// mistrustTime is the time for which a hub announces no loss alone after the other monitor has reached a replica that it could not
	// reach. A host whose link is full or that gets little processor time notices connections late, although its timers are in time.
	mistrustTime = 10 * time.Second
	// maxConcurrent bounds the checks that a hub runs at once.
	maxConcurrent = 32
	// recordRetention is the time after which the record of a replica is dropped.
	recordRetention = time.Minute
)

// Result is what a check found.
type Result int

const (
	// Reachable means that the replica accepted a connection.
	Reachable Result = iota + 1
	// Ended means that the host refused the connection, so the process has ended.
	Ended
	// Unreachable means that no attempt was answered.
	Unreachable
	// Unknown means that the check timed out while this hub was short of processor time, which says nothing about the replica.
	Unknown
)

// String returns the name of a result as it appears in logs and metrics.
func (r Result) String() string {
	return [...]string{"None", "Reachable", "Ended", "Unreachable", "Unknown"}[r]
}

// Verdict is what a result means once the other monitor's results and this hub's other checks are taken into account.
type Verdict int

const (
	// Sound means that the replica was reached; no message is sent.
	Sound Verdict = iota + 1
	// Lost means that the replica is announced as lost.
	Lost
	// Disputed means that the other monitor has reached the replica since this check began.
	Disputed
	// Withheld means that the loss is not announced, because this hub seems to be cut off, was short of processor time or was
	// contradicted lately, and the other monitor has not confirmed it.
	Withheld
)

// String returns the name of a verdict as it appears in logs and metrics.
func (v Verdict) String() string {
	return [...]string{"None", "Sound", "Lost", "Disputed", "Withheld"}[v]
}

// record is what a hub knows of the checks of a replica.
type record struct {
	replica *mangoreplica.Replica
	// requesters has the daemons that asked since the last verdict, by name.
	requesters map[string]mangostate.Member
	// due is when the next check may start; zero if none is wanted.
	due                time.Time
	running            bool
	startedAt, endedAt time.Time
	result             Result
	verdict            Verdict
	// unwitnessed says that this hub could not reach any witness either, and onlyMonitor that no other hub monitors the replica.
	unwitnessed, onlyMonitor bool
	// reachedByOther and missedByOther are when the other monitor last reached the replica, and last failed to.
	reachedByOther, missedByOther time.Time
}

// Table decides which replicas a hub checks and what the results mean. It is not safe for concurrent use.
type Table struct {
	records map[mangoreplica.Incarnation]*record
	running int
	// contradictedAt is when the other monitor last reached a replica that this hub could not reach; zero if it never did.
	contradictedAt time.Time
}

// usedAt returns the time of the latest result of this hub or of the other monitor.
func (r *record) usedAt() time.Time {
	return slices.MaxFunc([]time.Time{r.endedAt, r.reachedByOther, r.missedByOther}, time.Time.Compare)
}

// NewTable returns a table without checks.
func NewTable() *Table { return &Table{records: map[mangoreplica.Incarnation]*record{}} }

func (t *Table) record(r *mangoreplica.Replica) *record {
	rec := t.records[r.Incarnation()]
	if rec == nil {
		rec = &record{requesters: map[string]mangostate.Member{}}
		t.records[r.Incarnation()] = rec
	}
	rec.replica = r
	return rec
}

// Request records that a daemon wants a replica to be checked; rank is this hub's rank among the monitors of the replica, from
// 0. It returns the result of the last check if that found the replica lost within shareInterval, so that the daemon can be
// notified, else 0. A replica that was reached within shareInterval, but before the silence, is checked at the end of that time.
func (t *Table) Request(r *mangoreplica.Replica, requester mangostate.Member, rank int, now time.Time) Result {
	rec := t.record(r)
	isRecent := now.Sub(rec.endedAt) < shareInterval
	awaitsVerdict := rec.result > Reachable && rec.verdict == 0
	switch {
	case rec.running, !rec.due.IsZero(), awaitsVerdict:
	case isRecent && rec.verdict == Lost:
		return rec.result
	case isRecent && rec.verdict == Withheld:
	case now.Sub(rec.endedAt) < leastSilence, now.Sub(rec.reachedByOther) < leastSilence:
		return 0
	default:
		earliest := slices.MaxFunc([]time.Time{now, rec.endedAt.Add(shareInterval), rec.reachedByOther.Add(shareInterval)}, time.Time.Compare)
		rec.due = earliest.Add(time.Duration(rank) * confirmDelay)
	}
	rec.requesters[requester.Name] = requester
	return 0
}

// Start returns the replicas whose checks start now: those that have not been checked for the longest first, as far as
// maxConcurrent allows.
func (t *Table) Start(now time.Time) []*mangoreplica.Replica {
	var due []*record
	for i, rec := range t.records {
		switch {
		case !rec.due.IsZero() && !rec.due.After(now):
			due = append(due, rec)
		case !rec.running && rec.due.IsZero() && now.Sub(rec.usedAt()) > recordRetention:
			delete(t.records, i)
		}
	}
	slices.SortFunc(due, func(a, b *record) int { return a.startedAt.Compare(b.startedAt) })
	due = due[:min(len(due), maxConcurrent-t.running)]
	list := make([]*mangoreplica.Replica, len(due))
	for i, rec := range due {
		rec.due, rec.running, rec.startedAt = time.Time{}, true, now
		rec.result, rec.verdict, rec.unwitnessed, rec.onlyMonitor = 0, 0, false, false
		list[i] = rec.replica
	}
	t.running += len(due)
	return list
}

// Next returns when the next check is due that Start has not returned; ok is false if none is wanted or a running check has to
// end first.
func (t *Table) Next() (at time.Time, ok bool) {
	if t.running >= maxConcurrent {
		return time.Time{}, false
	}
	for _, rec := range t.records {
		if !rec.due.IsZero() && (!ok || rec.due.Before(at)) {
			at, ok = rec.due, true
		}
	}
	return at, ok
}

// Finish records the result of a check that Start returned.
func (t *Table) Finish(r mangoreplica.Incarnation, result Result, now time.Time) {
	rec := t.records[r]
	rec.running, rec.endedAt, rec.result = false, now, result
	t.running--
}

// ReachedSince reports whether a check of this hub has reached a replica since a time.
func (t *Table) ReachedSince(since time.Time) bool {
	for _, rec := range t.records {
		if rec.result == Reachable && !rec.endedAt.Before(since) {
			return true
		}
	}
	return false
}

// NeedsWitness reports whether the failed check of a replica is the only check of this hub within cutOffWindow, and the other
// monitor has no result for it, so that nothing shows whether this hub is cut off.
func (t *Table) NeedsWitness(r mangoreplica.Incarnation, now time.Time) bool {
	checked, _ := t.recentChecks(now)
	rec := t.records[r]
	return checked == 1 && rec != nil && !rec.reachedByOther.After(rec.startedAt) && !t.confirmedByOther(rec)
}

// RecordWitness records that a witness was reached, although no daemon had requested a check of it.
func (t *Table) RecordWitness(r *mangoreplica.Replica, now time.Time) {
	if rec := t.record(r); !rec.running && rec.due.IsZero() {
		rec.startedAt, rec.endedAt, rec.result, rec.verdict = now, now, Reachable, Sound
	}
}

// MarkUnwitnessed records that this hub could reach no witness after the failed check of a replica.
func (t *Table) MarkUnwitnessed(r mangoreplica.Incarnation) {
	if rec := t.records[r]; rec != nil && !rec.running {
		rec.unwitnessed = true
	}
}

// RecordOther records a result of the other monitor. It returns Lost if that confirms a withheld loss, Disputed if the other
// monitor reached the replica after the start of the check by which this hub found it lost, else 0.
func (t *Table) RecordOther(r *mangoreplica.Replica, reachable bool, at time.Time) Verdict {
	rec := t.record(r)
	if !reachable {
		rec.missedByOther = at
		if rec.verdict == Withheld && t.confirmedByOther(rec) {
			return Lost
		}
		return 0
	}
	rec.reachedByOther = at
	if rec.running {
		return 0
	}
	rec.due = time.Time{}
	clear(rec.requesters)
	announced := rec.verdict == Lost
	if !at.After(rec.startedAt) || rec.result == Ended || (!announced && rec.verdict != Withheld) {
		return 0
	}
	rec.verdict = Disputed
	if rec.result == Unreachable && at.Sub(rec.endedAt) < cutOffWindow {
		// Later, the replica may have been lost and come back.
		t.contradictedAt = at
	}
	if !announced {
		return 0
	}
	return Disputed
}

// MarkOnlyMonitor records that no other hub can confirm the loss of a replica.
func (t *Table) MarkOnlyMonitor(r mangoreplica.Incarnation) {
	if rec := t.records[r]; rec != nil {
		rec.onlyMonitor = true
	}
}

// Mistrusted reports whether this hub was contradicted within mistrustTime, so that it announces no loss alone.
func (t *Table) Mistrusted(now time.Time) bool {
	return !t.contradictedAt.IsZero() && now.Sub(t.contradictedAt) < mistrustTime
}

func (t *Table) confirmedByOther(rec *record) bool {
	return rec.missedByOther.After(rec.reachedByOther) && rec.endedAt.Sub(rec.missedByOther).Abs() < cutOffWindow
}

// Judge returns the verdict on the last check of a replica and the daemons that asked for it.
func (t *Table) Judge(r mangoreplica.Incarnation, now time.Time) (Verdict, []mangostate.Member) {
	rec := t.records[r]
	if rec == nil {
		return 0, nil
	}
	rec.verdict = t.verdict(rec, now)
	if rec.verdict == Disputed && rec.result == Unreachable {
		t.contradictedAt = now
	}
	var requesters []mangostate.Member
	for _, m := range rec.requesters {
		requesters = append(requesters, m)
	}
	if rec.verdict != Withheld {
		clear(rec.requesters)
	}
	return rec.verdict, requesters
}

func (t *Table) verdict(rec *record, now time.Time) Verdict {
	switch {
	case rec.result == Reachable:
		return Sound
	case rec.result == Ended:
		// The host answered, so neither the replica's host nor this hub is cut off.
		return Lost
	case rec.reachedByOther.After(rec.startedAt):
		return Disputed
	case t.confirmedByOther(rec):
		return Lost
	case rec.result == Unknown, rec.unwitnessed, !rec.onlyMonitor && t.Mistrusted(now), t.looksCutOff(now):
		return Withheld
	default:
		return Lost
	}
}

// looksCutOff reports whether so many of the replicas that this hub checked within cutOffWindow did not answer that the hub
// itself is probably cut off.
func (t *Table) looksCutOff(now time.Time) bool {
	checked, failed := t.recentChecks(now)
	return failed >= cutOffMinFailures && failed*cutOffDivisor > checked
}

// recentChecks returns the numbers of replicas that this hub checked within cutOffWindow, and of those that did not answer.
func (t *Table) recentChecks(now time.Time) (checked, failed int) {
	for _, rec := range t.records {
		if rec.result == 0 || rec.result == Unknown || now.Sub(rec.endedAt) > cutOffWindow {
			continue
		}
		checked++
		if rec.result == Unreachable {
			failed++
		}
	}
	return checked, failed
}
