package mangocall

import (
	"context"
	"errors"
	"time"

	"mangopath.org/mangopath/internal/mangochain"
	"mangopath.org/mangopath/internal/mangoupstream"
	"mangopath.org/mangopath/pkg/mangomessage"
)

// leg is one stage of an attempt.
type leg struct {
	attempt *attempt
	replica mangochain.Replica
	stream  mangoupstream.Stream
	// leaving is set when the engine says that it drains, and leavingSince when the chooser says so.
	leaving      bool
	leavingSince time.Time
	// moveAgain is the earliest time for another search for a replica to move to.
	moveAgain time.Time
}

// open starts the stream of the stage, with resume on the state of an earlier one.
func (l *leg) open(ctx context.Context, resume bool) error {
	call, d := &l.attempt.run.call, l.attempt.run.driver
	ctx, stop := context.WithTimeout(ctx, d.options.openTimeout)
	defer stop()
	stream, _, err := d.engine.Open(ctx, l.replica.Address, &mangomessage.Open{
		Call: call.ID, Attempt: l.attempt.number,
		Model: call.Profile.GetModel(), Version: call.Profile.GetVersion(), Adapters: l.replica.Adapters,
		FromLayer: l.replica.FromLayer, ToLayer: l.replica.ToLayer,
		Priority: call.Profile.GetPriority(), Resume: resume, PrefixDigest: d.options.digest(call.Prompt),
		Customer: call.Customer, Profile: call.Profile.GetName(),
	})
	if err != nil {
		if ctx.Err() == nil || errors.Is(ctx.Err(), context.DeadlineExceeded) {
			d.observer.Failed(l.replica.Host, err)
		}
		return err
	}
	l.stream = stream
	return nil
}

func (l *leg) close() {
	if l.stream != nil {
		_ = l.stream.Close()
		l.stream = nil
	}
}

// address fills in the fields that identify a step on this stage.
func (l *leg) address(step *mangomessage.Step, position uint32) {
	step.Call, step.Attempt, step.Position = l.attempt.run.call.ID, l.attempt.number, position
	step.FromLayer, step.ToLayer = l.replica.FromLayer, l.replica.ToLayer
	step.Version = l.attempt.run.call.Profile.GetVersion()
}

// step runs a step within its deadline. When the connection fails, the step is repeated once on a new one, where the
// engine returns the kept result if it ran already.
func (l *leg) step(ctx context.Context, step *mangomessage.Step, prefill bool) (*mangomessage.StepResult, error) {
	d := l.attempt.run.driver
	kind := stepKind{host: l.replica.Host, prefill: prefill}
	limit, started := d.estimator.limit(kind), time.Now()
	result, err := l.try(ctx, step, kind, limit, started)
	if err == nil || ctx.Err() != nil || !connectionFailed(err) {
		return result, err
	}
	l.close()
	if reopened := l.open(ctx, true); reopened != nil {
		l.reportCrash(err, reopened)
		return nil, errors.Join(err, reopened)
	}
	// The engine answered the opening, so it lives and may only be slow.
	limit = min(max(2*limit, d.options.openTimeout), d.estimator.top(kind))
	return l.try(ctx, step, kind, limit, started)
}

// try sends a step and measures its time from the first try, so that the limit of a slow host grows.
func (l *leg) try(
	ctx context.Context, step *mangomessage.Step, kind stepKind, limit time.Duration, started time.Time,
) (*mangomessage.StepResult, error) {
	r, d := l.attempt.run, l.attempt.run.driver
	bounded, stop := context.WithTimeout(ctx, limit)
	defer stop()
	l.attempt.stepped, r.stepped = true, true
	result, err := l.stream.Step(bounded, step)
	if err != nil {
		if ctx.Err() == nil {
			d.observer.Failed(l.replica.Host, err)
		}
		return nil, err
	}
	if result.GetError() != "" {
		return nil, &mangoupstream.Error{Op: "Step", Kind: mangoupstream.KindProtocol, Err: errors.New(result.GetError())}
	}
	took := time.Since(started)
	d.estimator.add(kind, took)
	d.observer.StepDone(l.replica.Host, took, int(result.GetCount()), result)
	l.leaving = result.GetLeaving()
	return result, nil
}

// connectionFailed reports whether the engine may still hold the state of the call.
func connectionFailed(err error) bool {
	switch upstreamKind(err) {
	case mangoupstream.KindLost, mangoupstream.KindTimeout, mangoupstream.KindNotSent:
		return true
	case mangoupstream.KindRefused, mangoupstream.KindNoState, mangoupstream.KindProtocol:
		return false
	default:
		return false
	}
}

// reportCrash tells of a host that broke a connection and then refused new ones or lost its state.
// From then on the call runs apart from other suspects, so that a second crash identifies one call.
func (l *leg) reportCrash(step, reopened error) {
	// A stream that broke between two steps gives NotSent; the call was aboard all the same.
	if kind := upstreamKind(step); kind != mangoupstream.KindLost && kind != mangoupstream.KindNotSent {
		return
	}
	// A process that is ending may still take a connection and reset it, which gives Lost; the call that crashed it is the
	// first to see that.
	switch upstreamKind(reopened) {
	case mangoupstream.KindNotSent, mangoupstream.KindNoState, mangoupstream.KindLost:
		l.attempt.run.crashed, l.attempt.run.call.Suspect = true, true
		l.attempt.run.driver.observer.Crashed(l.replica.Host, l.attempt.run.call.Fingerprint)
	case mangoupstream.KindTimeout, mangoupstream.KindRefused, mangoupstream.KindProtocol:
	}
}
