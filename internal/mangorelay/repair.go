package mangorelay

import (
	"context"
	"maps"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"mangopath.org/mangopath/internal/mangopipeline"
	"mangopath.org/mangopath/internal/mangorecovery"
	"mangopath.org/mangopath/internal/mangoreplica"
	"mangopath.org/mangopath/internal/mangoroute"
)

const (
	// repairTimeout bounds a repair with all its orders. An order is answered within a few milliseconds; after a longer wait the
	// restart that follows would be late.
	repairTimeout = 150 * time.Millisecond
	// repairPoll is the longest interval at which the reader checks a repair in progress; its end wakes the reader at once.
	repairPoll = 50 * time.Millisecond
	// maxPollDelay is the longest delay of a poll with which the silence of a first replica counts. If the delay was longer, this process
	// did not run meanwhile, and an answer may have arrived without being read. The next poll follows after maxPollDelay then.
	maxPollDelay = 20 * time.Millisecond
)

// RepathAnswer is the answer of a replica to an order to change the path of a request.
type RepathAnswer struct {
	Answer mangorecovery.Answer
	// PartAddress is the address of the part that is missing, for AnswerPartMissing.
	PartAddress string
}

// PathChanger orders the first replica of a chain to change the path of a request that it runs.
type PathChanger interface {
	// Repath orders a path that begins at the same replica. Without an answer it returns AnswerUnknown and the error.
	Repath(ctx context.Context, first *mangoreplica.Replica, requestID string, stages []mangopipeline.Stage) (RepathAnswer, error)
}

// WithPathChanger sets what changes the paths of running requests. Without it streams restart when a replica is lost.
func WithPathChanger(p PathChanger) Option { return func(r *Relay) { r.repairs.paths = p } }

// pathRepairer is the state that the repairs of a daemon share.
type pathRepairer struct {
	paths PathChanger
	// mu makes the choice of replacements and its record atomic, so that streams of one loss see each other's choices.
	mu     sync.Mutex
	recent *mangorecovery.Recent
}

func newPathRepairer() *pathRepairer { return &pathRepairer{recent: mangorecovery.NewRecent()} }

// pathRepair is the state of the repairs of one send. It belongs to the goroutine that reads the answer; the goroutine that
// sends orders gets its own copy of what it needs, and hands back one result.
type pathRepair struct {
	// launch runs a repair in a goroutine, under a context that ends with the send.
	launch func(run func(ctx context.Context) repairResult)
	// results has the result of a repair that has ended. running says that one has begun and its result was not taken yet.
	results chan repairResult
	running bool
	// canRestart says that the request may be sent again after the repair in progress. orderedAt is when the last order of that repair
	// was sent, in nanoseconds of Unix time and 0 before the first one, and abandoned says why its answer was not awaited.
	canRestart bool
	orderedAt  *atomic.Int64
	abandoned  mangorecovery.Abandonment
	// polledAt is when the reader last looked at the repair in progress.
	polledAt time.Time
	// changed counts the changed paths, and irreparable says that no replacement was found or the replacements have no capacity.
	changed     int
	irreparable bool
	// move counts the request on other replicas, and progress restarts the silence limit.
	move     func(t target)
	progress func()
}

// repairResult is the result of a repair.
type repairResult struct {
	step   mangorecovery.Step
	answer mangorecovery.Answer
	orders int
	stages []mangopipeline.Stage
	// lost has the ids of the replicas that were replaced or are to be.
	lost         []string
	silent, took time.Duration
	err          error
}

// changed reports whether the request runs along another path now.
func (r repairResult) changed() bool {
	return r.answer == mangorecovery.AnswerBegun || r.answer == mangorecovery.AnswerDone
}

// answerWait is the wait of a send for its answer.
type answerWait interface {
	// Progress restarts the time of silence, and Wake has the limit of silence asked again.
	Progress()
	Wake()
}

// enableRepair lets the send change its path if its route and service allow it. The returned function ends a repair in
// progress and waits for its goroutine.
func (l *silenceLimiter) enableRepair(ctx context.Context, wait answerWait, move func(t target)) func() {
	c := l.call
	if c.relay.repairs.paths == nil || len(l.target.stages) == 0 || c.route.Kind != mangoroute.Stream || !c.route.Repeatable() {
		return func() {}
	}
	ctx, cancel := context.WithCancel(ctx)
	var running sync.WaitGroup
	p := &pathRepair{results: make(chan repairResult, 1), move: move, progress: wait.Progress}
	p.launch = func(run func(ctx context.Context) repairResult) {
		running.Go(func() {
			bounded, cancel := context.WithTimeout(ctx, repairTimeout)
			defer cancel()
			p.results <- run(bounded)
			if ctx.Err() == nil {
				wait.Wake()
			}
		})
	}
	l.repair = p
	return func() {
		cancel()
		running.Wait()
		l.finishInterruptedRepair()
	}
}

// finishInterruptedRepair records the result of a repair that was in progress when the send ended for another reason.
func (l *silenceLimiter) finishInterruptedRepair() {
	if !l.repair.running {
		return
	}
	r := <-l.repair.results
	l.repair.running = false
	if r.orders == 0 {
		return
	}
	l.logRepair(r)
	if r.answer == mangorecovery.AnswerUnknown {
		l.call.unansweredFirst = l.target.first.ID
	}
}

// provenLost reports whether the cause was found by a connection to the replica. CauseStalled is indirect evidence, from the report
// of another replica, and only counts together with the stream's own silence.
func provenLost(c mangoreplica.Cause) bool {
	return c.LikelyDown() && c != mangoreplica.CauseStalled
}

// repairOrGiveUp begins a repair of a chain with a lost stage. If none is possible the send is given up: at once if the process
// of a stage has ended, since no event can come through it, else after the soft limit. A request that may not be sent again
// because it is known or suspected to crash replicas is not passed on to further ones either.
func (l *silenceLimiter) repairOrGiveUp(silent, soft time.Duration) time.Duration {
	if l.repair != nil && !l.repair.irreparable && !l.call.refusesRepair() {
		l.beginRepair(silent)
		return repairPoll
	}
	if silent < soft && !l.anyPartAvoided(func(c mangoreplica.Cause) bool { return c == mangoreplica.CauseEnded }) {
		return soft - silent
	}
	return 0
}

// beginRepair starts a repair in its own goroutine: events that passed the lost stage before can still arrive, and are passed on to
// the caller meanwhile.
func (l *silenceLimiter) beginRepair(silent time.Duration) {
	c := l.call
	work := repairWork{
		relay: c.relay, requestID: c.request.ID, service: c.service, first: l.target.first, stages: l.target.stages, repairs: l.repair.changed,
		canRestart: c.started || c.attemptsWith(l.target.first) < c.route.MaxAttempts, tokens: c.estimateTokens(), started: c.started,
		unusable: map[string]bool{}, missing: map[string]bool{},
	}
	maps.Copy(work.unusable, c.failedReplicas)
	maps.Copy(work.unusable, c.refusingReplicas)
	l.repair.running, l.repair.canRestart, l.repair.abandoned = true, work.canRestart, mangorecovery.NotAbandoned
	l.repair.polledAt = time.Now()
	orderedAt := &atomic.Int64{}
	l.repair.orderedAt = orderedAt
	work.onOrder = func() { orderedAt.Store(time.Now().UnixNano()) }
	l.repair.launch(func(ctx context.Context) repairResult {
		begun := time.Now()
		r := work.run(ctx)
		r.silent, r.took = silent, time.Since(begun)
		return r
	})
}

// awaitRepair returns how much longer to wait because of a repair in progress, and carries out its result. It returns false if
// no repair decides.
func (l *silenceLimiter) awaitRepair(silent, soft time.Duration) (time.Duration, bool) {
	if l.repair == nil || !l.repair.running {
		return 0, false
	}
	if l.call.withdrawn() || l.leavesCutOff() {
		return 0, true
	}
	select {
	case r := <-l.repair.results:
		l.repair.running = false
		r = l.confirmByEvents(r)
		l.logRepair(r)
		return l.finishRepair(r)
	default:
		return l.awaitOrder(silent, soft)
	}
}

// finishRepair carries out the result of a repair.
func (l *silenceLimiter) finishRepair(r repairResult) (time.Duration, bool) {
	switch {
	case r.changed():
		l.repair.changed++
		l.followPath(r.stages)
		soft, _ := l.silenceLimits()
		return soft, true
	case r.step == mangorecovery.StepWait:
		l.recheckLost()
		return 0, false
	case r.orders == 0, r.answer == mangorecovery.AnswerPartMissing:
		// The replica has changed nothing, so that events may still come.
		l.repair.irreparable = true
		return 0, false
	}
	if r.answer == mangorecovery.AnswerUnknown {
		l.call.unansweredFirst = l.target.first.ID
	}
	if r.answer == mangorecovery.AnswerMoved {
		l.call.relay.avoid(l.target.first, mangoreplica.CauseMoved, holdMoved, l.call.request.ID)
	}
	return 0, true
}

// followPath makes the changed path the target of the send.
func (l *silenceLimiter) followPath(stages []mangopipeline.Stage) {
	l.target.stages = stages
	l.target.replicaIDs = mangopipeline.Chain{Stages: stages}.IDs()
	l.call.gaps.restart()
	l.repair.move(l.target)
	l.recheckLost()
	l.repair.progress()
}

// recheckLost sets replicaLost by what is known now. A loss may have been announced while a repair was running, or on a replica
// of the new path before the request was counted there, and then woke nobody.
func (l *silenceLimiter) recheckLost() {
	l.replicaLost.Store(false)
	if l.anyPartAvoided(provenLost) {
		l.replicaLost.Store(true)
	}
}

// logRepair counts and logs a repair.
func (l *silenceLimiter) logRepair(r repairResult) {
	c := l.call
	outcome := r.answer.String()
	switch {
	case r.step == mangorecovery.StepWait && !r.changed():
		outcome = "NotLost"
	case r.answer == mangorecovery.AnswerNone:
		outcome = "NoReplacement"
	case r.answer == mangorecovery.AnswerUnknown && l.repair.abandoned != mangorecovery.NotAbandoned:
		outcome = l.repair.abandoned.String()
	}
	c.relay.observer.PathChange(c.serviceName, outcome)
	entry := c.relay.logger.WithFields(logrus.Fields{
		"event": "path_changed", "request": c.request.ID, "replica": l.target.first.ID, "replaced": strings.Join(r.lost, ","),
		"chain": strings.Join(mangopipeline.Chain{Stages: r.stages}.IDs(), ">"), "outcome": outcome, "step": r.step.String(), "orders": r.orders,
		"started": c.started, "last_event": c.position.last, "silent_ms": r.silent.Milliseconds(), "took_ms": r.took.Milliseconds(),
	})
	if r.err != nil {
		entry = entry.WithError(r.err)
	}
	switch {
	case r.changed():
		entry.Info("the path of a running request was repaired")
	case r.step == mangorecovery.StepWait:
		entry.Info("the path of a running request needs no repair: its replicas answer again")
	default:
		entry.Warn("the path of a running request could not be repaired")
	}
}
