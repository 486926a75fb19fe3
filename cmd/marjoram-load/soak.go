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
			&cli.StringFlag{
				Name:  "seed-file",
				Usage: "file of seeds to play, one at the beginning of each line",
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
			&cli.IntFlag{
				Name:  "cycles",
				Usage: "series of faults, each with a calm after it",
				Value: 2,
			},
			&cli.DurationFlag{
				Name:  "series",
				Usage: "how long a series strikes",
				Value: 6 * time.Second,
			},
			&cli.DurationFlag{
				Name:  "calm",
				Usage: "how long a calm lasts",
				Value: 12 * time.Second,
			},
			&cli.DurationFlag{
				Name:  "job-gap",
				Usage: "mean time between two jobs of short tasks",
				Value: 150 * time.Millisecond,
			},
			&cli.IntFlag{
				Name:  "filled",
				Usage: "percentage of the workers that tasks that last fill; drawn if 0",
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
	broken := 0
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
		broken++
		for _, line := range append(report.Faults, report.Breaches...) {
			fmt.Fprintln(out, " ", line)
		}
	}
	if broken > 0 {
		return result.New(result.CountsDisagree, "%d of %d seeds broke a promise", broken, len(seeds))
	}
	return nil
}

// soakSeeds returns the seeds of the file, or those that were counted from the first.
func soakSeeds(cmd *cli.Command) ([]uint64, error) {
	path := cmd.String("seed-file")
	if path == "" {
		return countSeeds(cmd.Uint64("seed"), cmd.Int("seeds")), nil
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

func countSeeds(first uint64, count int) []uint64 {
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
		Seed:    seed,
		Program: cmd.String("program"),
		VMs:     cmd.Int("vms"),
		Workers: cmd.Int("workers"),
		Cycles:  cmd.Int("cycles"),
		Series:  cmd.Duration("series"),
		Gap:     soakGap,
		Calm:    cmd.Duration("calm"),
		JobGap:  cmd.Duration("job-gap"),
		Filled:  cmd.Int("filled"),
		Settle:  soakSettle,
		Logs:    cmd.String("logs"),
	}
}
