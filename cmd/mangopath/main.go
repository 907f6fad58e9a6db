// Command mangopath is the router between callers and model-serving upstreams. It runs the daemon of an entry host and holds
// the operators' commands that read and change profiles, aliases, customers and host marks.
package main

import (
	"context"
	"os"
)

func main() {
	os.Exit(run(context.Background(), os.Args, os.Stdout, os.Stderr))
}
