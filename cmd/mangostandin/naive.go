package main

import (
	"context"

	"github.com/urfave/cli/v3"

	"mangopath.org/mangopath/internal/mangonaive"
)

func naiveCommand() *cli.Command {
	return &cli.Command{
		Name:  "naive",
		Usage: "round-robin router that ignores failures and load, as a baseline for comparison",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "address", Value: "127.0.0.1:8000", Usage: "IP `ADDRESS` and port to listen on for callers"},
			&cli.StringFlag{Name: "replicas", Required: true, Usage: "JSON `FILE` with profiles and replicas"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			settings, err := mangonaive.ReadSettings(c.String("replicas"))
			if err != nil {
				return err
			}
			ctx, cancel := signalContext(ctx)
			defer cancel()
			router := mangonaive.New(settings)
			defer router.Close()
			return serveHTTP(ctx, "naive", c.String("address"), router)
		},
	}
}
