package mangolayout

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"mangopath.org/mangopath/internal/mangoreplica"
)

const (
	// doubtChecks is the number of failed connections after which a replica counts as lost. Links that lose packets make one
	// connection fail now and then.
	doubtChecks = 2
	// doubtLasts is the time for which what was found out holds.
	doubtLasts = 1500 * time.Millisecond
)

// doubt is what is known of a replica that seems to be lost.
type doubt struct {
	checking bool
	lost     bool
	until    time.Time
}

// lost reports whether the layers of an avoided replica are to be given to others. A wrong guess costs a request little,
// but moves layers for seconds, so a cause that may pass is checked first; until then the replica counts as present.
func (p *Placer) lost(ctx context.Context, r *mangoreplica.Replica, cause mangoreplica.Cause, now time.Time) bool {
	switch {
	case cause.CertainToFail():
		return true
	case !cause.LikelyDown():
		return false
	}
	i := r.Incarnation()
	d := p.doubts[i]
	if !d.checking && !now.Before(d.until) {
		// Until the answer the last one holds.
		p.doubts[i] = doubt{checking: true, lost: d.lost}
		p.running.Go(func() { p.clarify(ctx, r, cause) })
	}
	return d.lost
}

// clarify finds out whether a replica that seems to be lost accepts connections.
func (p *Placer) clarify(ctx context.Context, r *mangoreplica.Replica, cause mangoreplica.Cause) {
	var err error
	for range doubtChecks {
		if err = p.engines.Reach(ctx, r, reachTimeout); err == nil {
			break
		}
	}
	p.logger.WithFields(logrus.Fields{
		"event": "loss_checked", "replica": r.ID, "address": r.Address, "cause": string(cause), "lost": err != nil,
	}).Info("a replica that seems to be lost was checked")
	p.mu.Lock()
	defer p.mu.Unlock()
	p.doubts[r.Incarnation()] = doubt{lost: err != nil, until: time.Now().Add(doubtLasts)}
}

// settleDoubts forgets what was found out long ago.
func (p *Placer) settleDoubts(now time.Time) {
	for i, d := range p.doubts {
		if !d.checking && now.Sub(d.until) > doubtLasts {
			delete(p.doubts, i)
		}
	}
}
