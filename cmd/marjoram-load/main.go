// Command marjoram-load makes loads, replays traces, runs experiments and takes
// the measurements of docs/CAPACITY.md.
//
// # Usage
//
//	marjoram-load measure                 every slope of docs/CAPACITY.md
//	marjoram-load measure placement       one of them
//	marjoram-load run bench/*.yaml        experiments; exit code 0 if all hold
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"marjoramstack/pkg/result"
)

// commands is filled by the file of each command.
var commands []*cli.Command

func register(command *cli.Command) { commands = append(commands, command) }

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	root := &cli.Command{
		Name:           "marjoram-load",
		Usage:          "make loads, run experiments and take measurements",
		Commands:       commands,
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
	}
	if err := root.Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "marjoram-load:", err)
		os.Exit(result.CodeOf(err).Exit())
	}
}
