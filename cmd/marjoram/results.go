package main

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"marjoramstack/pkg/result"
)

func init() {
	register(&cli.Command{
		Name:  "results",
		Usage: "print the table of result codes",
		Action: func(_ context.Context, cmd *cli.Command) error {
			_, err := fmt.Fprint(cmd.Root().Writer, result.Markdown())
			return err
		},
	})
}
