package main

import (
	"context"
	"os"
	"os/signal"
	"strconv"
	"syscall"

	"github.com/urfave/cli/v3"

	"marjoramstack/internal/acceptor"
	"marjoramstack/internal/conductor"
	"marjoramstack/internal/logger"
	"marjoramstack/internal/meter"
	"marjoramstack/internal/planner"
	"marjoramstack/internal/server"
	"marjoramstack/internal/settings"
	"marjoramstack/pkg/clock"
	"marjoramstack/platform"
)

func init() {
	register(&cli.Command{
		Name:  "serve",
		Usage: "run an entry VM for staged jobs on the users' platform",
		Flags: []cli.Flag{
			flag("vm", "name of this VM"),
			flag("zone", "availability zone of this VM"),
			flag("caller-address", "where callers reach this VM"),
			flag("ready-address", "where readiness and metrics are asked for"),
			flag("store-address", "IP number and port of the platform's table"),
			flag("advice-address", "IP number and port of the platform's adviser, if it has one"),
			flagDefault("log-level", "debug, info, warn or error", "info"),
			flagDefault("processor-share", "share of a core that this VM has, above 0 and at most 1", "1"),
			number("lease-max-ms", "longest lease that workers grant", 6000),
			number("stop-grace-ms", "how long a worker's stop takes at most", 200),
			number("retention-s", "how long ended jobs can be asked for", 120),
			number("lame-duck-ms", "how long to go on serving after SIGTERM", 2500),
		},
		Action: runServe,
	})
}

// number makes a setting that is a whole number.
func number(name, usage string, value int) *cli.IntFlag {
	return &cli.IntFlag{
		Name:    name,
		Usage:   usage,
		Value:   value,
		Sources: cli.EnvVars(settings.Variable(name)),
	}
}

const (
	leastLease     = 500
	longestLease   = 600_000
	longestGrace   = 60_000
	longestRetains = 86_400
)

func runServe(ctx context.Context, cmd *cli.Command) error {
	var check settings.Checker
	check.VMName("vm", cmd.String("vm"))
	check.VMName("zone", cmd.String("zone"))
	check.Address("store-address", cmd.String("store-address"))
	check.Range("lease-max-ms", cmd.Int("lease-max-ms"), leastLease, longestLease)
	check.Range("stop-grace-ms", cmd.Int("stop-grace-ms"), 0, longestGrace)
	check.Range("retention-s", cmd.Int("retention-s"), 1, longestRetains)
	check.Range("lame-duck-ms", cmd.Int("lame-duck-ms"), 1, longestLameDuck)
	advice := cmd.String("advice-address")
	if advice != "" {
		check.Address("advice-address", advice)
	}
	share := check.Share("processor-share", cmd.String("processor-share"))
	level := check.Level("log-level", cmd.String("log-level"))
	callers := check.Listen("caller-address", cmd.String("caller-address"))
	ready := check.Listen("ready-address", cmd.String("ready-address"))
	if err := check.Err(); err != nil {
		return err
	}
	log := logger.New(os.Stdout, level)
	defer log.Close()
	stopReload := logReloads(log)
	defer stopReload()
	metrics := meter.New("marjoram")
	defer metrics.Close()

	wall := clock.NewWall()
	store := platform.NewStore(cmd.String("store-address"))
	operations := platform.NewOperations()
	var adviser conductor.Adviser
	if advice != "" {
		adviser = platform.NewAdviser(advice)
	}
	vm := cmd.String("vm")
	zone := cmd.String("zone")
	owner := conductor.New(conductor.Options{
		VM:           vm,
		Zone:         zone,
		Incarnation:  vm + "-" + strconv.FormatInt(int64(wall.Now()), 10),
		Probe:        cmd.String("ready-address"),
		Share:        share,
		Store:        store,
		Link:         platform.NewLink(),
		Adviser:      adviser,
		WorkersTable: platform.WorkersTable,
		DecodeWorker: platform.DecodeWorker,
		Operations:   operations.Get,
		Planner: planner.Options{
			LeaseMax:  clock.Span(cmd.Int("lease-max-ms")),
			StopGrace: clock.Span(cmd.Int("stop-grace-ms")),
		},
		Retention: clock.Span(cmd.Int("retention-s")) * clock.Second,
		Clock:     wall,
		Log:       log.Logger,
		Scope:     metrics.Scope(),
	})
	door := platform.NewCallerHandler(platform.CallerHandlerOptions{
		Jobs: acceptor.New(acceptor.Options{
			Store:   store,
			Clock:   wall,
			Log:     log.Logger,
			Waiting: owner.Waiting,
		}),
		Operations: operations,
		Clock:      wall,
		Log:        log.Logger,
		Scope:      metrics.Scope(),
	})
	return server.New(server.Options{
		Conductor:       owner,
		Store:           store,
		VM:              vm,
		Zone:            zone,
		Handler:         door,
		OperationsTable: platform.OperationsTable,
		Update:          operations.Update,
		CallerListener:  callers,
		ProbeListener:   ready,
		Metrics:         metrics,
		LameDuck:        clock.Span(cmd.Int("lame-duck-ms")),
		Clock:           wall,
		Log:             log.Logger,
		Scope:           metrics.Scope(),
	}).Run(ctx)
}

// logReloads notes each SIGHUP: all settings are taken at the start, so that a
// process in good order is never changed under way.
func logReloads(log *logger.Logger) func() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	go func() {
		for range signals {
			log.Info("reload", "outcome", "settings are taken at the next start")
		}
	}()
	return func() {
		signal.Stop(signals)
		close(signals)
	}
}
