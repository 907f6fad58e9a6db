package mangocall

import (
	"context"
	"errors"
	"sync"
	"time"

	"mangopath.org/mangopath/internal/mangochain"
	"mangopath.org/mangopath/pkg/mangomessage"
)

// crashMargin is the number of positions past a crash that a suspect runs apart: the recovery runs the position of the
// crash as part of a prefill, and a decode step at the same length may still crash.
const crashMargin = 2

// attempt is one try of a call on a chain; one goroutine uses it.
type attempt struct {
	run      *run
	number   uint32
	legs     []*leg
	position uint32
	stepped  bool
	releases []func()
	began    time.Time
	// passed ends the time apart from other suspects and cleared the suspicion; nil when there is none.
	passed, cleared func()
	// left are replicas that calls moved away from.
	left []mangochain.Replica
}

// attemptOnce runs the rest of the answer on a new chain. A *failure allows another attempt.
func (r *run) attemptOnce(ctx context.Context) error {
	assignment, err := r.choose(ctx)
	if err != nil {
		return err
	}
	r.attempts++
	a := &attempt{run: r, number: uint32(r.attempts), releases: []func(){assignment.Release}, began: time.Now()}
	a.passed, a.cleared = assignment.EndIsolation, assignment.ClearSuspicion
	for _, stage := range assignment.Chain.Stages {
		a.legs = append(a.legs, &leg{attempt: a, replica: stage.Replica})
	}
	defer a.end(ctx)
	if err := a.openAll(ctx); err != nil {
		return err
	}
	return a.generate(ctx)
}

// end closes all streams, frees the KV caches in the background and gives back the places.
func (a *attempt) end(ctx context.Context) {
	replicas := a.left
	for _, l := range a.legs {
		l.close()
		replicas = append(replicas, l.replica)
	}
	a.run.driver.cancel(ctx, a.run.call.ID, a.number, replicas)
	for _, release := range a.releases {
		if release != nil {
			release()
		}
	}
}

// openAll opens all stages at once and reports all that failed together.
func (a *attempt) openAll(ctx context.Context) error {
	errs := make([]error, len(a.legs))
	var opening sync.WaitGroup
	for i, l := range a.legs {
		opening.Go(func() { errs[i] = l.open(ctx, false) })
	}
	opening.Wait()
	failed := &failure{err: errors.Join(errs...)}
	for i, err := range errs {
		if err != nil {
			failed.hosts = append(failed.hosts, a.legs[i].replica.Host)
		}
	}
	if len(failed.hosts) == 0 {
		return nil
	}
	return failed
}

// generate runs the prompt and the tokens already sent as prefill, and then one token at a time.
func (a *attempt) generate(ctx context.Context) error {
	r := a.run
	step := &mangomessage.Step{Text: r.call.Prompt, Tokens: r.tokens}
	for {
		if ctx.Err() != nil {
			return r.stopped(ctx)
		}
		result, err := a.pass(ctx, step)
		if err != nil {
			return err
		}
		done, err := r.accept(result)
		if done || err != nil {
			return err
		}
		step = &mangomessage.Step{Count: 1, Tokens: []uint32{result.GetToken()}}
		if err := a.moveLeaving(ctx); err != nil {
			return err
		}
	}
}

// pass runs a step through all stages and returns the result of the last. A prefill has count 0 at the first stage,
// which alone knows how a prompt splits; the others run as many positions as it did.
func (a *attempt) pass(ctx context.Context, first *mangomessage.Step) (*mangomessage.StepResult, error) {
	prefill := a.position == 0
	step := first
	var result *mangomessage.StepResult
	for _, l := range a.legs {
		l.address(step, a.position)
		var err error
		if result, err = l.step(ctx, step, prefill); err != nil {
			return nil, a.fail(l.replica.Host, err)
		}
		step = &mangomessage.Step{Count: result.GetCount(), Hidden: result.GetHidden()}
	}
	a.position += result.GetCount()
	a.passCrash()
	return result, nil
}

// passCrash ends the time apart once everything that ran when a host crashed has run again without a crash. Suspects of
// one crash would otherwise wait for each other's whole answers. A call that goes on for as long as before is cleared,
// so that a later crash for another reason does not condemn it.
func (a *attempt) passCrash() {
	r := a.run
	if !r.crashed || a.position <= r.crashedAt+crashMargin {
		return
	}
	if a.passed != nil {
		a.passed()
		a.passed = nil
	}
	if a.cleared != nil && time.Since(a.began) > r.crashedAfter {
		a.cleared()
		a.cleared, r.crashed, r.call.Suspect = nil, false, false
	}
}

func (a *attempt) fail(host string, err error) error {
	return &failure{hosts: []string{host}, stepped: a.stepped, err: err}
}

// accept sends a token and reports whether the answer is complete.
func (r *run) accept(result *mangomessage.StepResult) (bool, error) {
	r.tokens = append(r.tokens[:len(r.tokens):len(r.tokens)], result.GetToken())
	if err := r.sink.Token(result.GetText()); err != nil {
		return false, r.fail(KindCancelled, err)
	}
	now := time.Now()
	r.driver.observer.Token(r.call.Profile.GetName(), now.Sub(r.last), len(r.tokens) == 1)
	r.last = now
	switch {
	case result.GetEnd():
		r.finish = "stop"
	case len(r.tokens) >= r.most:
		r.finish = "length"
	}
	return r.finish != "", nil
}
