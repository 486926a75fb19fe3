// Command marjoram runs an entry VM and is the operators' and submitters'
// command line.
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
// Exit codes are those of docs/RESULTS.md.
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
	os.Exit(commander.Run("marjoram", "schedule latency-critical and batch work that share machines", commands))
}
