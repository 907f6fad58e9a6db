package main

import (
	"context"
	"math"
	"strconv"
	"strings"

	"github.com/urfave/cli/v3"

	"mangopath.org/mangopath/pkg/mangomessage"
)

func hostCommand() *cli.Command {
	dryRun := &cli.BoolFlag{Name: "dry-run", Usage: "check the changes without making them"}
	return &cli.Command{
		Name: "host", Usage: "list hosts, and take them out of service or back in",
		Commands: []*cli.Command{
			{
				Name: "drain", Usage: "stop sending new work to hosts", ArgsUsage: "HOST [HOST ...]", Flags: []cli.Flag{dryRun},
				Description: "Example: mangopath host drain tekst-n-01 tekst-n-02", Action: setDrainMarks(true),
			},
			{
				Name: "undrain", Usage: "send work to hosts again", ArgsUsage: "HOST [HOST ...]", Flags: []cli.Flag{dryRun},
				Description: "Example: mangopath host undrain tekst-n-01", Action: setDrainMarks(false),
			},
			{
				Name: "list", Usage: "list hosts with their states and reasons",
				Description: "Example: mangopath --output json host list", Action: hostList,
			},
		},
	}
}

// setDrainMarks returns the action that sets or clears the drain mark of hosts. It accepts hosts that are not in the host
// list, so that a host can be marked before it joins.
func setDrainMarks(drain bool) cli.ActionFunc {
	return func(ctx context.Context, c *cli.Command) error {
		hosts, err := positionalArgs(c, 1, math.MaxInt)
		if err != nil {
			return err
		}
		s, err := openSession(c)
		if err != nil {
			return err
		}
		list, err := s.client.Entries(ctx, "HostMark")
		if err != nil {
			return err
		}
		var marks []*mangomessage.Entry
		for _, h := range hosts {
			marks = append(marks, &mangomessage.Entry{Content: &mangomessage.Entry_HostMark{
				HostMark: &mangomessage.HostMark{Host: h, Drain: drain},
			}})
		}
		return s.proposeEntries(ctx, c, list, marks)
	}
}

// hostList prints the hosts with their states; LOAD is the number of running and of waiting calls.
func hostList(ctx context.Context, c *cli.Command) error {
	if _, err := positionalArgs(c, 0, 0); err != nil {
		return err
	}
	s, err := openSession(c)
	if err != nil {
		return err
	}
	reports, err := s.client.Hosts(ctx)
	if err != nil {
		return err
	}
	if s.json {
		return s.printJSON(reports)
	}
	rows := [][]string{{"HOST", "ROLE", "DATA CENTRE", "STATE", "MODEL", "LAYERS", "LOAD", "REASONS"}}
	for _, h := range reports.GetHosts() {
		rows = append(rows, []string{
			h.GetName(), h.GetRole(), h.GetDataCentre(), h.GetState(), strings.TrimSpace(h.GetModel() + " " + h.GetVersion()),
			formatUint32(h.GetFromLayer()) + "-" + formatUint32(h.GetToLayer()), formatUint32(h.GetRunning()) + "+" + formatUint32(h.GetWaiting()),
			strings.Join(h.GetReasons(), ","),
		})
	}
	return s.printTable(rows)
}

func formatUint32(n uint32) string { return strconv.FormatUint(uint64(n), 10) }
