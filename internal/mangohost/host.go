package mangohost

import (
	"time"

	"google.golang.org/protobuf/proto"

	"mangopath.org/mangopath/pkg/mangomessage"
)

// Roles of hosts in the platform's list.
const (
	RoleEntry   = "Entry"
	RoleEngine  = "Engine"
	RoleService = "Service"
)

const (
	// slowStartWindow is the time in which a new or recovered upstream rises to its full share of load.
	slowStartWindow = 10 * time.Second
	// minSlowStartFactor is the part of its full share that it gets at the start.
	minSlowStartFactor = 0.1
	// baseEjectionTime and maxEjectionTime bound the time for which a failing upstream is ejected; it doubles with each
	// consecutive failure.
	baseEjectionTime = time.Second
	maxEjectionTime  = 30 * time.Second
	// maxReportAge is the age past which the load of a report is not used.
	maxReportAge = 10 * time.Second
)

// State says whether a host may get new work.
type State int

const (
	// StateLive hosts get new work.
	StateLive State = iota + 1
	// StateUnprobed hosts are engines that have not yet reported what they serve; they get no work.
	StateUnprobed
	// StateEjected hosts failed recently and get work only when no other host can serve it.
	StateEjected
	// StateLeaving hosts get no new work.
	StateLeaving
)

// String returns the name of the state as it appears in logs and status.
func (s State) String() string {
	switch s {
	case StateLive:
		return "Live"
	case StateUnprobed:
		return "Unprobed"
	case StateEjected:
		return "Ejected"
	case StateLeaving:
		return "Leaving"
	default:
		return "Invalid"
	}
}

// Host is what is known about one host. It is a value: the methods return a changed copy.
type Host struct {
	Name       string
	Role       string
	DataCentre string
	Address    string
	// Kind is the kind of an upstream, such as its accelerator and engine type.
	Kind string
	// ListedLeaving, DrainMarked and ReportedLeaving say that the host leaves: by the platform's list, by an operator's drain
	// mark and by the host's own report.
	ListedLeaving   bool
	DrainMarked     bool
	ReportedLeaving bool
	// Report is the latest report of an engine, with load figures of the time ReportAt; nil before the first probe.
	Report   *mangomessage.EngineState
	ReportAt time.Time
	// ProbedAt is the time of the latest report from the engine itself; load figures relayed by other daemons do not change it.
	ProbedAt time.Time
	// SlowStartAt is the time at which the latest slow start began; zero means that there was none.
	SlowStartAt time.Time
	// Failures counts consecutive failures; EjectedUntil is the end of the ejection that they caused.
	Failures     int
	EjectedUntil time.Time
}

// State returns the most restrictive state that any source gives.
func (h Host) State(now time.Time) State {
	switch {
	case h.ListedLeaving || h.DrainMarked || h.ReportedLeaving:
		return StateLeaving
	case h.Role == RoleEngine && h.Report == nil:
		return StateUnprobed
	case now.Before(h.EjectedUntil):
		return StateEjected
	default:
		return StateLive
	}
}

// Reason names the source that decided the state, for status and logs; it is empty in StateLive.
func (h Host) Reason(now time.Time) string {
	switch {
	case h.DrainMarked:
		return "drain mark"
	case h.ListedLeaving:
		return "host list"
	case h.ReportedLeaving:
		return "own refusal"
	case h.Role == RoleEngine && h.Report == nil:
		return "no probe yet"
	case now.Before(h.EjectedUntil):
		return "failures"
	default:
		return ""
	}
}

// SlowStartFactor returns the part of its full share of load that the host may get, which rises to 1 during slow start.
func (h Host) SlowStartFactor(now time.Time) float64 {
	if h.SlowStartAt.IsZero() {
		return 1
	}
	factor := minSlowStartFactor + (1-minSlowStartFactor)*float64(now.Sub(h.SlowStartAt))/float64(slowStartWindow)
	return min(max(factor, minSlowStartFactor), 1)
}

// ReportedLoad returns the running and waiting calls of the latest report and their age; ok is false when there is no report
// or it is too old.
func (h Host) ReportedLoad(now time.Time) (calls int, age time.Duration, ok bool) {
	if h.Report == nil {
		return 0, 0, false
	}
	age = now.Sub(h.ReportAt) + time.Duration(h.Report.LagMs)*time.Millisecond
	if age > maxReportAge {
		return 0, age, false
	}
	return int(h.Report.Running + h.Report.Waiting), age, true
}

// WithReport returns the host with a report that it gave itself.
func (h Host) WithReport(state *mangomessage.EngineState, at time.Time) Host {
	if h.Report == nil && h.SlowStartAt.IsZero() {
		h.SlowStartAt = at
	}
	h.Report, h.ReportAt, h.ProbedAt, h.ReportedLeaving = state, at, at, state.Leaving
	return h
}

// WithLoad returns the host, which must have a report, with newer load figures in it.
func (h Host) WithLoad(running, waiting uint32, at time.Time) Host {
	report := proto.CloneOf(h.Report)
	report.Running, report.Waiting, report.LagMs = running, waiting, 0
	h.Report, h.ReportAt = report, at
	return h
}

// WithFailure returns the host after a failed connection or call, ejected for a time.
func (h Host) WithFailure(now time.Time) Host {
	ejection := min(baseEjectionTime<<min(h.Failures, 5), maxEjectionTime)
	h.Failures++
	h.EjectedUntil = now.Add(ejection)
	return h
}

// WithSuccess returns the host after a call or probe that succeeded. If it had failed before, a slow start begins.
func (h Host) WithSuccess(now time.Time) Host {
	if h.Failures == 0 {
		return h
	}
	h.Failures, h.EjectedUntil, h.SlowStartAt = 0, time.Time{}, now
	return h
}
