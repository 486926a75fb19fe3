package main

import (
	"context"
	"fmt"
	"time"

	"github.com/urfave/cli/v3"

	"marjoramstack/internal/soaker"
	"marjoramstack/pkg/result"
)

func init() {
	register(&cli.Command{
		Name:  "soak",
		Usage: "run marjoram serve as processes under random faults and hold what is promised",
		Flags: []cli.Flag{
			&cli.StringFlag{
				Name:  "program",
				Usage: "path of marjoram",
				Value: "bin/marjoram",
			},
			&cli.Uint64Flag{
				Name:  "seed",
				Usage: "first seed; the time by default",
			},
			&cli.IntFlag{
				Name:  "seeds",
				Usage: "how many seeds to play, one after the other",
				Value: 1,
			},
			&cli.IntFlag{
				Name:  "vms",
				Usage: "entry VMs",
				Value: 4,
			},
			&cli.IntFlag{
				Name:  "workers",
				Usage: "workers",
				Value: 9,
			},
			&cli.DurationFlag{
				Name:  "span",
				Usage: "how long faults strike",
				Value: 20 * time.Second,
			},
			&cli.StringFlag{
				Name:  "logs",
				Usage: "folder for the logs of runs with a breach",
				Value: "out/soak",
			},
		},
		Action: runSoak,
	})
}

func runSoak(ctx context.Context, cmd *cli.Command) error {
	out := cmd.Root().Writer
	seed := cmd.Uint64("seed")
	if seed == 0 {
		seed = uint64(time.Now().Unix())
	}
	broken := 0
	for n := range cmd.Int("seeds") {
		report, err := soaker.Run(ctx, soaker.Options{
			Seed:    seed + uint64(n),
			Program: cmd.String("program"),
			VMs:     cmd.Int("vms"),
			Workers: cmd.Int("workers"),
			Span:    cmd.Duration("span"),
			Gap:     time.Second,
			JobGap:  150 * time.Millisecond,
			Settle:  30 * time.Second,
			Logs:    cmd.String("logs"),
		})
		if err != nil {
			return err
		}
		fmt.Fprintf(out, "seed %d: %d faults, %d of %d jobs accepted, %d starts, %d breaches\n", report.Seed, len(report.Faults), report.Accepted, report.Jobs, report.Starts, len(report.Breaches))
		if len(report.Breaches) == 0 {
			continue
		}
		broken++
		for _, line := range append(report.Faults, report.Breaches...) {
			fmt.Fprintln(out, " ", line)
		}
	}
	if broken > 0 {
		return result.New(result.CountsDisagree, "%d of %d seeds broke a promise", broken, cmd.Int("seeds"))
	}
	return nil
}
