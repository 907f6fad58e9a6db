package mangohub

import (
	"sync"
	"time"

	"mangopath.org/mangopath/internal/mangocapacity"
	"mangopath.org/mangopath/internal/mangoroute"
	"mangopath.org/mangopath/pkg/mangomessage"
)

// DemandTable sums the demand reports of daemons. It is safe for concurrent use.
type DemandTable struct {
	mu sync.Mutex
	// members has the reports of this hub and its followers, and groups those of other hubs, by the name of the daemon.
	members, groups map[string]demandReport
}

// demandReport is what a daemon, or a hub for its group of daemons, reported last.
type demandReport struct {
	report mangocapacity.Report
	at     time.Time
}

// NewDemandTable returns a table without reports.
func NewDemandTable() *DemandTable {
	return &DemandTable{members: map[string]demandReport{}, groups: map[string]demandReport{}}
}

// RecordMember records the report of this hub or of one of its followers.
func (t *DemandTable) RecordMember(name string, r mangocapacity.Report, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.members[name] = demandReport{report: r, at: now}
	delete(t.groups, name)
}

// RecordGroup records the summed report of another hub and its followers.
func (t *DemandTable) RecordGroup(hub string, r mangocapacity.Report, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.groups[hub] = demandReport{report: r, at: now}
	delete(t.members, hub)
}

// Group returns the sum of the reports of this hub and its followers.
func (t *DemandTable) Group(now time.Time) mangocapacity.Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	return mangocapacity.Sum(currentReports(nil, t.members, now))
}

// Total returns the sum of the reports of all daemons.
func (t *DemandTable) Total(now time.Time) mangocapacity.Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	return mangocapacity.Sum(currentReports(currentReports(nil, t.members, now), t.groups, now))
}

// currentReports appends the reports to a list, and deletes those older than loadLifetime from the map instead.
func currentReports(list []mangocapacity.Report, reports map[string]demandReport, now time.Time) []mangocapacity.Report {
	for name, r := range reports {
		if now.Sub(r.at) > loadLifetime {
			delete(reports, name)
			continue
		}
		list = append(list, r.report)
	}
	return list
}

// EncodeDemand returns the message form of a report. Its times are relative to now.
func EncodeDemand(r mangocapacity.Report, now time.Time) *mangomessage.DemandReport {
	m := &mangomessage.DemandReport{}
	for k, d := range r.Demand {
		m.Ranks = append(m.Ranks, &mangomessage.RankDemand{
			Service: k.Service, DataCentre: k.DataCentre, Returning: k.Class.Returning,
			Rank: uint32(max(k.Class.Rank.Priority, 0)), RoutePriority: uint32(max(k.Class.Rank.RoutePriority, 0)),
			Requests: float32(d.Requests), Tokens: float32(d.Tokens), PromptTokens: float32(d.PromptTokens), TokenSteps: float32(d.TokenSteps),
		})
	}
	for k, p := range r.Progress {
		m.Sites = append(m.Sites, &mangomessage.SiteProgress{
			Service: k.Service, DataCentre: k.DataCentre, Pending: float32(p.Pending), PendingTokens: float32(p.PendingTokens),
			PendingSeconds: float32(p.PendingSeconds), ReadTokens: float32(p.ReadTokens), EndedSteps: float32(p.EndedSteps),
			EndedSeconds: float32(p.EndedSeconds),
		})
	}
	for key, due := range r.Refusals {
		m.Refusals = append(m.Refusals, &mangomessage.Refusal{Key: uint32(key), DueMs: int32(due.Sub(now).Milliseconds())})
	}
	return m
}

// DecodeDemand is the inverse of EncodeDemand. Of several rows with the same key the last counts.
func DecodeDemand(m *mangomessage.DemandReport, now time.Time) mangocapacity.Report {
	r := mangocapacity.Report{Demand: map[mangocapacity.DemandKey]mangocapacity.Demand{}, Progress: map[mangocapacity.SiteKey]mangocapacity.Progress{}}
	for _, d := range m.GetRanks() {
		key := mangocapacity.DemandKey{
			Service: d.GetService(), DataCentre: d.GetDataCentre(), Class: mangocapacity.Class{
				Rank: mangoroute.Rank{Priority: int(d.GetRank()), RoutePriority: int(d.GetRoutePriority())}, Returning: d.GetReturning(),
			},
		}
		r.Demand[key] = mangocapacity.Demand{Requests: float64(d.GetRequests()), Tokens: float64(d.GetTokens()), PromptTokens: float64(d.GetPromptTokens()), TokenSteps: float64(d.GetTokenSteps())}
	}
	for _, s := range m.GetSites() {
		r.Progress[mangocapacity.SiteKey{Service: s.GetService(), DataCentre: s.GetDataCentre()}] = mangocapacity.Progress{
			Pending: float64(s.GetPending()), PendingTokens: float64(s.GetPendingTokens()), PendingSeconds: float64(s.GetPendingSeconds()),
			ReadTokens: float64(s.GetReadTokens()), EndedSteps: float64(s.GetEndedSteps()), EndedSeconds: float64(s.GetEndedSeconds()),
		}
	}
	for _, f := range m.GetRefusals() {
		if r.Refusals == nil {
			r.Refusals = map[mangocapacity.RefusalKey]time.Time{}
		}
		r.Refusals[mangocapacity.RefusalKey(f.GetKey())] = now.Add(time.Duration(f.GetDueMs()) * time.Millisecond)
	}
	return r
}
