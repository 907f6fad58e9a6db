package mangodaemon

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"mangopath.org/mangopath/internal/mangochange"
	"mangopath.org/mangopath/internal/mangocontrol"
	"mangopath.org/mangopath/internal/mangocustomer"
	"mangopath.org/mangopath/internal/mangooperator"
	"mangopath.org/mangopath/internal/mangoprofile"
	"mangopath.org/mangopath/internal/mangosuspect"
	"mangopath.org/mangopath/pkg/mangomessage"
)

// Version of the program.
const Version = "0.1.0"

// proposer puts operators' changes into the log and into force on this entry host.
type proposer struct {
	log        *mangochange.Log
	controller *mangocontrol.Controller
}

var _ mangooperator.Proposer = proposer{}

// Propose implements mangooperator.Proposer.
func (p proposer) Propose(ctx context.Context, changes []*mangomessage.Change, dryRun bool) (uint64, error) {
	if dryRun {
		revision, err := p.log.Check(ctx, changes...)
		return revision, operatorError("check", err)
	}
	for _, c := range changes {
		// A conflict shows the time of the change that won, also when a client did not state it.
		if e := c.GetEntry(); e.GetAtMs() == 0 && e != nil {
			e.AtMs = time.Now().UnixMilli()
		}
	}
	revision, err := p.log.Propose(ctx, changes...)
	if _, forked := mangochange.ForkDetail(err); forked {
		p.controller.PollNow(ctx)
		revision, err = p.log.Propose(ctx, changes...)
	}
	if err != nil {
		return 0, operatorError("propose", err)
	}
	p.controller.PollNow(ctx)
	return revision, nil
}

// operatorError turns an error of the log into one of the operators' API.
func operatorError(op string, err error) error {
	if err == nil {
		return nil
	}
	var known *mangochange.Error
	if !errors.As(err, &known) {
		return &mangooperator.Error{Op: op, Kind: mangooperator.KindInternal, Err: err}
	}
	kind := mangooperator.KindInternal
	switch known.Kind {
	case mangochange.KindInvalid:
		kind = mangooperator.KindInvalid
	case mangochange.KindConflict:
		kind = mangooperator.KindConflict
	case mangochange.KindUnknown:
		kind = mangooperator.KindUnknown
	case mangochange.KindUnavailable, mangochange.KindContention, mangochange.KindStoreBehind:
		kind = mangooperator.KindUnavailable
	case mangochange.KindFork, mangochange.KindCorrupt:
	}
	return &mangooperator.Error{Op: op, Kind: kind, Present: known.Present, Err: known.Err}
}

// historian reads the latest changes that the book keeps.
type historian struct{ controller *mangocontrol.Controller }

var _ mangooperator.HistoryReader = historian{}

// History implements mangooperator.Historian.
func (h historian) History(_ context.Context, name string) ([]*mangomessage.Entry, error) {
	recent := h.controller.Snapshot().Book.Recent(mangoprofile.MaxRecentEntries)
	var entries []*mangomessage.Entry
	for _, e := range slices.Backward(recent) {
		if name == "" || mangoprofile.EntryName(e) == name {
			entries = append(entries, e)
		}
	}
	return entries, nil
}

// explainer explains routes and maps unknown names to the operators' error.
type explainer struct{ controller *mangocontrol.Controller }

var _ mangooperator.RouteExplainer = explainer{}

// Explain implements mangooperator.Explainer.
func (e explainer) Explain(ctx context.Context, request *mangomessage.ExplainRequest) (*mangomessage.ExplainReply, error) {
	reply, err := e.controller.Explain(ctx, request)
	if err != nil {
		return nil, &mangooperator.Error{Op: "explain", Kind: mangooperator.KindNotFound, Err: err}
	}
	return reply, nil
}

// readiness says whether the load balancer may send calls here.
type readiness struct {
	started time.Time
	// warm is set once the upstreams are known.
	warm     atomic.Bool
	stopping atomic.Bool
}

// reporter tells the state of this entry host.
type reporter struct {
	controller *mangocontrol.Controller
	queue      *mangocustomer.Queue
	suspects   *mangosuspect.CrashTracker
	ready      *readiness
	placement  *placement
	region     string
}

var _ mangooperator.StatusReporter = reporter{}

// Status implements mangooperator.Reporter.
func (r reporter) Status() *mangomessage.OperatorStatus {
	status := r.controller.Status()
	status.Region, status.Version = r.region, Version
	status.UptimeMs = uint64(time.Since(r.ready.started).Milliseconds())
	for _, l := range r.queue.Loads() {
		status.Queued += uint32(l.Queued)
	}
	status.Placing, status.FencingNumber = r.placement.tenure()
	suspects, condemned := r.suspects.Counts(time.Now())
	status.Suspects = uint32(suspects + condemned)
	switch {
	case r.ready.stopping.Load():
		status.Reason = "this entry host is shutting down"
	case !r.controller.HasConfiguration():
		status.Reason = "neither the platform nor a peer has given the configuration yet"
	case !r.ready.warm.Load():
		status.Reason = "the upstreams are not known yet"
	default:
		status.Ready = true
	}
	return status
}
