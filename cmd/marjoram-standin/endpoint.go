package main

import (
	"context"

	"github.com/urfave/cli/v3"

	"marjoramstack/internal/settings"
	"marjoramstack/internal/standin"
	"marjoramstack/pkg/clock"
)

const (
	mostSlots     = 1024
	mostServiceMs = 600_000
)

func init() {
	register(&cli.Command{
		Name:  "endpoint",
		Usage: "stand in for an endpoint",
		Flags: []cli.Flag{
			addressFlag("127.0.0.1:7200"),
			&cli.StringFlag{Name: "id", Usage: "name of the endpoint", Value: "endpoint-1"},
			&cli.IntFlag{Name: "slots", Usage: "requests that it works on at once", Value: 8},
			&cli.IntFlag{Name: "service-ms", Usage: "mean time that a request takes", Value: 10},
			&cli.BoolFlag{Name: "random", Usage: "vary the time exponentially"},
			&cli.Uint64Flag{Name: "seed", Usage: "seed of the variation", Value: 1},
		},
		Action: runEndpoint,
	})
}

func runEndpoint(ctx context.Context, cmd *cli.Command) error {
	var check settings.Checker
	listener := check.Listen("address", cmd.String("address"))
	check.Name("id", cmd.String("id"))
	check.Range("slots", cmd.Int("slots"), 1, mostSlots)
	check.Range("service-ms", cmd.Int("service-ms"), 0, mostServiceMs)
	if err := check.Err(); err != nil {
		return err
	}
	return serve(ctx, listener, standin.NewEndpoint(standin.EndpointOptions{
		ID:      cmd.String("id"),
		Slots:   cmd.Int("slots"),
		Service: clock.Span(cmd.Int("service-ms")),
		Random:  cmd.Bool("random"),
		Seed:    cmd.Uint64("seed"),
	}))
}
