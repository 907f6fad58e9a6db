package mangolayout

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"mangopath.org/mangopath/internal/mangoreplica"
)

const (
	// lossCheckAttempts is the number of failed connections after which a replica counts as lost. Links that lose packets make one
	// connection fail now and then.
	lossCheckAttempts = 2
	// lossCheckValidity is the time for which what was found out holds.
	lossCheckValidity = 1500 * time.Millisecond
)

// lossCheck is what is known of a replica that seems to be lost.
type lossCheck struct {
	running    bool
	lost       bool
	validUntil time.Time
}

// isLost reports whether the layers of an avoided replica are to be given to others. A wrong guess costs a request little,
// but moves layers for seconds, so a cause that may pass is checked first; until then the replica counts as present.
func (p *Placer) isLost(ctx context.Context, r *mangoreplica.Replica, cause mangoreplica.Cause, now time.Time) bool {
	switch {
	case cause.Certain():
		return true
	case !cause.Lost():
		return false
	}
	i := r.Incarnation()
	d := p.lossChecks[i]
	if !d.running && !now.Before(d.validUntil) {
		// Until the answer the last one holds.
		p.lossChecks[i] = lossCheck{running: true, lost: d.lost}
		p.running.Go(func() { p.checkLoss(ctx, r, cause) })
	}
	return d.lost
}

// checkLoss finds out whether a replica that seems to be lost accepts connections.
func (p *Placer) checkLoss(ctx context.Context, r *mangoreplica.Replica, cause mangoreplica.Cause) {
	var err error
	for range lossCheckAttempts {
		if err = p.client.Reach(ctx, r, reachTimeout); err == nil {
			break
		}
	}
	p.logger.WithFields(logrus.Fields{
		"event": "loss_checked", "replica": r.ID, "address": r.Address, "cause": string(cause), "lost": err != nil,
	}).Info("a replica that seems to be lost was checked")
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lossChecks[r.Incarnation()] = lossCheck{lost: err != nil, validUntil: time.Now().Add(lossCheckValidity)}
}

// expireLossChecks forgets what was found out long ago.
func (p *Placer) expireLossChecks(now time.Time) {
	for i, d := range p.lossChecks {
		if !d.running && now.Sub(d.validUntil) > lossCheckValidity {
			delete(p.lossChecks, i)
		}
	}
}
