package main

import (
	"context"
	"fmt"
	"io"
	"slices"

	"github.com/urfave/cli/v3"

	"marjoramstack/internal/experimenter"
	"marjoramstack/pkg/result"
)

const maxPairs = 100

func init() {
	register(&cli.Command{
		Name:      "compare",
		Usage:     "run two experiments alternately with the same seeds and print the ratios of each pair",
		ArgsUsage: "FILE OTHER",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "pairs", Usage: "number of seeds", Value: 3},
		},
		Action: compare,
	})
}

func compare(ctx context.Context, cmd *cli.Command) error {
	if cmd.NArg() != 2 {
		return result.New(result.BadSettings, "expected FILE and OTHER")
	}
	if n := cmd.Int("pairs"); n < 1 || n > maxPairs {
		return result.New(result.BadSettings, "--pairs: got %d, expected 1 to %d", n, maxPairs)
	}
	ratios := map[string][]float64{}
	for pair := range cmd.Int("pairs") {
		first, err := runSeed(ctx, cmd.Args().Get(0), uint64(pair+1))
		if err != nil {
			return err
		}
		second, err := runSeed(ctx, cmd.Args().Get(1), uint64(pair+1))
		if err != nil {
			return err
		}
		for name, value := range first.Figures {
			if divisor, ok := second.Figures[name]; ok && divisor != 0 {
				ratios[name] = append(ratios[name], value/divisor)
			}
		}
	}
	printRatios(cmd.Root().Writer, ratios)
	return nil
}

func runSeed(ctx context.Context, path string, seed uint64) (*experimenter.Report, error) {
	plan, err := experimenter.Load(path)
	if err != nil {
		return nil, err
	}
	plan.Seed = seed
	return experimenter.Run(ctx, plan, io.Discard)
}

func printRatios(out io.Writer, ratios map[string][]float64) {
	names := make([]string, 0, len(ratios))
	for name := range ratios {
		names = append(names, name)
	}
	slices.Sort(names)
	fmt.Fprintf(out, "%-28s %8s  pairs\n", "figure, FILE / OTHER", "median")
	for _, name := range names {
		sorted := slices.Sorted(slices.Values(ratios[name]))
		fmt.Fprintf(out, "%-28s %8.3f ", name, sorted[len(sorted)/2])
		for _, r := range ratios[name] {
			fmt.Fprintf(out, " %.3f", r)
		}
		fmt.Fprintln(out)
	}
}
