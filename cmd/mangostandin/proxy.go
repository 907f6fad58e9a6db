package main

import (
	"context"

	"github.com/urfave/cli/v3"
	"golang.org/x/sync/errgroup"

	"mangopath.org/mangopath/internal/mangofault"
)

func proxyCommand() *cli.Command {
	return &cli.Command{
		Name:  "proxy",
		Usage: "TCP proxy that injects network faults",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "listen", Required: true, Usage: "IP `ADDRESS` and port to listen on"},
			&cli.StringFlag{Name: "target", Required: true, Usage: "IP `ADDRESS` and port to pass connections on to"},
			&cli.StringFlag{Name: "admin", Required: true, Usage: "IP `ADDRESS` and port of the admin requests"},
		},
		Action: runProxy,
	}
}

func runProxy(ctx context.Context, c *cli.Command) error {
	ctx, cancel := signalContext(ctx)
	defer cancel()
	proxy, err := mangofault.New(ctx, c.String("listen"), c.String("target"))
	if err != nil {
		return err
	}
	var g errgroup.Group
	g.Go(func() error {
		proxy.Run(ctx)
		return nil
	})
	g.Go(func() error {
		defer cancel()
		return serve(ctx, "proxy", c.String("admin"), proxy.AdminHandler())
	})
	return g.Wait()
}
