package main

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"marjoramstack/internal/experimenter"
	"marjoramstack/pkg/result"
)

func init() {
	register(&cli.Command{
		Name:      "run",
		Usage:     "run experiments and compare them with their expected outcomes",
		ArgsUsage: "FILE...",
		Flags: []cli.Flag{
			&cli.StringFlag{
				Name:  "report",
				Usage: "directory for JSON reports and plots; not written by default",
			},
		},
		Action: run,
	})
}

func run(ctx context.Context, cmd *cli.Command) error {
	if cmd.NArg() == 0 {
		return result.New(result.BadSettings, "expected at least one FILE")
	}
	out := cmd.Root().Writer
	failed := 0
	for _, path := range cmd.Args().Slice() {
		plan, err := experimenter.Load(path)
		if err != nil {
			return err
		}
		report, err := experimenter.Run(ctx, plan, out)
		if err != nil {
			return err
		}
		if !report.Held() {
			failed++
		}
		if folder := cmd.String("report"); folder != "" {
			if err := experimenter.Write(folder, report); err != nil {
				return err
			}
		}
	}
	if failed > 0 {
		return result.New(result.CountsDisagree, "%d of %d experiments failed", failed, cmd.NArg())
	}
	fmt.Fprintf(out, "%d experiments passed\n", cmd.NArg())
	return nil
}
