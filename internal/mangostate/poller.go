package mangostate

import (
	"context"
	"math/rand/v2"
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
	// pollTimeout bounds one poll.
	pollTimeout = 600 * time.Millisecond
)

// Poller polls the store's revision and shares it with other daemons, so that the Controller notices a watch that no longer
// delivers changes.
type Poller struct {
	controller    *Controller
	store         RevisionReader
	contact       *Contact
	announce      func(revision uint64)
	peerConfirmed chan struct{}
	// polls reports whether this daemon polls at all, and onResult takes the begin and the error of each poll.
	polls    func() bool
	onResult func(begun time.Time, err error)
}

// PollerOption sets a property of a Poller.
type PollerOption func(*Poller)

// WithPolls sets the function that reports whether this daemon polls; the default is that it does.
func WithPolls(f func() bool) PollerOption { return func(p *Poller) { p.polls = f } }

// WithPollResult sets the function that takes the begin and the error of each poll, nil if it reached the store. The default reports it to
// the controller.
func WithPollResult(f func(begun time.Time, err error)) PollerOption {
	return func(p *Poller) { p.onResult = f }
}

// NewPoller returns a poller; announce sends the revision to the other daemons and must not block.
func NewPoller(controller *Controller, store RevisionReader, contact *Contact, announce func(revision uint64), opts ...PollerOption) *Poller {
	p := &Poller{
		controller: controller, store: store, contact: contact, announce: announce, peerConfirmed: make(chan struct{}, 1),
		polls: func() bool { return true }, onResult: func(_ time.Time, err error) { controller.ReportReachable(err == nil) },
	}
	for _, o := range opts {
		o(p)
	}
	return p
}

// RecordPeerRevision takes a revision of the store that another daemon has just read. It never blocks.
func (p *Poller) RecordPeerRevision(revision uint64) {
	p.contact.Record(0)
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
		if !p.polls() {
			continue
		}
		p.poll(ctx)
	}
}

// poll reads the revision once and reports the result to the controller and, on success, to the other daemons.
func (p *Poller) poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	begun := time.Now()
	revision, err := p.store.Revision(ctx)
	p.onResult(begun, err)
	if err != nil {
		return
	}
	p.contact.Record(0)
	p.controller.ReportRevision(revision)
	p.announce(revision)
}
