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
		Usage: "run the whole path in one process and report",
		Flags: []cli.Flag{
			&cli.StringFlag{
				Name:  "log-file",
				Usage: "where the entry VMs' logs go; nowhere by default",
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
