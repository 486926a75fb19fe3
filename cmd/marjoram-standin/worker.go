package main

import (
	"context"

	"github.com/urfave/cli/v3"

	"marjoramstack/internal/settings"
	"marjoramstack/internal/standin"
	"marjoramstack/pkg/clock"
	"marjoramstack/pkg/document"
)

const (
	maxProcessors   = 4096
	maxMemoryMB     = 64 << 20
	maxAccelerators = 64
	maxLagMs        = 600_000
)

func init() {
	register(&cli.Command{
		Name:  "worker",
		Usage: "run a fake worker",
		Flags: []cli.Flag{
			addressFlag("127.0.0.1:7100"),
			&cli.StringFlag{Name: "id", Usage: "name of the worker", Value: "worker-1"},
			&cli.IntFlag{Name: "processors", Usage: "number of processors", Value: 64},
			&cli.IntFlag{Name: "memory-mb", Usage: "memory, in MiB", Value: 250_000},
			&cli.IntFlag{Name: "accelerators", Usage: "number of accelerators"},
			&cli.IntFlag{Name: "lag-ms", Usage: "delay of usage reports, in milliseconds", Value: 2000},
		},
		Action: runWorker,
	})
}

func runWorker(ctx context.Context, cmd *cli.Command) error {
	var check settings.Checker
	listener := check.Listen("address", cmd.String("address"))
	check.Name("id", cmd.String("id"))
	check.Range("processors", cmd.Int("processors"), 1, maxProcessors)
	check.Range("memory-mb", cmd.Int("memory-mb"), 1, maxMemoryMB)
	check.Range("accelerators", cmd.Int("accelerators"), 0, maxAccelerators)
	check.Range("lag-ms", cmd.Int("lag-ms"), 0, maxLagMs)
	if err := check.Err(); err != nil {
		return err
	}
	return serve(ctx, listener, standin.NewWorker(standin.WorkerOptions{
		ID: cmd.String("id"),
		Size: document.Size{
			Processors:   cmd.Int("processors"),
			Memory:       cmd.Int("memory-mb"),
			Accelerators: cmd.Int("accelerators"),
		},
		Clock: clock.NewWall(),
		Lag:   clock.Span(cmd.Int("lag-ms")),
	}))
}
