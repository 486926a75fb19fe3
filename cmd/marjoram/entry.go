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

const maxLameDuckMs = 60_000

func init() {
	register(&cli.Command{
		Name:  "entry",
		Usage: "run an entry VM",
		Flags: []cli.Flag{
			stringFlag("vm", "name of this VM in the platform's list"),
			stringFlag("zone", "availability zone of this VM"),
			stringFlag("platform", "IP address and port of the platform"),
			stringFlagDefault("caller-address", "address for callers", "127.0.0.1:7010"),
			stringFlagDefault("operator-address", "address for operators", "127.0.0.1:7020"),
			stringFlagDefault("peer-address", "address for other entry VMs", "127.0.0.1:7030"),
			&cli.StringSliceFlag{
				Name:    "peers",
				Usage:   "peer addresses of entry VMs to contact at start",
				Sources: cli.EnvVars("MARJORAM_PEERS"),
			},
			stringFlagDefault("log-level", "minimum level of log lines: debug, info, warn or error", "info"),
			&cli.IntFlag{
				Name:    "lame-duck-ms",
				Usage:   "how long to keep serving after SIGTERM, in milliseconds",
				Value:   1000,
				Sources: cli.EnvVars("MARJORAM_LAME_DUCK_MS"),
			},
		},
		Action: runEntry,
	})
}

// stringFlag returns a string flag that can also be set by environment variable.
func stringFlag(name, usage string) *cli.StringFlag { return stringFlagDefault(name, usage, "") }

func stringFlagDefault(name, usage, value string) *cli.StringFlag {
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
	check.Range("lame-duck-ms", cmd.Int("lame-duck-ms"), 1, maxLameDuckMs)
	level := check.Level("log-level", cmd.String("log-level"))
	cfg := entry.Settings{
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
	return entry.New(cfg, log).Run(ctx)
}
