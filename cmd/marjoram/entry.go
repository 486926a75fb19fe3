package main

import (
	"context"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"marjoramstack/internal/entry"
	"marjoramstack/internal/logger"
	"marjoramstack/internal/settings"
)

const longestLameDuck = 60_000

func init() {
	register(&cli.Command{
		Name:  "entry",
		Usage: "run an entry VM",
		Flags: []cli.Flag{
			flag("vm", "name of this VM in the platform's list"),
			flag("zone", "availability zone of this VM"),
			flag("platform", "IP number and port of the platform"),
			flagDefault("caller-address", "where callers reach this VM", "127.0.0.1:7010"),
			flagDefault("operator-address", "where operators reach this VM", "127.0.0.1:7020"),
			flagDefault("peer-address", "where other entry VMs reach this VM", "127.0.0.1:7030"),
			&cli.StringSliceFlag{
				Name:    "peers",
				Usage:   "peer addresses of other entry VMs to begin with",
				Sources: cli.EnvVars("MARJORAM_PEERS"),
			},
			flagDefault("log-level", "debug, info, warn or error", "info"),
			&cli.IntFlag{
				Name:    "lame-duck-ms",
				Usage:   "how long to go on serving after SIGTERM",
				Value:   1000,
				Sources: cli.EnvVars("MARJORAM_LAME_DUCK_MS"),
			},
		},
		Action: runEntry,
	})
}

// flag makes a string setting that can also be given in the environment.
func flag(name, usage string) *cli.StringFlag { return flagDefault(name, usage, "") }

func flagDefault(name, usage, value string) *cli.StringFlag {
	return &cli.StringFlag{
		Name:    name,
		Usage:   usage,
		Value:   value,
		Sources: cli.EnvVars(settings.Variable(name)),
	}
}

func runEntry(ctx context.Context, cmd *cli.Command) error {
	var check settings.Checker
	check.Name("vm", cmd.String("vm"))
	check.Name("zone", cmd.String("zone"))
	check.Address("platform", cmd.String("platform"))
	check.Addresses("peers", cmd.StringSlice("peers"))
	check.Range("lame-duck-ms", cmd.Int("lame-duck-ms"), 1, longestLameDuck)
	level := check.Level("log-level", cmd.String("log-level"))
	set := entry.Settings{
		VM:       cmd.String("vm"),
		Zone:     cmd.String("zone"),
		Platform: cmd.String("platform"),
		Peers:    cmd.StringSlice("peers"),
		Caller:   check.Listen("caller-address", cmd.String("caller-address")),
		Operator: check.Listen("operator-address", cmd.String("operator-address")),
		Peer:     check.Listen("peer-address", cmd.String("peer-address")),
		LameDuck: time.Duration(cmd.Int("lame-duck-ms")) * time.Millisecond,
	}
	if err := check.Err(); err != nil {
		return err
	}
	log := logger.New(os.Stderr, level)
	defer log.Close()
	return entry.New(set, log).Run(ctx)
}
