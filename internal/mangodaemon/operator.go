package mangodaemon

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"mangopath.org/mangopath/internal/mangochange"
	"mangopath.org/mangopath/internal/mangocontrol"
	"mangopath.org/mangopath/internal/mangocrash"
	"mangopath.org/mangopath/internal/mangocustomer"
	"mangopath.org/mangopath/internal/mangooperator"
	"mangopath.org/mangopath/internal/mangoprofile"
	"mangopath.org/mangopath/pkg/mangomessage"
)

// Version is the version of the program, as the operators' status shows it.
const Version = "0.1.0"

// proposer appends operators' changes to the change log and applies them on this entry host.
type proposer struct {
	log        *mangochange.Log
	controller *mangocontrol.Controller
}

var _ mangooperator.Proposer = proposer{}

// Propose implements mangooperator.Proposer. If the log has forked it polls the log, which settles the fork, and proposes
// again.
func (p proposer) Propose(ctx context.Context, changes []*mangomessage.Change, dryRun bool) (uint64, error) {
	if dryRun {
		revision, err := p.log.Check(ctx, changes...)
		return revision, operatorError("check", err)
	}
	for _, c := range changes {
		// A conflict shows the operator when the accepted change was made, so set the time if the client did not.
		if e := c.GetEntry(); e.GetAtMs() == 0 && e != nil {
			e.AtMs = time.Now().UnixMilli()
		}
	}
	revision, err := p.log.Propose(ctx, changes...)
	if _, forked := mangochange.ForkDetail(err); forked {
		p.controller.PollNow(ctx)
		revision, err = p.log.Propose(ctx, changes...)
	}
	var logError *mangochange.Error
	if err == nil || (errors.As(err, &logError) && logError.Kind == mangochange.KindConflict) {
		// After a conflict this daemon answers with the newer entry, so that the operator does not base the next change on the old one.
		p.controller.PollNow(ctx)
	}
	return revision, operatorError("propose", err)
}

// operatorError converts an error of the change log to one of the operators' API.
func operatorError(op string, err error) error {
	if err == nil {
		return nil
	}
	var logError *mangochange.Error
	if !errors.As(err, &logError) {
		return &mangooperator.Error{Op: op, Kind: mangooperator.KindInternal, Err: err}
	}
	kind := mangooperator.KindInternal
	switch logError.Kind {
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
	return &mangooperator.Error{Op: op, Kind: kind, Present: logError.Present, Err: logError.Err}
}

// historian returns the latest entries that the book keeps.
type historian struct{ controller *mangocontrol.Controller }

var _ mangooperator.HistoryReader = historian{}

// History implements mangooperator.HistoryReader.
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

// explainer explains routes and returns errors of the operators' API.
type explainer struct{ controller *mangocontrol.Controller }

var _ mangooperator.RouteExplainer = explainer{}

// Explain implements mangooperator.RouteExplainer; every error is of KindNotFound.
func (e explainer) Explain(ctx context.Context, request *mangomessage.ExplainRequest) (*mangomessage.ExplainReply, error) {
	reply, err := e.controller.Explain(ctx, request)
	if err != nil {
		return nil, &mangooperator.Error{Op: "explain", Kind: mangooperator.KindNotFound, Err: err}
	}
	return reply, nil
}

// readiness has the conditions under which the load balancer may send calls to this entry host.
type readiness struct {
	started time.Time
	// upstreamsKnown is set when canServe returns true, or after upstreamWaitTimeout if it does not.
	upstreamsKnown atomic.Bool
	// stopping is set when draining begins.
	stopping atomic.Bool
}

// statusReporter collects the status of this entry host from its components.
type statusReporter struct {
	controller *mangocontrol.Controller
	queue      *mangocustomer.Queue
	crashes    *mangocrash.CrashTracker
	readiness  *readiness
	placement  *placementRunner
	region     string
}

var _ mangooperator.StatusReporter = statusReporter{}

// Status implements mangooperator.StatusReporter.
func (r statusReporter) Status() *mangomessage.OperatorStatus {
	status := r.controller.Status()
	status.Region, status.Version = r.region, Version
	status.UptimeMs = uint64(time.Since(r.readiness.started).Milliseconds())
	for _, l := range r.queue.Loads() {
		status.Queued += uint32(l.Queued)
	}
	status.Placing, status.FencingNumber = r.placement.heldLease()
	suspects, blocked := r.crashes.Counts(time.Now())
	status.Suspects = uint32(suspects + blocked)
	switch {
	case r.readiness.stopping.Load():
		status.Reason = "this entry host is shutting down"
	case !r.controller.HasConfiguration():
		status.Reason = "neither the platform nor a peer has given the configuration yet"
	case !r.readiness.upstreamsKnown.Load():
		status.Reason = "the upstreams are not known yet"
	default:
		status.Ready = true
	}
	return status
}
