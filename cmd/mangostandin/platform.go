package main

import (
	"context"
	"encoding/json"
	"os"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"mangopath.org/mangopath/internal/mangoplatform"
	"mangopath.org/mangopath/pkg/mangomessage"
)

func platformCommand() *cli.Command {
	return &cli.Command{
		Name:  "platform",
		Usage: "simulated platform: key-value service and host list",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "address", Value: "127.0.0.1:7000", Usage: "IP `ADDRESS` and port to listen on"},
			&cli.DurationFlag{Name: "host-list-delay", Value: time.Second, Usage: "time until a change of the host list becomes visible"},
			&cli.IntFlag{Name: "read-rate", Value: 2000, Usage: "reads per second; 0 means no limit"},
			&cli.IntFlag{Name: "write-rate", Value: 300, Usage: "writes per second; 0 means no limit"},
			&cli.StringFlag{Name: "token", Usage: "bearer token that callers must send"},
			&cli.StringFlag{Name: "hosts", Usage: "JSON `FILE` with the initial host list"},
		},
		Action: runPlatform,
	}
}

func runPlatform(ctx context.Context, c *cli.Command) error {
	options := []mangoplatform.Option{
		mangoplatform.WithRates(c.Int("read-rate"), c.Int("write-rate")),
		mangoplatform.WithHostListDelay(c.Duration("host-list-delay")),
		mangoplatform.WithToken(c.String("token")),
	}
	if path := c.String("hosts"); path != "" {
		list := &mangomessage.HostList{}
		if err := readJSON(path, list); err != nil {
			return errors.Wrap(err, "--hosts")
		}
		options = append(options, mangoplatform.WithHosts(list))
	}
	ctx, cancel := signalContext(ctx)
	defer cancel()
	return serveHTTP(ctx, "platform", c.String("address"), mangoplatform.New(options...))
}

// readJSON decodes a JSON file.
func readJSON(path string, into any) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	return errors.Wrap(json.Unmarshal(data, into), path)
}
