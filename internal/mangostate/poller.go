package mangostate

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"
)

// RevisionReader reads the current revision of the store by one cheap call that is never answered from a stale state.
type RevisionReader interface {
	Revision(ctx context.Context) (uint64, error)
}

const (
	// A daemon polls the revision when neither its own polls nor its peers have confirmed one for minPollDelay plus a
	// random time up to pollJitter. The first daemon to poll tells the others, so that they need not.
	minPollDelay = 900 * time.Millisecond
	pollJitter   = 500 * time.Millisecond
	// storeDownAfter is the time after which a store that neither this daemon nor a peer has reached counts as down. Daemons
	// that reach the store tell each other about once a second.
	storeDownAfter = 1900 * time.Millisecond
	// pollTimeout bounds one poll.
	pollTimeout = 600 * time.Millisecond
)

// Poller polls the store's revision and shares it with other daemons, so that the Controller notices a watch that no longer
// delivers changes.
type Poller struct {
	controller    *Controller
	store         RevisionReader
	announce      func(revision uint64)
	peerConfirmed chan struct{}
	// lastSeen is the time at which this daemon or a peer last reached the store, in nanoseconds since start.
	lastSeen atomic.Int64
	start    time.Time
}

// NewPoller returns a poller; announce sends the revision to the other daemons and must not block.
func NewPoller(controller *Controller, store RevisionReader, announce func(revision uint64)) *Poller {
	return &Poller{controller: controller, store: store, announce: announce, peerConfirmed: make(chan struct{}, 1), start: time.Now()}
}

// RecordPeerRevision takes a revision of the store that another daemon has just read. It never blocks.
func (p *Poller) RecordPeerRevision(revision uint64) {
	p.lastSeen.Store(int64(time.Since(p.start)))
	p.controller.ReportRevision(revision)
	if !p.controller.View().Reachable {
		// The peer's success does not show that this daemon reaches the store again, so it must poll itself.
		return
	}
	select {
	case p.peerConfirmed <- struct{}{}:
	default:
	}
}

// Run polls the revision whenever no peer has confirmed one for a while, until the context ends.
func (p *Poller) Run(ctx context.Context) error {
	for {
		timer := time.NewTimer(minPollDelay + rand.N(pollJitter))
		select {
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		case <-p.peerConfirmed:
			timer.Stop()
			continue
		case <-timer.C:
		}
		p.poll(ctx)
	}
}

// poll reads the revision once and reports the result to the controller and, on success, to the other daemons.
func (p *Poller) poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	revision, err := p.store.Revision(ctx)
	p.controller.ReportReachable(err == nil)
	if err != nil {
		return
	}
	p.lastSeen.Store(int64(time.Since(p.start)))
	p.controller.ReportRevision(revision)
	p.announce(revision)
}

// StoreDown reports whether neither this daemon nor any peer that it hears from has reached the store lately.
func (p *Poller) StoreDown() bool {
	return time.Since(p.start)-time.Duration(p.lastSeen.Load()) > storeDownAfter
}
