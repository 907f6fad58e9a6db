package mangocontrol

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"time"

	"mangopath.org/mangopath/internal/mangochain"
	"mangopath.org/mangopath/internal/mangoprofile"
	"mangopath.org/mangopath/pkg/mangomessage"
)

// Entries returns the entries of the book that are of a kind, including removed ones, or all entries for an empty kind.
func (c *Controller) Entries(kind string) *mangomessage.EntryList {
	book := c.Snapshot().Book
	list := &mangomessage.EntryList{Revision: book.Revision()}
	for i := range mangoprofile.PageCount {
		for _, e := range book.Page(i) {
			if kind == "" || mangoprofile.EntryKind(e) == kind {
				list.Entries = append(list.Entries, e)
			}
		}
	}
	slices.SortFunc(list.Entries, func(a, b *mangomessage.Entry) int {
		return cmp.Or(cmp.Compare(mangoprofile.EntryKind(a), mangoprofile.EntryKind(b)), cmp.Compare(mangoprofile.EntryName(a), mangoprofile.EntryName(b)))
	})
	return list
}

// Hosts returns a report for operators on each host of the directory.
func (c *Controller) Hosts() []*mangomessage.HostReport {
	s := c.Snapshot()
	hosts := s.Directory.Hosts("")
	reports := make([]*mangomessage.HostReport, 0, len(hosts))
	for _, h := range hosts {
		r := &mangomessage.HostReport{
			Name: h.Name, Role: h.Role, DataCentre: h.DataCentre, Address: h.Address, Kind: h.Kind,
			State: h.State(s.TakenAt).String(), InFlight: uint32(max(c.meter.InFlight(h.Name), 0)),
		}
		if reason := h.Reason(s.TakenAt); reason != "" {
			r.Reasons = []string{reason}
		}
		if e := h.Report; e != nil {
			r.Model, r.Version, r.FromLayer, r.ToLayer = e.Model, e.Version, e.FromLayer, e.ToLayer
			r.Running, r.Waiting = e.Running, e.Waiting
		}
		reports = append(reports, r)
	}
	return reports
}

// Explain returns the chain that a request for a profile would get now, with its costs, or the reason why there is none.
func (c *Controller) Explain(ctx context.Context, request *mangomessage.ExplainRequest) (*mangomessage.ExplainReply, error) {
	profile, err := c.Resolve(ctx, request.Profile)
	if err != nil {
		return nil, err
	}
	s := c.Snapshot()
	reply := &mangomessage.ExplainReply{Profile: profile.Name, Revision: s.Book.Revision()}
	if profile.Kind == KindService {
		c.explainService(reply, profile)
		return reply, nil
	}
	chain, err := mangochain.Choose(s.View(profile), mangochain.Request{Profile: profile, InFlight: c.meter.InFlight, TimeLeft: time.Minute})
	if err != nil {
		reply.Reason = err.Error()
		return reply, nil
	}
	explained := &mangomessage.ExplainedChain{CostMicros: uint64(chain.Cost.Microseconds()), Chosen: true, Reason: chain.Reason}
	for _, stage := range chain.Stages {
		explained.Stages = append(explained.Stages, &mangomessage.ExplainedStage{
			Host: stage.Replica.Host, DataCentre: stage.Replica.DataCentre, FromLayer: stage.Replica.FromLayer,
			ToLayer: stage.Replica.ToLayer, CostMicros: uint64(stage.Cost.Microseconds()),
		})
	}
	reply.Chains = []*mangomessage.ExplainedChain{explained}
	return reply, nil
}

// explainService explains how calls to a plain service are distributed among its usable replicas.
func (c *Controller) explainService(reply *mangomessage.ExplainReply, profile *mangomessage.Profile) {
	usable := c.Usable(profile)
	if len(usable) == 0 {
		reply.Reason = "no replica of the service is usable"
		return
	}
	names := make([]string, len(usable))
	for i, r := range usable {
		names[i] = r.Host
	}
	reply.Chains = []*mangomessage.ExplainedChain{{
		Chosen: true, Reason: "calls go to the less loaded of two random replicas of " + strings.Join(names, ", "),
	}}
}

// Status returns a summary of the control state for operators.
func (c *Controller) Status() *mangomessage.OperatorStatus {
	s := c.Snapshot()
	status := &mangomessage.OperatorStatus{
		Host: c.identity.Name, DataCentre: c.identity.DataCentre, Revision: s.Book.Revision(),
		ConfirmedAgeMs: uint64(confirmationAge(s, c.now())), Unconfirmed: !c.IsFresh(), Peers: randomMembers(s, c.now()),
	}
	status.Forks, status.Fork = c.Forks()
	c.meter.EachInFlight(func(_ string, n int) { status.InFlight += uint32(n) })
	return status
}

// HasConfiguration reports whether this daemon has a configuration to serve with: a book that was confirmed at some
// time, even if it is empty, or one with changes that a peer sent.
func (c *Controller) HasConfiguration() bool {
	s := c.Snapshot()
	return s.Book.Revision() > 0 || !s.ConfirmedAt.IsZero()
}
