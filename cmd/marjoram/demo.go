package main

import (
	"context"
	"io"
	"os"

	"github.com/urfave/cli/v3"

	"marjoramstack/internal/demonstrator"
	"marjoramstack/pkg/result"
)

func init() {
	register(&cli.Command{
		Name:  "demo",
		Usage: "run a whole system in one process and report the results",
		Flags: []cli.Flag{
			&cli.StringFlag{
				Name:  "log-file",
				Usage: "file for the logs of the entry VMs; not written by default",
			},
		},
		Action: runDemo,
	})
}

func runDemo(ctx context.Context, cmd *cli.Command) error {
	var log io.Writer = io.Discard
	if path := cmd.String("log-file"); path != "" {
		file, err := os.Create(path)
		if err != nil {
			return result.New(result.BadSettings, "--log-file: %v", err)
		}
		defer file.Close()
		log = file
	}
	return demonstrator.Demo(ctx, cmd.Root().Writer, log)
}
