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
	mostProcessors = 4096
	mostMemory     = 64 << 20
	mostAccels     = 64
	mostLagMs      = 600_000
)

func init() {
	register(&cli.Command{
		Name:  "worker",
		Usage: "stand in for a worker",
		Flags: []cli.Flag{
			addressFlag("127.0.0.1:7100"),
			&cli.StringFlag{Name: "id", Usage: "name of the worker", Value: "worker-1"},
			&cli.IntFlag{Name: "processors", Usage: "processors", Value: 64},
			&cli.IntFlag{Name: "memory-mb", Usage: "memory", Value: 250_000},
			&cli.IntFlag{Name: "accelerators", Usage: "accelerators"},
			&cli.IntFlag{Name: "lag-ms", Usage: "delay of usage reports", Value: 2000},
		},
		Action: runWorker,
	})
}

func runWorker(ctx context.Context, cmd *cli.Command) error {
	var check settings.Checker
	listener := check.Listen("address", cmd.String("address"))
	check.Name("id", cmd.String("id"))
	check.Range("processors", cmd.Int("processors"), 1, mostProcessors)
	check.Range("memory-mb", cmd.Int("memory-mb"), 1, mostMemory)
	check.Range("accelerators", cmd.Int("accelerators"), 0, mostAccels)
	check.Range("lag-ms", cmd.Int("lag-ms"), 0, mostLagMs)
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
