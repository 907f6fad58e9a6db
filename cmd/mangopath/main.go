// Command mangopath routes requests from callers to model pipelines and plain services.
package main

import (
	"context"
	"os"
)

func main() {
	os.Exit(run(context.Background(), os.Args, os.Stdout, os.Stderr))
}
