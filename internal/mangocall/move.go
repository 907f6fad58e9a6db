package mangocall

import (
	"context"
	"time"

	"mangopath.org/mangopath/internal/mangochain"
	"mangopath.org/mangopath/pkg/mangomessage"
)

// moveRetry separates searches for a replica to move to.
const moveRetry = time.Second

// moveLeaving moves the stages off hosts that leave. A stage without another replica of its range stays where it is.
func (a *attempt) moveLeaving(ctx context.Context) error {
	for _, l := range a.legs {
		if !l.mustMove(time.Now()) {
			continue
		}
		if err := a.move(ctx, l); err != nil {
			return err
		}
	}
	return nil
}

func (l *leg) mustMove(now time.Time) bool {
	d := l.attempt.run.driver
	if !l.leaving && !d.chooser.Leaving(l.replica.Host) {
		l.leavingSince = time.Time{}
		return false
	}
	if l.leavingSince.IsZero() {
		l.leavingSince = now
	}
	due := l.leaving || now.Sub(l.leavingSince) >= d.options.moveTime
	return due && !now.Before(l.moveAgain)
}

// move takes the KV cache of a stage to another replica. Once the export has begun, the old replica may not hold the
// state any more, so that any error ends the attempt.
func (a *attempt) move(ctx context.Context, l *leg) error {
	target, ok := a.target(ctx, l)
	if !ok {
		l.moveAgain = time.Now().Add(moveRetry)
		return nil
	}
	old := l.replica
	l.close()
	if err := a.transfer(ctx, old, target); err != nil {
		return a.fail(old.Host, err)
	}
	a.left = append(a.left, old)
	l.replica, l.leaving, l.leavingSince = target, false, time.Time{}
	if err := l.open(ctx, true); err != nil {
		return a.fail(target.Host, err)
	}
	return nil
}

// target chooses a replica of the same range.
func (a *attempt) target(ctx context.Context, l *leg) (mangochain.Replica, bool) {
	request := a.run.request()
	request.FromLayer, request.ToLayer = l.replica.FromLayer, l.replica.ToLayer
	request.Exclude = map[string]bool{l.replica.Host: true}
	for host := range a.run.exclude {
		request.Exclude[host] = true
	}
	assignment, err := a.run.driver.chooser.Choose(ctx, request, a.run.call.Suspect)
	if err != nil {
		return mangochain.Replica{}, false
	}
	a.releases = append(a.releases, assignment.Release)
	if a.passed == nil && assignment.EndIsolation != nil {
		assignment.EndIsolation()
	}
	for _, stage := range assignment.Chain.Stages {
		if stage.Replica.FromLayer == l.replica.FromLayer && stage.Replica.ToLayer == l.replica.ToLayer {
			return stage.Replica, stage.Replica.Host != l.replica.Host
		}
	}
	return mangochain.Replica{}, false
}

func (a *attempt) transfer(ctx context.Context, from, to mangochain.Replica) error {
	d := a.run.driver
	ctx, stop := context.WithTimeout(ctx, d.options.transferTimeout)
	defer stop()
	state, err := d.engine.Export(ctx, from.Address, &mangomessage.Transfer{
		Call: a.run.call.ID, Attempt: a.number, FromLayer: from.FromLayer, ToLayer: from.ToLayer,
		Version: a.run.call.Profile.GetVersion(),
	})
	if err != nil {
		return err
	}
	return d.engine.Import(ctx, to.Address, state)
}
