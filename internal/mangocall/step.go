package mangocall

import (
	"context"
	"errors"
	"time"

	"mangopath.org/mangopath/internal/mangoupstream"
	"mangopath.org/mangopath/pkg/mangomessage"
)

const (
	// decodeTries and prefillTries bound the connections that one step may use. A prefill takes long and varies with the
	// prompt, so a slow one may miss its first limit more often.
	decodeTries  = 2
	prefillTries = 3
)

// step runs a step within its deadline. When the connection breaks or is silent for longer than usual, it is replaced
// and the step sent again: only a new connection tells a hung one from a slow engine, and an engine that ran the step
// already returns the kept result.
func (l *leg) step(ctx context.Context, step *mangomessage.Step, prefill bool) (*mangomessage.StepResult, error) {
	d := l.attempt.run.driver
	kind, tries := stepKind{host: l.replica.Host, prefill: prefill}, decodeTries
	if prefill {
		tries = prefillTries
	}
	limit, started := d.estimator.limit(kind), time.Now()
	deadline := started.Add(d.estimator.top(kind) + d.options.openTimeout)
	for n := 1; ; n++ {
		sent := time.Now()
		result, err := l.try(ctx, step, limit)
		if err == nil {
			l.measure(kind, started, sent, result)
			return result, nil
		}
		if ctx.Err() != nil {
			return nil, err
		}
		if n == tries || !connectionFailed(err) {
			d.observer.Failed(l.replica.Host, err)
			return nil, err
		}
		l.close()
		if reopened := l.open(ctx, true); reopened != nil {
			l.reportCrash(err, reopened)
			return nil, errors.Join(err, reopened)
		}
		rest := time.Until(deadline)
		if limit = min(2*limit, rest); n+1 == tries {
			limit = rest
		}
	}
}

// try sends a step on the present connection.
func (l *leg) try(ctx context.Context, step *mangomessage.Step, limit time.Duration) (*mangomessage.StepResult, error) {
	ctx, stop := context.WithTimeout(ctx, limit)
	defer stop()
	l.attempt.stepped, l.attempt.run.stepped = true, true
	result, err := l.stream.Step(ctx, step)
	l.stepped = l.stepped || upstreamKind(err) != mangoupstream.KindNotSent
	if err != nil {
		return nil, err
	}
	if result.GetError() != "" {
		return nil, &mangoupstream.Error{Op: "Step", Kind: mangoupstream.KindProtocol, Err: errors.New(result.GetError())}
	}
	return result, nil
}

// measure takes the time of a step into the estimates. When a new connection brought the result in the usual time, the
// old one hung, and its silence says nothing about the engine. Otherwise the engine or its link is slow, and the time
// counts from the first try.
func (l *leg) measure(kind stepKind, started, sent time.Time, result *mangomessage.StepResult) {
	d := l.attempt.run.driver
	took := time.Since(sent)
	if took > d.estimator.usual(kind) {
		took = time.Since(started)
	}
	d.estimator.add(kind, took)
	d.observer.StepDone(l.replica.Host, took, int(result.GetCount()), result)
	l.leaving = result.GetLeaving()
}
