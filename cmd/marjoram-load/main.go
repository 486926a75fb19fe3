// Command marjoram-load generates load, replays traces, runs experiments and soak
// tests, and takes the measurements of docs/CAPACITY.md.
//
// # Usage
//
//	marjoram-load measure                 all measurements of docs/CAPACITY.md
//	marjoram-load measure placement       one of them
//	marjoram-load run bench/*.yaml        experiments; exit code 0 if all pass
//	marjoram-load soak --seeds 50         the soak test with random faults
package main

import (
	"os"

	"github.com/urfave/cli/v3"

	"marjoramstack/internal/commander"
)

// commands is filled by the init function of each command's file.
var commands []*cli.Command

func register(command *cli.Command) { commands = append(commands, command) }

func main() {
	os.Exit(commander.Run("marjoram-load", "generate load, run experiments and take measurements", commands))
}
