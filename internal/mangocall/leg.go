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
	// stepped is set once a step may have reached the engine.
	stepped bool
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

// reportCrash tells of a host that broke a connection and then refused or broke a new one or lost its state. A proxy
// before a dead process accepts connections and breaks them.
// From then on the call runs apart from other suspects, so that a second crash identifies one call.
func (l *leg) reportCrash(step, reopened error) {
	// A stream that broke between two steps gives NotSent; the call was aboard all the same. One that broke before the first
	// step did not: hosts that fail together would else be taken for crashes by a call that had only opened them.
	if kind := upstreamKind(step); kind != mangoupstream.KindLost && (kind != mangoupstream.KindNotSent || !l.stepped) {
		return
	}
	// A process that is ending may still take a connection and reset it, which gives Lost; the call that crashed it is the
	// first to see that.
	kind := upstreamKind(reopened)
	if kind != mangoupstream.KindNotSent && kind != mangoupstream.KindNoState && kind != mangoupstream.KindLost {
		return
	}
	r := l.attempt.run
	r.crashed, r.crashedAt, r.call.Suspect = true, max(r.crashedAt, l.attempt.position), true
	r.crashedAfter = max(r.crashedAfter, time.Since(l.attempt.began))
	r.driver.observer.Crashed(l.replica.Host, r.call.Fingerprint)
}
