package mangocall

import (
	"context"
	"errors"
	"time"

	"mangopath.org/mangopath/internal/mangoupstream"
	"mangopath.org/mangopath/pkg/mangomessage"
)

const (
	// maxDecodeSends and maxPrefillSends are the number of times that a step may be sent, each time on another connection. The
	// duration of a prefill varies with the prompt, so it exceeds its first timeout more often.
	maxDecodeSends  = 2
	maxPrefillSends = 3
)

// step runs a step within its deadline. When the connection breaks or the timeout passes without a reply, it opens a new
// connection and sends the step again. Only a new connection distinguishes a hung connection from a slow engine, and an
// engine that has already run the step returns the stored result.
func (s *attemptStage) step(ctx context.Context, step *mangomessage.Step, prefill bool) (*mangomessage.StepResult, error) {
	d := s.attempt.execution.driver
	class, maxSends := stepClass{host: s.replica.Host, prefill: prefill}, maxDecodeSends
	if prefill {
		maxSends = maxPrefillSends
	}
	timeout, startedAt := d.estimator.timeout(class), time.Now()
	deadline := startedAt.Add(d.estimator.longestTimeout(class) + d.options.openTimeout)
	for n := 1; ; n++ {
		sentAt := time.Now()
		result, err := s.sendStep(ctx, step, timeout)
		if err == nil {
			s.recordDuration(class, startedAt, sentAt, result)
			return result, nil
		}
		if ctx.Err() != nil {
			return nil, err
		}
		if n == maxSends || !isConnectionFailure(err) {
			d.observer.Failed(s.replica.Host, err)
			return nil, err
		}
		s.close()
		if openErr := s.open(ctx, true); openErr != nil {
			s.reportCrash(err, openErr)
			return nil, errors.Join(err, openErr)
		}
		remaining := time.Until(deadline)
		if timeout = min(2*timeout, remaining); n+1 == maxSends {
			timeout = remaining
		}
	}
}

// sendStep sends a step on the current connection and waits for its result.
func (s *attemptStage) sendStep(ctx context.Context, step *mangomessage.Step, timeout time.Duration) (*mangomessage.StepResult, error) {
	ctx, stop := context.WithTimeout(ctx, timeout)
	defer stop()
	s.attempt.stepSent, s.attempt.execution.stepSent = true, true
	result, err := s.stream.Step(ctx, step)
	s.stepSent = s.stepSent || upstreamErrorKind(err) != mangoupstream.KindNotSent
	if err != nil {
		return nil, err
	}
	if result.GetError() != "" {
		return nil, &mangoupstream.Error{Op: "Step", Kind: mangoupstream.KindProtocol, Err: errors.New(result.GetError())}
	}
	return result, nil
}

// recordDuration adds the duration of a step to the estimates and reports it. If the last send took no longer than expected,
// any earlier connection hung, which says nothing about the engine, and only the last send counts. Otherwise the engine or
// its link is slow, and the duration counts from the first send.
func (s *attemptStage) recordDuration(class stepClass, startedAt, sentAt time.Time, result *mangomessage.StepResult) {
	d := s.attempt.execution.driver
	duration := time.Since(sentAt)
	if duration > d.estimator.expectedMax(class) {
		duration = time.Since(startedAt)
	}
	d.estimator.add(class, duration)
	d.observer.StepDone(s.replica.Host, duration, int(result.GetCount()), result)
	s.reportedLeaving = result.GetLeaving()
}
