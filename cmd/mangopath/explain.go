package main

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"mangopath.org/mangopath/pkg/mangomessage"
)

func explainCommand() *cli.Command {
	return &cli.Command{
		Name: "explain", Usage: "print where a request would be routed and why, or what happened to a past request", ArgsUsage: "NAME | ID | --relay IP:PORT",
		Description: `With --log the argument is the id of a past request. What happened to it is read from the log files; no daemon is needed.
With --relay there is no argument: a running relay says where a request with the given properties would go now. Nothing is sent.

Example: mangopath explain tekst-model --prompt "Beschrijf deze kat"
Example: mangopath explain --log edge-1.log --log edge-2.log 9c41d07be2a35f68
Example: mangopath explain --relay 127.0.0.1:9100 --host api.example.org --path /v1/chat --customer anna --prompt-tokens 800`,
		Flags: append([]cli.Flag{
			&cli.StringFlag{Name: "prompt", Usage: "`TEXT` of the request's prompt; it is sent to the entry host, which does not use it"},
			&cli.StringSliceFlag{Name: "log", Usage: "log `FILE` of a daemon; may be repeated"},
		}, relayExplainFlags()...),
		Action: explain,
	}
}

// explain prints where a request would be routed and the cost, or with --log the recorded events of a past request.
func explain(ctx context.Context, c *cli.Command) error {
	if c.IsSet("relay") {
		return explainAtRelay(ctx, c)
	}
	args, err := positionalArgs(c, 1, 1)
	if err != nil {
		return err
	}
	if files := c.StringSlice("log"); len(files) > 0 {
		p, err := newPrinter(c)
		if err != nil {
			return err
		}
		return explainRequest(p, args[0], files)
	}
	s, err := openSession(c)
	if err != nil {
		return err
	}
	reply, err := s.client.Explain(ctx, &mangomessage.ExplainRequest{Profile: args[0], Prompt: c.String("prompt")})
	if err != nil {
		return err
	}
	if s.json {
		return s.printJSON(reply)
	}
	if err := s.printLine("%s -> profile %s, revision %d", args[0], reply.GetProfile(), reply.GetRevision()); err != nil {
		return err
	}
	if reply.GetReason() != "" {
		return s.printLine("not routed: %s", reply.GetReason())
	}
	rows := [][]string{{"CHOSEN", "COST", "STAGES", "REASON"}}
	for _, ch := range reply.GetChains() {
		rows = append(rows, []string{fmt.Sprint(ch.GetChosen()), formatMicros(ch.GetCostMicros()), formatStages(ch), ch.GetReason()})
	}
	return s.printTable(rows)
}

// formatStages returns the stages of a chain as HOST[FIRST-END]=COST, where END is the layer after the last one.
func formatStages(chain *mangomessage.ExplainedChain) string {
	var stages []string
	for _, st := range chain.GetStages() {
		stages = append(stages, fmt.Sprintf("%s[%d-%d]=%s", st.GetHost(), st.GetFromLayer(), st.GetToLayer(), formatMicros(st.GetCostMicros())))
	}
	return strings.Join(stages, " ")
}

// formatMicros returns a number of microseconds as a duration with its unit.
func formatMicros(n uint64) string { return (time.Duration(n) * time.Microsecond).String() }
