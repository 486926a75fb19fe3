package main

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"marjoramstack/internal/soaker"
	"marjoramstack/pkg/result"
)

func init() {
	register(&cli.Command{
		Name:  "soak",
		Usage: "run processes of marjoram serve under random faults and check the guarantees",
		Flags: []cli.Flag{
			&cli.StringFlag{
				Name:  "program",
				Usage: "path of the marjoram executable",
				Value: "bin/marjoram",
			},
			&cli.Uint64Flag{
				Name:  "seed",
				Usage: "first seed; the current Unix time by default",
			},
			&cli.IntFlag{
				Name:  "seeds",
				Usage: "number of seeds to run, one after the other",
				Value: 1,
			},
			&cli.StringFlag{
				Name:  "seed-file",
				Usage: "file with the seeds to run, one at the start of each line",
			},
			&cli.IntFlag{
				Name:  "vms",
				Usage: "number of entry VMs",
				Value: 4,
			},
			&cli.IntFlag{
				Name:  "workers",
				Usage: "number of workers",
				Value: 9,
			},
			&cli.IntFlag{
				Name:  "cycles",
				Usage: "number of cycles; each is a series of faults followed by a calm period",
				Value: 2,
			},
			&cli.DurationFlag{
				Name:  "series",
				Usage: "length of a series of faults",
				Value: 6 * time.Second,
			},
			&cli.DurationFlag{
				Name:  "calm",
				Usage: "length of a calm period",
				Value: 12 * time.Second,
			},
			&cli.DurationFlag{
				Name:  "job-gap",
				Usage: "mean time between submissions of jobs with short tasks",
				Value: 150 * time.Millisecond,
			},
			&cli.IntFlag{
				Name:  "filled",
				Usage: "percentage of the workers' capacity that long-running tasks fill; random if 0",
			},
			&cli.IntFlag{
				Name:  "customers",
				Usage: "customers whose keys come and go; none if 0",
				Value: 3,
			},
			&cli.StringFlag{
				Name:  "logs",
				Usage: "directory for the logs of runs that violate a guarantee",
				Value: "out/soak",
			},
		},
		Action: runSoak,
	})
}

const (
	soakGap    = 700 * time.Millisecond
	soakSettle = 20 * time.Second
)

func runSoak(ctx context.Context, cmd *cli.Command) error {
	out := cmd.Root().Writer
	seeds, err := soakSeeds(cmd)
	if err != nil {
		return err
	}
	failed := 0
	for _, seed := range seeds {
		report, err := soaker.Run(ctx, soakOptions(cmd, seed))
		if err != nil {
			return err
		}
		if ctx.Err() != nil {
			return result.New(result.Internal, "interrupted in seed %d", report.Seed)
		}
		fmt.Fprintln(out, report)
		if len(report.Breaches) == 0 {
			continue
		}
		failed++
		for _, line := range append(report.Faults, report.Breaches...) {
			fmt.Fprintln(out, " ", line)
		}
	}
	if failed > 0 {
		return result.New(result.CountsDisagree, "%d of %d seeds violated a guarantee", failed, len(seeds))
	}
	return nil
}

// soakSeeds returns the seeds in --seed-file or, without one, --seeds consecutive
// seeds that start at --seed.
func soakSeeds(cmd *cli.Command) ([]uint64, error) {
	path := cmd.String("seed-file")
	if path == "" {
		return consecutiveSeeds(cmd.Uint64("seed"), cmd.Int("seeds")), nil
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, result.New(result.BadSettings, "%v", err)
	}
	var seeds []uint64
	for line := range strings.Lines(string(text)) {
		first, _, _ := strings.Cut(line, " ")
		seed, err := strconv.ParseUint(strings.TrimSpace(first), 10, 64)
		if err != nil {
			return nil, result.New(result.BadSettings, "%s: %v", path, err)
		}
		seeds = append(seeds, seed)
	}
	return seeds, nil
}

func consecutiveSeeds(first uint64, count int) []uint64 {
	if first == 0 {
		first = uint64(time.Now().Unix())
	}
	var seeds []uint64
	for n := range count {
		seeds = append(seeds, first+uint64(n))
	}
	return seeds
}

func soakOptions(cmd *cli.Command, seed uint64) soaker.Options {
	return soaker.Options{
		Seed:      seed,
		Program:   cmd.String("program"),
		VMs:       cmd.Int("vms"),
		Workers:   cmd.Int("workers"),
		Cycles:    cmd.Int("cycles"),
		Series:    cmd.Duration("series"),
		Gap:       soakGap,
		Calm:      cmd.Duration("calm"),
		JobGap:    cmd.Duration("job-gap"),
		Filled:    cmd.Int("filled"),
		Customers: cmd.Int("customers"),
		Settle:    soakSettle,
		Logs:      cmd.String("logs"),
	}
}
