package mangocall

import (
	"context"
	"errors"
	"time"

	"mangopath.org/mangopath/internal/mangochain"
	"mangopath.org/mangopath/internal/mangoupstream"
	"mangopath.org/mangopath/pkg/mangomessage"
)

// attemptStage holds the replica that runs one stage of an attempt and the stream to it.
type attemptStage struct {
	attempt *attempt
	replica mangochain.Replica
	stream  mangoupstream.Stream
	// stepSent is set once a step may have reached this engine.
	stepSent bool
	// reportedLeaving is set when the last result said that the engine is draining.
	reportedLeaving bool
	// leavingSince is when the host was first seen to be leaving, by the engine or the chooser; zero when it is not.
	leavingSince time.Time
	// nextMoveAt is the earliest time to look again for a replica to move to.
	nextMoveAt time.Time
}

// open opens the stream of the stage. With resume, it continues with the KV cache that the engine already has.
func (s *attemptStage) open(ctx context.Context, resume bool) error {
	call, d := &s.attempt.execution.call, s.attempt.execution.driver
	ctx, stop := context.WithTimeout(ctx, d.options.openTimeout)
	defer stop()
	stream, _, err := d.engine.Open(ctx, s.replica.Address, &mangomessage.Open{
		Call: call.ID, Attempt: s.attempt.number,
		Model: call.Profile.GetModel(), Version: call.Profile.GetVersion(), Adapters: s.replica.Adapters,
		FromLayer: s.replica.FromLayer, ToLayer: s.replica.ToLayer,
		Priority: call.Profile.GetPriority(), Resume: resume, PrefixDigest: d.options.digestPrefix(call.Prompt),
		Customer: call.Customer, Profile: call.Profile.GetName(),
	})
	if err != nil {
		if ctx.Err() == nil || errors.Is(ctx.Err(), context.DeadlineExceeded) {
			d.observer.Failed(s.replica.Host, err)
		}
		return err
	}
	s.stream = stream
	return nil
}

func (s *attemptStage) close() {
	if s.stream != nil {
		_ = s.stream.Close()
		s.stream = nil
	}
}

// identifyStep sets the fields by which the engine and the result identify a step on this stage.
func (s *attemptStage) identifyStep(step *mangomessage.Step, position uint32) {
	step.Call, step.Attempt, step.Position = s.attempt.execution.call.ID, s.attempt.number, position
	step.FromLayer, step.ToLayer = s.replica.FromLayer, s.replica.ToLayer
	step.Version = s.attempt.execution.call.Profile.GetVersion()
}

// isConnectionFailure reports whether only the connection failed, so that the engine may still hold the KV cache.
func isConnectionFailure(err error) bool {
	switch upstreamErrorKind(err) {
	case mangoupstream.KindLost, mangoupstream.KindTimeout, mangoupstream.KindNotSent:
		return true
	case mangoupstream.KindRefused, mangoupstream.KindNoState, mangoupstream.KindProtocol:
		return false
	default:
		return false
	}
}

// reportCrash reports a crash of the host if it broke a connection during or after a step, and then refused or broke a new
// connection or had lost the KV cache. A proxy in front of a dead process accepts connections and breaks them. From then on
// the call is a suspect and isolated from other suspects, so that a second crash identifies one call.
func (s *attemptStage) reportCrash(stepErr, openErr error) {
	// A stream that broke between two steps returns NotSent, although the call was running on the host. If no step had reached
	// the host, the call can't have crashed it: when hosts fail together, some have only been opened by the call.
	if kind := upstreamErrorKind(stepErr); kind != mangoupstream.KindLost && (kind != mangoupstream.KindNotSent || !s.stepSent) {
		return
	}
	// A crashing process may still accept a connection and reset it, which returns Lost. The call that crashed it is the first
	// to see this.
	kind := upstreamErrorKind(openErr)
	if kind != mangoupstream.KindNotSent && kind != mangoupstream.KindNoState && kind != mangoupstream.KindLost {
		return
	}
	e := s.attempt.execution
	e.crashed, e.crashPosition, e.call.Suspect = true, max(e.crashPosition, s.attempt.position), true
	e.timeToCrash = max(e.timeToCrash, time.Since(s.attempt.startedAt))
	e.driver.observer.Crashed(s.replica.Host, e.call.Fingerprint)
}
