package mangocall

import (
	"context"
	"errors"
	"sync"
	"time"

	"mangopath.org/mangopath/internal/mangochain"
	"mangopath.org/mangopath/pkg/mangomessage"
)

// crashMarginPositions is the number of positions past a crash for which a suspect stays isolated. The recovery runs the
// position of the crash as part of a prefill, and a decode step at the same length may still crash.
const crashMarginPositions = 2

// attempt runs a call on one chain. It is used by one goroutine.
type attempt struct {
	execution *execution
	number    uint32
	stages    []*attemptStage
	// position is the number of positions that all stages have run.
	position uint32
	// stepSent is set before the first step is sent.
	stepSent  bool
	releases  []func()
	startedAt time.Time
	// endIsolation and clearSuspicion are those of the Assignment; each is nil if not needed or once called.
	endIsolation, clearSuspicion func()
	// movedFrom has the replicas from which a stage was moved away; they may still hold KV caches.
	movedFrom []mangochain.Replica
}

// runAttempt runs the rest of the answer on a newly chosen chain. After an *attemptError another attempt may follow; an
// *Error is final.
func (e *execution) runAttempt(ctx context.Context) error {
	assignment, err := e.choose(ctx)
	if err != nil {
		return err
	}
	e.attempts++
	a := &attempt{execution: e, number: uint32(e.attempts), releases: []func(){assignment.Release}, startedAt: time.Now()}
	a.endIsolation, a.clearSuspicion = assignment.EndIsolation, assignment.ClearSuspicion
	for _, stage := range assignment.Chain.Stages {
		a.stages = append(a.stages, &attemptStage{attempt: a, replica: stage.Replica})
	}
	defer a.close(ctx)
	if err := a.openStages(ctx); err != nil {
		return err
	}
	return a.generate(ctx)
}

// close closes all streams, frees the KV caches in the background and releases the chosen replicas.
func (a *attempt) close(ctx context.Context) {
	replicas := a.movedFrom
	for _, s := range a.stages {
		s.close()
		replicas = append(replicas, s.replica)
	}
	a.execution.driver.freeCaches(ctx, a.execution.call.ID, a.number, replicas)
	for _, release := range a.releases {
		if release != nil {
			release()
		}
	}
}

// openStages opens all stages concurrently. Its error names every host that failed.
func (a *attempt) openStages(ctx context.Context) error {
	errs := make([]error, len(a.stages))
	var opening sync.WaitGroup
	for i, s := range a.stages {
		opening.Go(func() { errs[i] = s.open(ctx, false) })
	}
	opening.Wait()
	openErr := &attemptError{err: errors.Join(errs...)}
	for i, err := range errs {
		if err != nil {
			openErr.failedHosts = append(openErr.failedHosts, a.stages[i].replica.Host)
		}
	}
	if len(openErr.failedHosts) == 0 {
		return nil
	}
	return openErr
}

// generate prefills the prompt and the tokens already sent, and then decodes one token at a time.
func (a *attempt) generate(ctx context.Context) error {
	e := a.execution
	step := &mangomessage.Step{Text: e.call.Prompt, Tokens: e.tokens}
	for {
		if ctx.Err() != nil {
			return e.contextError(ctx)
		}
		result, err := a.runStep(ctx, step)
		if err != nil {
			return err
		}
		done, err := e.deliverToken(result)
		if done || err != nil {
			return err
		}
		step = &mangomessage.Step{Count: 1, Tokens: []uint32{result.GetToken()}}
		if err := a.moveOffLeavingHosts(ctx); err != nil {
			return err
		}
	}
}

// runStep runs a step through all stages and returns the result of the last. A prefill has count 0 at the first stage,
// since only that engine knows into how many tokens the prompt splits; the other stages run the count that it returns.
func (a *attempt) runStep(ctx context.Context, input *mangomessage.Step) (*mangomessage.StepResult, error) {
	prefill := a.position == 0
	step := input
	var result *mangomessage.StepResult
	for _, s := range a.stages {
		s.identifyStep(step, a.position)
		var err error
		if result, err = s.step(ctx, step, prefill); err != nil {
			return nil, a.newAttemptError(s.replica.Host, err)
		}
		step = &mangomessage.Step{Count: result.GetCount(), Hidden: result.GetHidden()}
	}
	a.position += result.GetCount()
	a.updateIsolation()
	return result, nil
}

// updateIsolation ends the isolation of a suspect once it has run past the position of its crash. Otherwise the suspects of
// one crash would wait for each other's whole answers. Once it has also run for longer than before the crash, the suspicion
// is withdrawn, so that a later crash for another reason does not count as its second one.
func (a *attempt) updateIsolation() {
	e := a.execution
	if !e.crashed || a.position <= e.crashPosition+crashMarginPositions {
		return
	}
	if a.endIsolation != nil {
		a.endIsolation()
		a.endIsolation = nil
	}
	if a.clearSuspicion != nil && time.Since(a.startedAt) > e.timeToCrash {
		a.clearSuspicion()
		a.clearSuspicion, e.crashed, e.call.Suspect = nil, false, false
	}
}

// newAttemptError returns the error of an attempt that failed on a host.
func (a *attempt) newAttemptError(host string, err error) error {
	return &attemptError{failedHosts: []string{host}, stepSent: a.stepSent, err: err}
}

// deliverToken passes a token to the sink and reports whether the answer is complete.
func (e *execution) deliverToken(result *mangomessage.StepResult) (bool, error) {
	e.tokens = append(e.tokens[:len(e.tokens):len(e.tokens)], result.GetToken())
	if err := e.sink.Token(result.GetText()); err != nil {
		return false, e.finalError(KindCancelled, err)
	}
	now := time.Now()
	e.driver.observer.Token(e.call.Profile.GetName(), now.Sub(e.lastTokenAt), len(e.tokens) == 1)
	e.lastTokenAt = now
	switch {
	case result.GetEnd():
		e.finishReason = "stop"
	case len(e.tokens) >= e.maxTokens:
		e.finishReason = "length"
	}
	return e.finishReason != "", nil
}
