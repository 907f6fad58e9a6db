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
		Name: "explain", Usage: "print where a request would go and why", ArgsUsage: "NAME",
		Description: `Example: mangopath explain tekst-model --prompt "Beschrijf deze kat"`,
		Flags:       []cli.Flag{&cli.StringFlag{Name: "prompt", Usage: "`TEXT` whose cached prefix counts"}},
		Action:      explain,
	}
}

func explain(ctx context.Context, c *cli.Command) error {
	args, err := arguments(c, 1, 1)
	if err != nil {
		return err
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
		return s.message(reply)
	}
	if err := s.line("%s -> profile %s, revision %d", args[0], reply.GetProfile(), reply.GetRevision()); err != nil {
		return err
	}
	if reply.GetReason() != "" {
		return s.line("not routed: %s", reply.GetReason())
	}
	rows := [][]string{{"CHOSEN", "COST", "STAGES", "REASON"}}
	for _, ch := range reply.GetChains() {
		rows = append(rows, []string{fmt.Sprint(ch.GetChosen()), micros(ch.GetCostMicros()), stages(ch), ch.GetReason()})
	}
	return s.table(rows)
}

func stages(chain *mangomessage.ExplainedChain) string {
	var words []string
	for _, st := range chain.GetStages() {
		words = append(words, fmt.Sprintf("%s[%d-%d]=%s", st.GetHost(), st.GetFromLayer(), st.GetToLayer(), micros(st.GetCostMicros())))
	}
	return strings.Join(words, " ")
}

func micros(n uint64) string { return (time.Duration(n) * time.Microsecond).String() }
