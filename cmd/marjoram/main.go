// Command marjoram runs an entry VM. It is also the command line client for
// operators and for submitters of batch jobs.
//
// # Usage
//
//	marjoram entry --vm entry-1 --zone press --platform 127.0.0.1:7000 ...
//	marjoram class apply classes.yaml
//	marjoram zone leave lab
//	marjoram job submit --class cure-test ...
//	marjoram explain run-7
//	marjoram demo
//
// docs/RESULTS.md lists the exit codes.
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
	os.Exit(commander.Run("marjoram", "schedule latency-critical and batch work that share machines", commands))
}
