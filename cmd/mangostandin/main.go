// Command mangostandin simulates the systems around mangopath for tests, demos and measurements: engines, plain services and
// the platform. It also has a fault-injecting proxy, a load generator and a simple router for comparison.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"
)

func main() {
	command := &cli.Command{
		Name:  "mangostandin",
		Usage: "simulated engines, services and platform, with a fault proxy and a load generator",
		Commands: []*cli.Command{
			platformCommand(), engineCommand(), serviceCommand(), proxyCommand(), loadCommand(), naiveCommand(),
		},
	}
	if err := command.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "mangostandin:", err)
		os.Exit(1)
	}
}
