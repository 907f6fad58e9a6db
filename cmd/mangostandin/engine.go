package main

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"mangopath.org/mangopath/internal/mangoengine"
)

func engineCommand() *cli.Command {
	return &cli.Command{
		Name:  "engine",
		Usage: "model engine that holds a range of layers",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "address", Value: "127.0.0.1:7100", Usage: "IP `ADDRESS` and port to listen on"},
			&cli.StringFlag{Name: "host", Value: "engine-1", Usage: "name of the host"},
			&cli.StringFlag{Name: "kind", Value: "standin", Usage: "kind of accelerator and engine"},
			&cli.StringFlag{Name: "model", Usage: "model that is loaded at the start; empty means none"},
			&cli.StringFlag{Name: "version", Usage: "version of the model"},
			&cli.StringSliceFlag{Name: "adapters", Usage: "adapters, comma-separated"},
			&cli.Uint32Flag{Name: "from-layer", Usage: "first layer that is held"},
			&cli.Uint32Flag{Name: "to-layer", Usage: "layer after the last one that is held"},
			&cli.Uint32Flag{Name: "layers", Usage: "layers of the model; 0 means that each stage returns tokens and hidden values"},
			&cli.IntFlag{Name: "max-batch", Value: 16, Usage: "steps that run at once"},
			&cli.DurationFlag{Name: "step-time", Value: 5 * time.Millisecond, Usage: "time of a batch, whatever its size"},
			&cli.DurationFlag{Name: "prefill-time", Value: 100 * time.Microsecond, Usage: "time that each prefill position adds"},
			&cli.DurationFlag{Name: "weights-time", Value: time.Second, Usage: "time to load a model"},
			&cli.DurationFlag{Name: "lag", Value: 200 * time.Millisecond, Usage: "age of load reports and cache events"},
			&cli.IntFlag{Name: "cache-entries", Value: 64, Usage: "prompt prefixes that are kept"},
			&cli.BoolFlag{Name: "fenced", Value: true, Usage: "refuse orders with an old fencing number"},
			&cli.FloatFlag{Name: "end-probability", Value: 0.01, Usage: "share of tokens after which the model ends"},
			&cli.IntFlag{Name: "trace-lines", Value: 100000, Usage: "trace lines that are kept at least; 0 means none"},
			&cli.DurationFlag{Name: "stop-timeout", Value: time.Minute, Usage: "time for running calls to end on a graceful stop"},
		},
		Action: runEngine,
	}
}

func newEngine(c *cli.Command) (*mangoengine.Engine, error) {
	placed := mangoengine.LayerRange{
		Model: mangoengine.Model{
			Name: c.String("model"), Version: c.String("version"), Adapters: c.StringSlice("adapters"),
			EndProbability: c.Float("end-probability"),
		},
		From: c.Uint32("from-layer"), To: c.Uint32("to-layer"),
	}
	if placed.Model.Name == "" {
		placed.From, placed.To = 0, 0
	} else if placed.To <= placed.From {
		return nil, errors.Errorf("--to-layer is %d and must be above --from-layer %d", placed.To, placed.From)
	}
	return mangoengine.New(
		c.String("host"), placed,
		mangoengine.WithKind(c.String("kind")),
		mangoengine.WithTotalLayers(c.Uint32("layers")),
		mangoengine.WithMaxBatch(c.Int("max-batch")),
		mangoengine.WithStepTime(c.Duration("step-time")),
		mangoengine.WithPrefillTime(c.Duration("prefill-time")),
		mangoengine.WithLoadTime(c.Duration("weights-time")),
		mangoengine.WithReportLag(c.Duration("lag")),
		mangoengine.WithCacheEntries(c.Int("cache-entries")),
		mangoengine.WithFencing(c.Bool("fenced")),
		mangoengine.WithTraceLines(c.Int("trace-lines")),
		mangoengine.WithStopTimeout(c.Duration("stop-timeout")),
	), nil
}

func runEngine(ctx context.Context, c *cli.Command) error {
	engine, err := newEngine(c)
	if err != nil {
		return err
	}
	return runGraceful(ctx, "engine", c.String("address"), engine)
}
