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
	// surveyConcurrency is the number of replicas that are asked at the same time.
	surveyConcurrency = 16
)

// layersKnown reports whether a survey has read the layers of the replicas while the store is unreachable or in the grace period
// of a restore, and starts the next one when it is due. Entries of the store, or those of the copy, do not show later orders, and
// another daemon may have sent the last ones, so all replicas are asked.
func (p *Placer) layersKnown(ctx context.Context) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.surveying && time.Since(p.lastSurvey) > surveyInterval {
		p.surveying = true
		p.running.Go(func() { p.survey(ctx) })
	}
	return !p.lastSurvey.IsZero()
}

// endSurveys makes layersKnown wait for a new survey the next time that it is called.
func (p *Placer) endSurveys() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastSurvey = time.Time{}
}

// survey asks all replicas of split services for their layers.
func (p *Placer) survey(ctx context.Context) {
	var group sync.WaitGroup
	slots := make(chan struct{}, surveyConcurrency)
	view := p.state.View()
	p.mu.Lock()
	first := p.lastSurvey.IsZero()
	p.mu.Unlock()
	if view.Table != nil {
		for name, s := range view.Table.Services() {
			if !s.Split() {
				continue
			}
			for _, r := range view.Fleet.ByService(name) {
				slots <- struct{}{}
				group.Go(func() {
					p.surveyReplica(ctx, r, first)
					<-slots
				})
			}
		}
	}
	group.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.surveying, p.lastSurvey = false, time.Now()
}

// surveyReplica reads the layers of a replica and the number of orders that it has accepted. The layers go to the layer
// report handler if they differ from the known ones, and in the first survey always, since the last entries may not have
// reached all daemons.
func (p *Placer) surveyReplica(ctx context.Context, r *mangoreplica.Replica, first bool) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	report, err := p.client.Report(ctx, r)
	if err != nil {
		if p.health.Avoid(r.Incarnation(), mangoreplica.CauseUnreachable, surveyInterval+reportTimeout, time.Now()) {
			p.logger.WithFields(logrus.Fields{"event": "replica_avoided", "replica": r.ID, "address": r.Address, "cause": "Unreachable"}).
				WithError(err).Warn("replica did not report its layers")
		}
		return
	}
	i := r.Incarnation()
	p.mu.Lock()
	p.acceptedOrders[i] = max(p.acceptedOrders[i], report.AcceptedOrders)
	if report.Busy {
		// The replica is still carrying out its order, so the order stays pending. If this daemon does not know the order,
		// the replica gets no other one.
		o, ok := p.pendingOrders[i]
		if !ok {
			o = pendingOrder{layers: r.Layers, paused: true}
		}
		if until := time.Now().Add(surveyInterval + reportTimeout); o.until.Before(until) {
			o.until = until
		}
		p.pendingOrders[i] = o
	}
	p.mu.Unlock()
	if (first || report.Layers != r.Layers) && !report.Busy {
		p.onLayerReport(mangoreplica.LayerReport{Replica: i, Layers: report.Layers})
	}
}
