package mangocall

import (
	"context"
	"time"

	"mangopath.org/mangopath/internal/mangochain"
	"mangopath.org/mangopath/pkg/mangomessage"
)

// moveRetryInterval is the time until a stage looks again for a replica to move to, after it found none.
const moveRetryInterval = time.Second

// moveOffLeavingHosts moves stages to other replicas if their hosts are leaving. A stage stays if no other replica has its
// range of layers.
func (a *attempt) moveOffLeavingHosts(ctx context.Context) error {
	for _, s := range a.stages {
		if !s.isMoveDue(time.Now()) {
			continue
		}
		if err := a.move(ctx, s); err != nil {
			return err
		}
	}
	return nil
}

// isMoveDue reports whether the stage has to move now: at once if the engine said that it is draining, otherwise once the
// chooser has called the host leaving for moveAfter.
func (s *attemptStage) isMoveDue(now time.Time) bool {
	d := s.attempt.execution.driver
	if !s.reportedLeaving && !d.chooser.Leaving(s.replica.Host) {
		s.leavingSince = time.Time{}
		return false
	}
	if s.leavingSince.IsZero() {
		s.leavingSince = now
	}
	due := s.reportedLeaving || now.Sub(s.leavingSince) >= d.options.moveAfter
	return due && !now.Before(s.nextMoveAt)
}

// move transfers a stage and its KV cache to another replica. Once the export has begun, the source may no longer hold the
// KV cache, so any error from then on ends the attempt.
func (a *attempt) move(ctx context.Context, s *attemptStage) error {
	target, ok := a.chooseTarget(ctx, s)
	if !ok {
		s.nextMoveAt = time.Now().Add(moveRetryInterval)
		return nil
	}
	source := s.replica
	s.close()
	if err := a.transferCache(ctx, source, target); err != nil {
		return a.newAttemptError(source.Host, err)
	}
	a.movedFrom = append(a.movedFrom, source)
	s.replica, s.reportedLeaving, s.leavingSince = target, false, time.Time{}
	if err := s.open(ctx, true); err != nil {
		return a.newAttemptError(target.Host, err)
	}
	return nil
}

// chooseTarget chooses another replica with the same range of layers. It reports false when there is none.
func (a *attempt) chooseTarget(ctx context.Context, s *attemptStage) (mangochain.Replica, bool) {
	request := a.execution.chainRequest()
	request.FromLayer, request.ToLayer = s.replica.FromLayer, s.replica.ToLayer
	request.Exclude = map[string]bool{s.replica.Host: true}
	for host := range a.execution.excludedHosts {
		request.Exclude[host] = true
	}
	assignment, err := a.execution.driver.chooser.Choose(ctx, request, a.execution.call.Suspect)
	if err != nil {
		return mangochain.Replica{}, false
	}
	a.releases = append(a.releases, assignment.Release)
	// The isolation of this attempt has ended or there was none, so it must not begin on the target.
	if a.endIsolation == nil && assignment.EndIsolation != nil {
		assignment.EndIsolation()
	}
	for _, stage := range assignment.Chain.Stages {
		if stage.Replica.FromLayer == s.replica.FromLayer && stage.Replica.ToLayer == s.replica.ToLayer {
			return stage.Replica, stage.Replica.Host != s.replica.Host
		}
	}
	return mangochain.Replica{}, false
}

// transferCache exports the KV cache of the attempt from one replica and imports it on another.
func (a *attempt) transferCache(ctx context.Context, from, to mangochain.Replica) error {
	d := a.execution.driver
	ctx, stop := context.WithTimeout(ctx, d.options.transferTimeout)
	defer stop()
	state, err := d.engine.Export(ctx, from.Address, &mangomessage.Transfer{
		Call: a.execution.call.ID, Attempt: a.number, FromLayer: from.FromLayer, ToLayer: from.ToLayer,
		Version: a.execution.call.Profile.GetVersion(),
	})
	if err != nil {
		return err
	}
	return d.engine.Import(ctx, to.Address, state)
}
