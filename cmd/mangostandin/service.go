package main

import (
	"context"
	"os"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"mangopath.org/mangopath/internal/mangoservice"
)

func serviceCommand() *cli.Command {
	return &cli.Command{
		Name:  "service",
		Usage: "simulated plain service that counts its executions",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "address", Value: "127.0.0.1:7200", Usage: "IP `ADDRESS` and port to listen on"},
			&cli.StringFlag{Name: "host", Value: "service-1", Usage: "name of the host"},
			&cli.DurationFlag{Name: "delay", Value: 10 * time.Millisecond, Usage: "time that an execution takes"},
			&cli.StringFlag{Name: "journal", Usage: "`FILE` to which the idempotency key of each execution is appended"},
		},
		Action: runService,
	}
}

func runService(ctx context.Context, c *cli.Command) error {
	options := []mangoservice.Option{mangoservice.WithDelay(c.Duration("delay"))}
	if path := c.String("journal"); path != "" {
		file, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
		if err != nil {
			return errors.Wrap(err, "--journal")
		}
		defer func() { _ = file.Close() }()
		options = append(options, mangoservice.WithJournal(file))
	}
	return runGracefulServer(ctx, "service", c.String("address"), mangoservice.New(c.String("host"), options...))
}
