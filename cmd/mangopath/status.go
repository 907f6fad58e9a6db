package main

import (
	"context"
	"runtime/debug"
	"strconv"
	"time"

	"github.com/urfave/cli/v3"

	"mangopath.org/mangopath/pkg/mangomessage"
)

func statusCommand() *cli.Command {
	return &cli.Command{
		Name: "status", Usage: "print the state of the first entry host that answers",
		Description: "Example: mangopath --operators 127.0.0.1:7201 --token-file token status", Action: status,
	}
}

// status prints the state of an entry host.
func status(ctx context.Context, c *cli.Command) error {
	if _, err := positionalArgs(c, 0, 0); err != nil {
		return err
	}
	s, err := openSession(c)
	if err != nil {
		return err
	}
	reply, err := s.client.Status(ctx)
	if err != nil {
		return err
	}
	if s.json {
		return s.printJSON(reply)
	}
	return s.printTable(statusRows(reply))
}

// statusRows returns the name and the value of each property of an entry host.
func statusRows(r *mangomessage.OperatorStatus) [][]string {
	ready := "yes"
	if !r.GetReady() {
		ready = "no: " + r.GetReason()
	}
	rows := [][]string{
		{"Host", r.GetHost()},
		{"Place", r.GetDataCentre() + ", " + r.GetRegion()},
		{"Version", r.GetVersion()},
		{"Uptime", (time.Duration(r.GetUptimeMs()) * time.Millisecond).Round(time.Second).String()},
		{"Ready", ready},
		{"Revision", strconv.FormatUint(r.GetRevision(), 10)},
		{"Confirmed", (time.Duration(r.GetConfirmedAgeMs()) * time.Millisecond).String() + " ago"},
		{"Unconfirmed", strconv.FormatBool(r.GetUnconfirmed())},
		{"Calls", formatUint32(r.GetInFlight()) + " in flight, " + formatUint32(r.GetQueued()) + " queued"},
		{"Suspects", formatUint32(r.GetSuspects())},
		{"Placing", strconv.FormatBool(r.GetPlacing()) + ", fencing number " + strconv.FormatUint(r.GetFencingNumber(), 10)},
	}
	if r.GetForks() > 0 {
		rows = append(rows, []string{"Forks", formatUint32(r.GetForks()) + " of the change log, last: " + r.GetFork()})
	}
	for _, p := range r.GetPeers() {
		rows = append(rows, []string{"Peer", p.GetName() + " in " + p.GetDataCentre() + " at " + p.GetAddress()})
	}
	return rows
}

func versionCommand() *cli.Command {
	return &cli.Command{
		Name: "version", Usage: "print the version of the program", Description: "Example: mangopath version",
		Action: func(_ context.Context, c *cli.Command) error {
			p, err := newPrinter(c)
			if err != nil {
				return err
			}
			version, revision := buildVersion()
			if p.json {
				return p.printLine(`{"Version":%q,"Revision":%q}`, version, revision)
			}
			return p.printLine("mangopath %s %s", version, revision)
		},
	}
}

// buildVersion returns the module version and the VCS revision that the Go command recorded in the binary.
func buildVersion() (string, string) {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown", "unknown"
	}
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			return info.Main.Version, s.Value
		}
	}
	return info.Main.Version, "unknown"
}
