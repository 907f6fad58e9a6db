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
	// slowStartTime is the time over which a new or recovered upstream reaches its full share.
	slowStartTime = 10 * time.Second
	// slowStartFloor is the share of an upstream at the begin of its slow start.
	slowStartFloor = 0.1
	// ejectBase and ejectMax bound the time that a failing upstream is avoided; it doubles with each failure in a row.
	ejectBase = time.Second
	ejectMax  = 30 * time.Second
	// reportMaxAge is the age past which a load report says nothing about the present.
	reportMaxAge = 10 * time.Second
)

// State says which work a host may get.
type State int

const (
	// StateLive hosts get new work.
	StateLive State = iota + 1
	// StateUnprobed hosts have not yet stated what they hold and get no work.
	StateUnprobed
	// StateEjected hosts failed lately and get work only when no other can serve it.
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

// Host is what is known about one host; it is a value and never changed in place.
type Host struct {
	Name       string
	Role       string
	DataCentre string
	Address    string
	Kind       string
	// ListedLeaving, Marked and Refused are the sources that say that the host leaves.
	ListedLeaving bool
	DrainMarked        bool
	ReportedLeaving       bool
	// Engine is the latest report of an engine, received at EngineAt; nil before the first probe.
	Report   *mangomessage.EngineState
	ReportAt time.Time
	// ProbedAt is the time of the latest report that the engine itself gave; relayed load figures do not change it.
	ProbedAt time.Time
	// SlowStartAt is the time at which the slow start began; zero means full share.
	SlowStartAt time.Time
	// Failures counts failures in a row and EjectedUntil ends the ejection that they caused.
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

// Reason names the source that decided the state, for status and logs.
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

// SlowStartFactor returns the part of its capacity that the host may be given during slow start, from 0 to 1.
func (h Host) SlowStartFactor(now time.Time) float64 {
	if h.SlowStartAt.IsZero() {
		return 1
	}
	share := slowStartFloor + (1-slowStartFloor)*float64(now.Sub(h.SlowStartAt))/float64(slowStartTime)
	return min(max(share, slowStartFloor), 1)
}

// ReportedLoad returns the running and waiting calls of the latest report and its age; ok is false when it is too old.
func (h Host) ReportedLoad(now time.Time) (calls int, age time.Duration, ok bool) {
	if h.Report == nil {
		return 0, 0, false
	}
	age = now.Sub(h.ReportAt) + time.Duration(h.Report.LagMs)*time.Millisecond
	if age > reportMaxAge {
		return 0, age, false
	}
	return int(h.Report.Running + h.Report.Waiting), age, true
}

// WithReport returns the host with a report of its own.
func (h Host) WithReport(state *mangomessage.EngineState, at time.Time) Host {
	if h.Report == nil && h.SlowStartAt.IsZero() {
		h.SlowStartAt = at
	}
	h.Report, h.ReportAt, h.ProbedAt, h.ReportedLeaving = state, at, at, state.Leaving
	return h
}

// WithLoad returns the host with newer load figures in its report.
func (h Host) WithLoad(running, waiting uint32, at time.Time) Host {
	report := proto.CloneOf(h.Report)
	report.Running, report.Waiting, report.LagMs = running, waiting, 0
	h.Report, h.ReportAt = report, at
	return h
}

// WithFailure returns the host after a failed connection or call.
func (h Host) WithFailure(now time.Time) Host {
	eject := min(ejectBase<<min(h.Failures, 5), ejectMax)
	h.Failures++
	h.EjectedUntil = now.Add(eject)
	return h
}

// WithSuccess returns the host after a call or probe that worked; a host that had been ejected starts slowly.
func (h Host) WithSuccess(now time.Time) Host {
	if h.Failures == 0 {
		return h
	}
	h.Failures, h.EjectedUntil, h.SlowStartAt = 0, time.Time{}, now
	return h
}
