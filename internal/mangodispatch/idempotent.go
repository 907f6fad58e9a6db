package mangodispatch

import (
	"context"
	"maps"
	"time"

	"github.com/pkg/errors"

	"mangopath.org/mangopath/internal/mangocall"
	"mangopath.org/mangopath/internal/mangoupstream"
)

// retryAfter is the hint for callers after a failure that ends soon, such as a restart.
const retryAfter = time.Second

// sendHistory is what the tries of one call have shown so far.
type sendHistory struct {
	excluded   map[string]bool
	mayHaveRun bool
	crashes    int
	lastErr    error
}

// runIdempotent sends the call to one replica after another within the retry budget.
func (d *Dispatcher) runIdempotent(ctx context.Context, call Call) (mangoupstream.Answer, error) {
	t := &sendHistory{excluded: map[string]bool{}}
	maps.Copy(t.excluded, call.Exclude)
	if call.Suspect {
		t.crashes = 1
	}
	for try := 0; ; try++ {
		if err := ctx.Err(); err != nil {
			return mangoupstream.Answer{}, t.finalError(contextErrorKind(err), err)
		}
		picked, ok := d.picker.Pick(call.Profile, t.excluded)
		if !ok {
			return mangoupstream.Answer{}, t.noReplicaError()
		}
		if try > 0 && !d.budget.take(call.Profile.GetName()) {
			picked.Release()
			return mangoupstream.Answer{}, t.finalError(mangocall.KindUpstream, t.lastErr)
		}
		t.excluded[picked.Host] = true
		answer, err := d.sendWithTimeout(ctx, picked, call)
		if err == nil {
			d.budget.recordSuccess(call.Profile.GetName())
			return answer, nil
		}
		t.lastErr = err
		t.mayHaveRun = t.mayHaveRun || !provesNotRun(err)
		if d.reportIfCrashed(ctx, picked, call, err) {
			t.crashes++
		}
		if t.crashes >= maxCrashes {
			return mangoupstream.Answer{}, d.rejectAfterCrashes(ctx, err)
		}
	}
}

// sendWithTimeout bounds a send by the usual time of the profile, so that a hung replica leaves time for another.
func (d *Dispatcher) sendWithTimeout(ctx context.Context, picked PickedReplica, call Call) (mangoupstream.Answer, error) {
	name, start := call.Profile.GetName(), time.Now()
	limit := d.answerTimes.sendTimeout(name, call.Deadline.Sub(start))
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	answer, err := d.send(ctx, picked, call.Request)
	switch {
	case err == nil:
		d.answerTimes.recordAnswer(name, time.Since(start))
	case ctx.Err() != nil:
		d.answerTimes.recordTimeout(name, limit)
	}
	return answer, err
}

func (t *sendHistory) noReplicaError() error {
	if t.lastErr == nil {
		return t.finalError(mangocall.KindNoUpstream, nil)
	}
	return t.finalError(mangocall.KindUpstream, t.lastErr)
}

func (t *sendHistory) finalError(kind mangocall.Kind, err error) error {
	if t.mayHaveRun {
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

func contextErrorKind(err error) mangocall.Kind {
	if errors.Is(err, context.Canceled) {
		return mangocall.KindCancelled
	}
	return mangocall.KindDeadline
}
