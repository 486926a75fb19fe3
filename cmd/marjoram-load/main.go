// Command marjoram-load makes loads, replays traces, runs experiments and takes
// the measurements of docs/CAPACITY.md.
//
// # Usage
//
//	marjoram-load measure                 every slope of docs/CAPACITY.md
//	marjoram-load measure placement       one of them
//	marjoram-load run bench/*.yaml        experiments; exit code 0 if all hold
//	marjoram-load soak --seeds 50         the fault soak
package main

import (
	"os"

	"github.com/urfave/cli/v3"

	"marjoramstack/internal/commander"
)

// commands is filled by the file of each command.
var commands []*cli.Command

func register(command *cli.Command) { commands = append(commands, command) }

func main() {
	os.Exit(commander.Run("marjoram-load", "make loads, run experiments and take measurements", commands))
}
