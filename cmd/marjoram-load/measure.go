package main

import (
	"context"
	"fmt"
	"slices"

	"github.com/urfave/cli/v3"

	"marjoramstack/internal/measurer"
	"marjoramstack/pkg/result"
)

func init() {
	register(&cli.Command{
		Name:      "measure",
		Usage:     "take the measurements of docs/CAPACITY.md",
		ArgsUsage: "[NAME...]",
		Action:    measure,
	})
}

func measure(_ context.Context, cmd *cli.Command) error {
	wanted := cmd.Args().Slice()
	taken := 0
	out := cmd.Root().Writer
	for _, m := range measurer.All() {
		if len(wanted) > 0 && !slices.Contains(wanted, m.Name) {
			continue
		}
		taken++
		fmt.Fprintf(out, "== %s: %s\n", m.Name, m.What)
		if err := m.Run(out); err != nil {
			return err
		}
	}
	if taken == 0 {
		return result.New(result.BadSettings, "no measurement is named %v", wanted)
	}
	return nil
}
