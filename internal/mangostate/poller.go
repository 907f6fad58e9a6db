package mangostate

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"
)

// RevisionReader returns the revision of the store by one cheap call that cannot be answered from an old state.
type RevisionReader interface {
	Revision(ctx context.Context) (uint64, error)
}

const (
	// pollAfter is the time without a sign of the store's revision after which a daemon asks for it, and pollSpread the
	// random part of it. The first daemon to ask tells the others, so that they need not.
	pollAfter  = 900 * time.Millisecond
	pollSpread = 500 * time.Millisecond
	// aloneAfter is the time without a sign of the store after which it counts as out of reach for all; the daemons that
	// reach it tell each other about once a second.
	aloneAfter = 1900 * time.Millisecond
	// pollTimeout bounds the question.
	pollTimeout = 600 * time.Millisecond
)

// Poller makes sure that a watch that has gone deaf is noticed.
type Poller struct {
	controller *Controller
	store      RevisionReader
	tell       func(revision uint64)
	confirmed  chan struct{}
	// heard is the time since start at which this daemon or another one last saw the store, in nanoseconds.
	heard atomic.Int64
	start time.Time
}

// NewPoller returns a poller; tell passes the revision on to other daemons and must not block.
func NewPoller(controller *Controller, store RevisionReader, tell func(revision uint64)) *Poller {
	return &Poller{controller: controller, store: store, tell: tell, confirmed: make(chan struct{}, 1), start: time.Now()}
}

// RecordPeerRevision takes a revision that another daemon has seen a moment ago. It never blocks.
func (p *Poller) RecordPeerRevision(revision uint64) {
	p.heard.Store(int64(time.Since(p.start)))
	p.controller.ReportRevision(revision)
	if !p.controller.View().Reachable {
		// Another daemon's answer does not tell whether this one reaches the store again.
		return
	}
	select {
	case p.confirmed <- struct{}{}:
	default:
	}
}

// Run asks for the revision when none has been heard for a while, until the context ends.
func (p *Poller) Run(ctx context.Context) error {
	for {
		timer := time.NewTimer(pollAfter + rand.N(pollSpread))
		select {
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		case <-p.confirmed:
			timer.Stop()
			continue
		case <-timer.C:
		}
		p.ask(ctx)
	}
}

func (p *Poller) ask(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	revision, err := p.store.Revision(ctx)
	p.controller.ReportReachable(err == nil)
	if err != nil {
		return
	}
	p.heard.Store(int64(time.Since(p.start)))
	p.controller.ReportRevision(revision)
	p.tell(revision)
}

// StoreDown reports that neither this daemon nor any that it hears from has seen the store lately.
func (p *Poller) StoreDown() bool {
	return time.Since(p.start)-time.Duration(p.heard.Load()) > aloneAfter
}
