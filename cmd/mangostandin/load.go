package main

import (
	"context"
	"encoding/json"
	"os"

	"github.com/urfave/cli/v3"

	"mangopath.org/mangopath/internal/mangoload"
)

func loadCommand() *cli.Command {
	return &cli.Command{
		Name:  "load",
		Usage: "open-loop load generator; prints its results as JSON on standard output",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "plan", Required: true, Usage: "JSON `FILE` with the calls to send and their rates"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			plan, err := mangoload.ReadPlan(c.String("plan"))
			if err != nil {
				return err
			}
			ctx, cancel := signalContext(ctx)
			defer cancel()
			encoder := json.NewEncoder(os.Stdout)
			encoder.SetIndent("", "  ")
			return encoder.Encode(mangoload.New(plan).Run(ctx))
		},
	}
}
