package main

import (
	"context"

	"github.com/urfave/cli/v3"

	"marjoramstack/internal/settings"
	"marjoramstack/internal/standin"
	"marjoramstack/pkg/clock"
)

const (
	maxSlots     = 1024
	maxServiceMs = 600_000
)

func init() {
	register(&cli.Command{
		Name:  "endpoint",
		Usage: "run a fake endpoint",
		Flags: []cli.Flag{
			addressFlag("127.0.0.1:7200"),
			&cli.StringFlag{Name: "id", Usage: "name of the endpoint", Value: "endpoint-1"},
			&cli.IntFlag{Name: "slots", Usage: "number of requests that it serves concurrently", Value: 8},
			&cli.IntFlag{Name: "service-ms", Usage: "mean service time of a request, in milliseconds", Value: 10},
			&cli.BoolFlag{Name: "random", Usage: "draw service times from an exponential distribution"},
			&cli.Uint64Flag{Name: "seed", Usage: "seed of the random service times", Value: 1},
		},
		Action: runEndpoint,
	})
}

func runEndpoint(ctx context.Context, cmd *cli.Command) error {
	var check settings.Checker
	listener := check.Listen("address", cmd.String("address"))
	check.Name("id", cmd.String("id"))
	check.Range("slots", cmd.Int("slots"), 1, maxSlots)
	check.Range("service-ms", cmd.Int("service-ms"), 0, maxServiceMs)
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
