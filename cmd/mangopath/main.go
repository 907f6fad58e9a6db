// Command mangopath routes requests from callers to model pipelines and plain services.
package main

import (
	"context"
	"os"

	"github.com/urfave/cli/v3"
)

func main() {
	command := &cli.Command{Name: "mangopath", Usage: "route requests to model pipelines on mixed accelerators"}
	if err := command.Run(context.Background(), os.Args); err != nil {
		os.Exit(1)
	}
}
