package main

import (
	"context"
	"net"
	"os"
	"os/signal"
	"runtime/debug"
	"strconv"
	"syscall"

	"github.com/urfave/cli/v3"
	"golang.org/x/sys/unix"

	"marjoramstack/internal/acceptor"
	"marjoramstack/internal/conductor"
	"marjoramstack/internal/logger"
	"marjoramstack/internal/meter"
	"marjoramstack/internal/planner"
	"marjoramstack/internal/rationer"
	"marjoramstack/internal/server"
	"marjoramstack/internal/settings"
	"marjoramstack/pkg/clock"
	"marjoramstack/platform"
)

func init() {
	register(&cli.Command{
		Name:  "serve",
		Usage: "run an entry VM that schedules staged jobs",
		Flags: []cli.Flag{
			stringFlag("vm", "name of this VM"),
			stringFlag("zone", "availability zone of this VM"),
			stringFlag("caller-address", "address for callers"),
			stringFlag("ready-address", "address for readiness checks and metrics"),
			stringFlag("store-address", "IP address and port of the platform's table"),
			stringFlag("advice-address", "IP address and port of the platform's adviser; none by default"),
			stringFlagDefault("log-level", "minimum level of log lines: debug, info, warn or error", "info"),
			stringFlagDefault("processor-share", "share of a core that this VM may use, above 0 and at most 1", "1"),
			intFlag("memory-limit-mb", "memory that this process may use, in MiB; 0 for no limit", 0),
			intFlag("descriptor-limit", "file descriptors that this process may use; 0 for the system's limit", 0),
			intFlag("caller-connections", "connections that callers may have open; 0 to derive it from memory and descriptors", 0),
			intFlag("body-memory-kb", "memory for requests of callers, in KiB; 0 to derive it from the memory", 0),
			intFlag("lease-max-ms", "maximum lease duration that workers grant, in milliseconds", 6000),
			intFlag("stop-grace-ms", "maximum time that a worker takes to stop a task, in milliseconds", 200),
			intFlag("retention-s", "how long ended jobs can be queried, in seconds", 120),
			intFlag("lame-duck-ms", "how long to keep serving after SIGTERM, in milliseconds", 2500),
		},
		Action: runServe,
	})
}

// intFlag returns an integer flag that can also be set by environment variable.
func intFlag(name, usage string, value int) *cli.IntFlag {
	return &cli.IntFlag{
		Name:    name,
		Usage:   usage,
		Value:   value,
		Sources: cli.EnvVars(settings.Variable(name)),
	}
}

const (
	minLeaseMs      = 500
	maxLeaseMs      = 600_000
	maxStopGraceMs  = 60_000
	maxRetentionS   = 86_400
	minMemoryMB     = 64
	maxMemoryMB     = 1 << 20
	kbShift         = 10
	mbShift         = 20
	minDescriptors  = 64
	maxDescriptors  = 1 << 20
	maxBodyMemoryKB = 1 << 24
	// heapPercent is the share of the memory limit that the runtime tries to stay within.
	// The rest is for buffers of the system and for peaks between collections.
	heapPercent = 75
)

func runServe(ctx context.Context, cmd *cli.Command) error {
	var check settings.Checker
	check.VMName("vm", cmd.String("vm"))
	check.VMName("zone", cmd.String("zone"))
	check.Address("store-address", cmd.String("store-address"))
	check.Range("lease-max-ms", cmd.Int("lease-max-ms"), minLeaseMs, maxLeaseMs)
	check.Range("stop-grace-ms", cmd.Int("stop-grace-ms"), 0, maxStopGraceMs)
	check.Range("retention-s", cmd.Int("retention-s"), 1, maxRetentionS)
	memory := cmd.Int("memory-limit-mb")
	if memory != 0 {
		check.Range("memory-limit-mb", memory, minMemoryMB, maxMemoryMB)
	}
	descriptors := cmd.Int("descriptor-limit")
	if descriptors != 0 {
		check.Range("descriptor-limit", descriptors, minDescriptors, maxDescriptors)
	}
	if n := cmd.Int("caller-connections"); n != 0 {
		check.Range("caller-connections", n, 1, maxDescriptors)
	}
	if n := cmd.Int("body-memory-kb"); n != 0 {
		check.Range("body-memory-kb", n, 1, maxBodyMemoryKB)
	}
	check.Range("lame-duck-ms", cmd.Int("lame-duck-ms"), 1, maxLameDuckMs)
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
	limitMemory(memory)
	log := logger.New(os.Stdout, level)
	defer log.Close()
	stopReloadLogging := logReloadSignals(log)
	defer stopReloadLogging()
	metrics := meter.New("marjoram")
	defer metrics.Close()

	limits := clientLimits(cmd)
	log.Info("client-limits", "body-kb", limits.BodyBytes>>kbShift, "connections", limits.CallerConns, "probe-connections", limits.ProbeConns)
	for _, l := range []net.Listener{callers, ready} {
		if err := rationer.BoundBuffers(l); err != nil {
			log.Warn("buffers-not-bounded", "address", l.Addr().String(), "error", err.Error())
		}
	}
	bodies := rationer.NewBudget(limits.BodyBytes)
	callerConns := rationer.NewListener(callers, limits.CallerConns)
	probeConns := rationer.NewListener(ready, limits.ProbeConns)
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
		Bodies:       bodies,
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
	var entry *server.Server
	door := platform.NewCallerHandler(platform.CallerHandlerOptions{
		Jobs: acceptor.New(acceptor.Options{
			Store:   store,
			Clock:   wall,
			Log:     log.Logger,
			Waiting: owner.Waiting,
		}),
		Operations: operations,
		Bodies:     bodies,
		Conns:      callerConns,
		Age:        func() clock.Span { return entry.ConfigurationAge() },
		Clock:      wall,
		Log:        log.Logger,
		Scope:      metrics.Scope(),
	})
	entry = server.New(server.Options{
		Conductor:       owner,
		Store:           store,
		VM:              vm,
		Zone:            zone,
		Handler:         door,
		OperationsTable: platform.OperationsTable,
		Update:          operations.Update,
		Operations:      operations.Get,
		CallerListener:  callerConns,
		ProbeListener:   probeConns,
		Reporter: &rationer.Reporter{
			Budget:  bodies,
			Callers: callerConns,
			Probes:  probeConns,
			Log:     log.Logger,
			Scope:   metrics.Scope(),
		},
		Metrics:  metrics,
		LameDuck: clock.Span(cmd.Int("lame-duck-ms")),
		Clock:    wall,
		Log:      log.Logger,
		Scope:    metrics.Scope(),
	})
	return entry.Run(ctx)
}

// clientLimits returns the limits for clients: those that are set, else derived ones.
func clientLimits(cmd *cli.Command) rationer.Limits {
	descriptors := cmd.Int("descriptor-limit")
	if descriptors == 0 {
		descriptors = systemDescriptors()
	}
	limits := rationer.DefaultLimits(int64(cmd.Int("memory-limit-mb"))<<mbShift, descriptors)
	if n := cmd.Int("caller-connections"); n != 0 {
		limits.CallerConns = n
	}
	if n := cmd.Int("body-memory-kb"); n != 0 {
		limits.BodyBytes = int64(n) << kbShift
	}
	return limits
}

// systemDescriptors returns the number of descriptors that the system grants, 0 if it does not
// tell.
func systemDescriptors() int {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return 0
	}
	return int(min(limit.Cur, maxDescriptors))
}

// limitMemory makes the runtime collect garbage more often rather than let the process grow
// beyond its memory limit, in MiB; 0 stands for no limit.
func limitMemory(limit int) {
	if limit > 0 {
		debug.SetMemoryLimit(int64(limit) << mbShift * heapPercent / 100)
	}
}

// logReloadSignals logs every SIGHUP until the returned function is called.
// Settings are read only at start, so that a SIGHUP cannot break a process that
// works.
func logReloadSignals(log *logger.Logger) func() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	go func() {
		for range signals {
			log.Info("reload", "outcome", "settings are read only at start")
		}
	}()
	return func() {
		signal.Stop(signals)
		close(signals)
	}
}
