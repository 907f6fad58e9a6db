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
		Name: "explain", Usage: "print where a request would go and why, or what became of one", ArgsUsage: "NAME | ID",
		Description: `With --log the argument is the id of a request, and its story is told from the log files without a daemon.

Example: mangopath explain tekst-model --prompt "Beschrijf deze kat"
Example: mangopath explain --log edge-1.log --log edge-2.log 9c41d07be2a35f68`,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "prompt", Usage: "`TEXT` whose cached prefix counts"},
			&cli.StringSliceFlag{Name: "log", Usage: "log `FILE` of a daemon; may be given more than once"},
		},
		Action: explain,
	}
}

func explain(ctx context.Context, c *cli.Command) error {
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

func formatStages(chain *mangomessage.ExplainedChain) string {
	var words []string
	for _, st := range chain.GetStages() {
		words = append(words, fmt.Sprintf("%s[%d-%d]=%s", st.GetHost(), st.GetFromLayer(), st.GetToLayer(), formatMicros(st.GetCostMicros())))
	}
	return strings.Join(words, " ")
}

func formatMicros(n uint64) string { return (time.Duration(n) * time.Microsecond).String() }
