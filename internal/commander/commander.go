// Package commander runs a command line program with subcommands. It cancels the
// program on a signal and maps errors to exit codes.
//
// # Usage
//
//	os.Exit(commander.Run("marjoram", "one-line description", commands))
package commander

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"marjoramstack/pkg/result"
)

// Run runs the command given by os.Args and returns the exit code. SIGINT and
// SIGTERM cancel the command's context.
func Run(name, usage string, commands []*cli.Command) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	root := &cli.Command{
		Name:                  name,
		Usage:                 usage,
		EnableShellCompletion: true,
		Commands:              commands,
		ExitErrHandler:        func(context.Context, *cli.Command, error) {},
	}
	err := root.Run(ctx, os.Args)
	if err != nil {
		fmt.Fprintln(os.Stderr, name+":", err)
	}
	return result.CodeOf(err).Exit()
}
