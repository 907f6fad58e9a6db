package main

import (
	"fmt"
	"strings"
	"time"

	"mangopath.org/mangopath/pkg/mangomessage"
)

// printRelayExplanation prints the answer of a relay as text.
func printRelayExplanation(p printer, r *mangomessage.RelayExplainReply) error {
	customer := r.GetCustomer()
	if customer == "" {
		customer = "none"
	}
	caller := "new"
	if r.GetReturning() {
		caller = "returning"
	}
	rows := [][]string{
		{"Request", r.GetMethod() + " " + r.GetHost() + r.GetPath()},
		{"Route", r.GetRoute() + ", " + r.GetKind()},
		{"Customer", customer},
		{"Rank", fmt.Sprintf("%d, route priority %d, %s caller, %s left", r.GetRank(), r.GetRoutePriority(), caller, formatMillis(r.GetTimeLeftMs()))},
		{"Daemon", fmt.Sprintf("in %s, configuration %d", r.GetDataCentre(), r.GetVersion())},
	}
	if err := p.printTable(rows); err != nil {
		return err
	}
	for _, s := range r.GetServices() {
		if err := printExplainedService(p, s); err != nil {
			return err
		}
	}
	return p.printLine("Costs are without their random part: requests like this one also go to targets that cost nearly the same.\n" +
		"The answer is what this daemon knows at this moment; nothing was sent or counted.")
}

// printExplainedService prints the part of an explanation about one service.
func printExplainedService(p printer, s *mangomessage.RelayExplainedService) error {
	rows := [][]string{
		{"Service", fmt.Sprintf("%s, %.3g of the route's requests", s.GetService(), s.GetShare())},
		{"Admission", formatAdmission(s.GetAdmission())},
		{"Chosen", formatTarget(s.GetChosen(), s.GetReason())},
		{"Retries", fmt.Sprintf("%.1f left at this daemon, of whose budget the request leaves %.3g to others", s.GetRetriesLeft(), s.GetRetryReserve())},
	}
	if err := p.printLine(""); err != nil {
		return err
	}
	if err := p.printTable(rows); err != nil {
		return err
	}
	if len(s.GetDataCentres()) > 0 {
		rows = [][]string{{"DATA CENTRE", "WAIT", "CHEAPEST CHAIN"}}
		for _, d := range s.GetDataCentres() {
			rows = append(rows, []string{d.GetName(), formatMillis(d.GetWaitMs()), formatTarget(d.GetCheapest(), d.GetReason())})
		}
		if err := p.printTable(rows); err != nil {
			return err
		}
	}
	return p.printTable(replicaRows(s))
}

// replicaRows returns all replicas of a plain service, and those with a note of a split model.
func replicaRows(s *mangomessage.RelayExplainedService) [][]string {
	plain := len(s.GetDataCentres()) == 0
	rows := [][]string{{"REPLICA", "DATA CENTRE", "COST", "EXCLUDED", "NOTES"}}
	for _, r := range s.GetReplicas() {
		var notes []string
		for _, n := range r.GetNotes() {
			notes = append(notes, formatNote(n))
		}
		if r.GetKept() {
			notes = append(notes, "kept connection")
		}
		cost := "-"
		if plain && !r.GetExcluded() {
			cost = fmt.Sprintf("%.3f", r.GetCost())
		}
		if plain || r.GetExcluded() || len(r.GetNotes()) > 0 {
			rows = append(rows, []string{r.GetReplica(), r.GetDataCentre(), cost, fmt.Sprint(r.GetExcluded()), strings.Join(notes, ", ")})
		}
	}
	if len(rows) == 1 {
		return nil
	}
	return rows
}

// formatAdmission returns a decision on admission with its numbers.
func formatAdmission(a *mangomessage.RelayExplainedAdmission) string {
	text := "admitted"
	switch share := a.GetShare(); {
	case share <= 0:
		text = "refused"
	case share < 1:
		text = fmt.Sprintf("admitted with probability %.3f", share)
	}
	text += ", reason " + a.GetReason()
	if a.ViewAgeMs != nil {
		text += fmt.Sprintf(", room %.0f, demand %.0f, view %s old", a.GetRoom(), a.GetDemand(), formatMillis(a.GetViewAgeMs()))
	}
	if a.GetRefuseAllFromMs() > 0 {
		text += fmt.Sprintf(", wait %s of %s to %s", formatMillis(a.GetWaitMs()), formatMillis(a.GetRefuseSomeFromMs()), formatMillis(a.GetRefuseAllFromMs()))
	}
	if a.GetRetryAfterMaxMs() > 0 {
		text += fmt.Sprintf(", Retry-After %s to %s", formatMillis(a.GetRetryAfterMinMs()), formatMillis(a.GetRetryAfterMaxMs()))
	}
	return text
}

// formatTarget returns a target with its stages, and why there is none or what restricts its use.
func formatTarget(t *mangomessage.RelayExplainedTarget, reason string) string {
	if t == nil {
		return "none: " + reason
	}
	var stages []string
	for _, s := range t.GetStages() {
		stage := s.GetReplica()
		if s.GetToLayer() > 0 {
			stage += fmt.Sprintf("[%d-%d]", s.GetFromLayer(), s.GetToLayer())
		}
		stages = append(stages, stage)
	}
	text := strings.Join(stages, " ") + " in " + t.GetDataCentre()
	if t.GetCostMicros() > 0 {
		text += fmt.Sprintf(", cost %v, pressure %.2f", time.Duration(t.GetCostMicros())*time.Microsecond, t.GetPressure())
	}
	if t.GetKept() {
		text += ", over a kept connection"
	}
	if t.GetAvoided() {
		text += ", with avoided replicas since there is nothing else"
	}
	if reason != "" {
		text += "; " + reason
	}
	return text
}

// formatNote returns what is said of a replica.
func formatNote(n *mangomessage.RelayExplainedNote) string {
	text := n.GetKind()
	if n.GetCause() != "" {
		text += " (" + n.GetCause() + ")"
	}
	if n.GetLeftMs() > 0 {
		text += " for " + formatMillis(n.GetLeftMs())
	}
	switch n.GetKind() {
	case "slow", "failing":
		text += fmt.Sprintf(" %.2f", n.GetValue())
	case "limited":
		text += fmt.Sprintf(" to %.3f of the requests", n.GetValue())
	}
	return text
}

// formatMillis returns a number of milliseconds as a duration with its unit.
func formatMillis(n int64) string { return (time.Duration(n) * time.Millisecond).String() }
