// Package commander runs a program made of commands, ends it at a signal, and
// turns faults into exit codes.
//
// # Usage
//
//	os.Exit(commander.Run("marjoram", "what it does", commands))
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

// Run carries out the command that the arguments name, until it ends or SIGINT
// or SIGTERM comes, and returns the exit code.
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
