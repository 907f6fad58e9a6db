package mangolayout

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"mangopath.org/mangopath/internal/mangoreplica"
)

const (
	// surveyInterval is the time between two surveys.
	surveyInterval = 1500 * time.Millisecond
	// surveyWidth is the number of replicas that are asked at the same time.
	surveyWidth = 16
)

// known reports whether the layers of the replicas are known although the store is away. Their entries then say nothing of
// what was ordered since, and another daemon may have given the last orders, so all replicas are asked.
func (p *Placer) known(ctx context.Context) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.surveying && time.Since(p.surveyed) > surveyInterval {
		p.surveying = true
		p.running.Go(func() { p.survey(ctx) })
	}
	return !p.surveyed.IsZero()
}

func (p *Placer) endSurveys() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.surveyed = time.Time{}
}

// survey asks all replicas of split models for their layers.
func (p *Placer) survey(ctx context.Context) {
	var group sync.WaitGroup
	slots := make(chan struct{}, surveyWidth)
	view := p.state.View()
	p.mu.Lock()
	first := p.surveyed.IsZero()
	p.mu.Unlock()
	if view.Table != nil {
		for name, s := range view.Table.Services() {
			if !s.Split() {
				continue
			}
			for _, r := range view.Fleet.ByService(name) {
				slots <- struct{}{}
				group.Go(func() {
					p.inspect(ctx, r, first)
					<-slots
				})
			}
		}
	}
	group.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.surveying, p.surveyed = false, time.Now()
}

// inspect takes the layers and the number of orders that a replica reports. Other daemons are told the layers if they are
// news here, and in the first survey in any case: the last entries may not have reached all daemons.
func (p *Placer) inspect(ctx context.Context, r *mangoreplica.Replica, first bool) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	report, err := p.engines.Report(ctx, r)
	if err != nil {
		if p.board.Avoid(r.Incarnation(), mangoreplica.CauseUnreachable, surveyInterval+reportTimeout, time.Now()) {
			p.logger.WithFields(logrus.Fields{"event": "replica_avoided", "replica": r.ID, "address": r.Address, "cause": "Unreachable"}).
				WithError(err).Warn("a replica did not say which layers it holds")
		}
		return
	}
	i := r.Incarnation()
	p.mu.Lock()
	p.orders[i] = max(p.orders[i], report.AcceptedOrders)
	if report.Busy {
		// The order takes as long as it takes; if it is not known here, the replica is left alone.
		o, ok := p.pending[i]
		if !ok {
			o = pending{layers: r.Layers, blocked: true}
		}
		if until := time.Now().Add(surveyInterval + reportTimeout); o.until.Before(until) {
			o.until = until
		}
		p.pending[i] = o
	}
	p.mu.Unlock()
	if (first || report.Layers != r.Layers) && !report.Busy {
		p.sighted(mangoreplica.LayerReport{Replica: i, Layers: report.Layers})
	}
}
