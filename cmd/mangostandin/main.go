// Command mangostandin runs small stand-ins for the systems around mangopath, for tests, demos and measurements.
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
		Usage: "stand-ins for engines, services and the platform",
		Commands: []*cli.Command{
			platformCommand(), engineCommand(), serviceCommand(), proxyCommand(), loadCommand(), naiveCommand(),
		},
	}
	if err := command.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "mangostandin:", err)
		os.Exit(1)
	}
}
