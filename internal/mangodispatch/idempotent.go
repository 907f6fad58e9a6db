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

// tally is what the tries of one call have shown so far.
type tally struct {
	tried      map[string]bool
	mayHaveRun bool
	crashes    int
	last       error
}

// runIdempotent sends the call to one replica after another within the retry budget.
func (d *Dispatcher) runIdempotent(ctx context.Context, call Call) (mangoupstream.Answer, error) {
	t := &tally{tried: map[string]bool{}}
	maps.Copy(t.tried, call.Exclude)
	if call.Suspect {
		t.crashes = 1
	}
	for try := 0; ; try++ {
		if err := ctx.Err(); err != nil {
			return mangoupstream.Answer{}, t.end(kindOf(err), err)
		}
		picked, ok := d.picker.Pick(call.Profile, t.tried)
		if !ok {
			return mangoupstream.Answer{}, t.none()
		}
		if try > 0 && !d.budget.take(call.Profile.GetName()) {
			picked.Release()
			return mangoupstream.Answer{}, t.end(mangocall.KindUpstream, t.last)
		}
		t.tried[picked.Host] = true
		answer, err := d.try(ctx, picked, call)
		if err == nil {
			d.budget.succeed(call.Profile.GetName())
			return answer, nil
		}
		t.last = err
		t.mayHaveRun = t.mayHaveRun || !notRun(err)
		if d.crashed(ctx, picked, call, err) {
			t.crashes++
		}
		if t.crashes >= maxCrashes {
			return mangoupstream.Answer{}, d.condemn(ctx, err)
		}
	}
}

// try bounds a send by the usual time of the profile, so that a hung replica leaves time for another.
func (d *Dispatcher) try(ctx context.Context, picked PickedReplica, call Call) (mangoupstream.Answer, error) {
	name, start := call.Profile.GetName(), time.Now()
	limit := d.pace.limit(name, call.Deadline.Sub(start))
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	answer, err := d.send(ctx, picked, call.Request)
	switch {
	case err == nil:
		d.pace.took(name, time.Since(start))
	case ctx.Err() != nil:
		d.pace.cut(name, limit)
	}
	return answer, err
}

func (t *tally) none() error {
	if t.last == nil {
		return t.end(mangocall.KindNoUpstream, nil)
	}
	return t.end(mangocall.KindUpstream, t.last)
}

func (t *tally) end(kind mangocall.Kind, err error) error {
	if t.mayHaveRun {
		return fail(kind, mangocall.Unknown, retryAfter, err)
	}
	return fail(kind, mangocall.NotRun, retryAfter, err)
}

// notRun reports whether the error proves that the request did not run.
func notRun(err error) bool {
	var e *mangoupstream.Error
	if !errors.As(err, &e) {
		return false
	}
	return e.Kind == mangoupstream.KindNotSent || e.Kind == mangoupstream.KindRefused
}

func kindOf(err error) mangocall.Kind {
	if errors.Is(err, context.Canceled) {
		return mangocall.KindCancelled
	}
	return mangocall.KindDeadline
}
