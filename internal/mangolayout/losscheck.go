package mangolayout

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"mangopath.org/mangopath/internal/mangoreplica"
)

const (
	// lossCheckAttempts is the number of failed connections after which a replica counts as lost. On links that lose
	// packets a single connection fails now and then.
	lossCheckAttempts = 2
	// lossCheckValidity is the time for which the result of a check holds.
	lossCheckValidity = 1500 * time.Millisecond
)

// lossCheck is a check whether a replica that seems lost accepts connections, with its last result.
type lossCheck struct {
	running    bool
	lost       bool
	validUntil time.Time
}

// isLost reports whether the layers of an avoided replica should be given to others. Avoiding a replica wrongly costs a
// request little, but replacing it wrongly moves layers for seconds. A cause that may pass is therefore checked first, and
// until the first result the replica counts as present.
func (p *Placer) isLost(ctx context.Context, r *mangoreplica.Replica, cause mangoreplica.Cause, now time.Time) bool {
	switch {
	case cause.CertainToFail():
		return true
	case !cause.LikelyDown():
		return false
	}
	i := r.Incarnation()
	c := p.lossChecks[i]
	if !c.running && !now.Before(c.validUntil) {
		// The previous result holds until the new one is there.
		p.lossChecks[i] = lossCheck{running: true, lost: c.lost}
		p.running.Go(func() { p.checkLoss(ctx, r, cause) })
	}
	return c.lost
}

// checkLoss connects to a replica that seems lost and records whether it accepts connections.
func (p *Placer) checkLoss(ctx context.Context, r *mangoreplica.Replica, cause mangoreplica.Cause) {
	var err error
	for range lossCheckAttempts {
		if err = p.client.Reach(ctx, r, reachTimeout); err == nil {
			break
		}
	}
	p.logger.WithFields(logrus.Fields{
		"event": "loss_checked", "replica": r.ID, "address": r.Address, "cause": string(cause), "lost": err != nil,
	}).Info("checked whether a replica is lost")
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lossChecks[r.Incarnation()] = lossCheck{lost: err != nil, validUntil: time.Now().Add(lossCheckValidity)}
}

// expireLossChecks drops results that are long out of date.
func (p *Placer) expireLossChecks(now time.Time) {
	for i, c := range p.lossChecks {
		if !c.running && now.Sub(c.validUntil) > lossCheckValidity {
			delete(p.lossChecks, i)
		}
	}
}
