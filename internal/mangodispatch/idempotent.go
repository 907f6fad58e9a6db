package mangodispatch

import (
	"context"
	"maps"
	"time"

	"github.com/pkg/errors"

	"mangopath.org/mangopath/internal/mangocall"
	"mangopath.org/mangopath/internal/mangoupstream"
	"mangopath.org/mangopath/pkg/mangomessage"
)

// retryAfter is the time after which callers are told to retry after a short failure, such as a restart.
const retryAfter = time.Second

// sendHistory holds the results of the sends of one call so far.
type sendHistory struct {
	// excluded has the hosts that were sent the call and those that Call.Exclude names.
	excluded map[string]bool
	// mayHaveRun says that the request may have run on one of the replicas.
	mayHaveRun bool
	// crashes is the number of replicas that the request crashed. It starts at 1 for a suspect request.
	crashes int
	// silent has the replicas that were sent the request and neither answered nor were found to have crashed.
	silent []PickedReplica
	// lastErr is the error of the last send, nil before the first one has failed.
	lastErr error
}

// runIdempotent sends the call to one replica after another until one answers, the retry budget is spent or the deadline
// passes.
func (d *Dispatcher) runIdempotent(ctx context.Context, call Call) (mangoupstream.Answer, error) {
	h := &sendHistory{excluded: map[string]bool{}}
	maps.Copy(h.excluded, call.Exclude)
	if call.Suspect {
		h.crashes = 1
	}
	for sends := 0; ; sends++ {
		if err := ctx.Err(); err != nil {
			return mangoupstream.Answer{}, h.finalError(contextErrorKind(err), err)
		}
		picked, ok := d.picker.Pick(call.Profile, h.excluded)
		if !ok {
			return mangoupstream.Answer{}, h.noReplicaError()
		}
		if sends > 0 && !d.budget.take(call.Profile.GetName()) {
			picked.Release()
			return mangoupstream.Answer{}, h.finalError(mangocall.KindUpstream, h.lastErr)
		}
		h.excluded[picked.Host] = true
		answer, err := d.sendWithTimeout(ctx, picked, call, h)
		if err == nil {
			d.budget.recordSuccess(call.Profile.GetName())
			return answer, nil
		}
		h.lastErr = err
		h.mayHaveRun = h.mayHaveRun || !provesNotRun(err)
		switch {
		case d.reportIfCrashed(ctx, picked, call, err):
			h.crashes++
		case !provesNotRun(err):
			h.silent = append(h.silent, picked)
		}
		d.recheckSilent(ctx, call, h)
		if h.crashes >= maxCrashes {
			return mangoupstream.Answer{}, d.rejectAfterCrashes(ctx, err)
		}
	}
}

// sendWithTimeout sends the call once, with a timeout derived from the usual answer time of the profile, so that there is
// time left for another replica if this one hangs. If no other replica is left, only the deadline ends the send.
func (d *Dispatcher) sendWithTimeout(ctx context.Context, picked PickedReplica, call Call, h *sendHistory) (mangoupstream.Answer, error) {
	profile, start := call.Profile.GetName(), time.Now()
	timeout := d.answerTimes.sendTimeout(profile, call.Deadline.Sub(start))
	if d.hasAnother(call.Profile, h.excluded) {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, timeout)
		defer cancel()
	}
	answer, err := d.send(ctx, picked, call.Request)
	switch {
	case err == nil:
		// A longer time would make the timeouts of sends that have another replica too long.
		d.answerTimes.recordAnswer(profile, min(time.Since(start), timeout))
	case ctx.Err() != nil:
		d.answerTimes.recordTimeout(profile, timeout)
	}
	return answer, err
}

// hasAnother reports whether there is a replica that is not on a host in exclude.
func (d *Dispatcher) hasAnother(profile *mangomessage.Profile, exclude map[string]bool) bool {
	picked, ok := d.picker.Pick(profile, exclude)
	if ok {
		picked.Release()
	}
	return ok
}

// noReplicaError returns the error of a call for which no replica is left.
func (h *sendHistory) noReplicaError() error {
	if h.lastErr == nil {
		return h.finalError(mangocall.KindNoUpstream, nil)
	}
	return h.finalError(mangocall.KindUpstream, h.lastErr)
}

// finalError returns the error of a call that is not sent again. Its outcome is Unknown if the request may have run.
func (h *sendHistory) finalError(kind mangocall.Kind, err error) error {
	if h.mayHaveRun {
		return newError(kind, mangocall.Unknown, retryAfter, err)
	}
	return newError(kind, mangocall.NotRun, retryAfter, err)
}

// provesNotRun reports whether the error proves that the request did not run.
func provesNotRun(err error) bool {
	var e *mangoupstream.Error
	if !errors.As(err, &e) {
		return false
	}
	return e.Kind == mangoupstream.KindNotSent || e.Kind == mangoupstream.KindRefused
}

// contextErrorKind returns the kind of error for a call whose context ended with err.
func contextErrorKind(err error) mangocall.Kind {
	if errors.Is(err, context.Canceled) {
		return mangocall.KindCancelled
	}
	return mangocall.KindDeadline
}
