// Package demonstrator runs the whole system in one process: stand-ins for the
// platform, the workers and the endpoints, and real entry VMs, all connected
// over loopback TCP. It is used by the demo, by experiments and by system tests.
//
// # Usage
//
//	err := demonstrator.Demo(ctx, os.Stdout, io.Discard)
package demonstrator

import (
	"context"
	"fmt"
	"io"
	"time"

	"marjoramstack/internal/ledger"
	"marjoramstack/internal/loader"
	"marjoramstack/internal/operator"
	"marjoramstack/internal/standin"
	"marjoramstack/internal/worker"
	"marjoramstack/pkg/clock"
	"marjoramstack/pkg/document"
	"marjoramstack/pkg/result"
)

const demoDocument = `schema: marjoram/v1
service: ring-desk
zones: [press, lab, office]
teams:
  - name: compounds
    quota: {processors: 64, memory-mb: 500000}
classes:
  - name: quote
    kind: interactive
    answer-by: 300ms
  - name: cure-test
    kind: batch
    finish-by: 10m
  - name: hold
    kind: watcher
    alive: 3
    team: compounds
    size: {processors: 1, memory-mb: 512}
`

const (
	demoRate          = 120
	demoDuration      = 10 * time.Second
	demoKillAt        = 3 * time.Second
	demoTasks         = 12
	demoJobTimeout    = 40 * time.Second
	demoTaskRunTime   = "4s"
	demoOrderShare    = 0.3
	demoSettleTimeout = 10 * time.Second
)

// Demo starts a town of three availability zones, sends quotes and orders, runs
// a job and watchers while a worker is killed, and writes a report to out. Entry
// VMs log to log. It returns an error with code CountsDisagree if the counts of
// callers, ledger and workers do not agree.
func Demo(ctx context.Context, out, log io.Writer) error {
	town, err := NewTown(standin.Layout{
		Zones:            []string{"press", "lab", "office"},
		WorkersPerZone:   2,
		EndpointsPerZone: 2,
		WorkersPerRack:   1,
		Worker: document.Size{
			Processors: 16,
			Memory:     64_000,
		},
		Slots:   8,
		Service: 8 * clock.Millisecond,
		Random:  true,
		Lag:     2 * clock.Second,
		Seed:    1,
	}, log)
	if err != nil {
		return err
	}
	defer town.Close()
	if err := demoStart(ctx, town, out); err != nil {
		return err
	}
	tally, killed := demoLoad(ctx, town, out)
	job, err := demoAwaitJob(ctx, town)
	if err != nil {
		return err
	}
	return demoReport(ctx, town, out, tally, job, killed)
}

func demoStart(ctx context.Context, town *Town, out io.Writer) error {
	for _, zone := range []string{"press", "press", "lab", "office"} {
		if _, err := town.Start(zone); err != nil {
			return err
		}
	}
	fmt.Fprintln(out, "4 entry VMs, 6 workers, 6 endpoints in 3 availability zones, all on loopback")
	change, err := town.Apply(ctx, demoDocument)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "configuration version %d: %s in %d ms\n", change.Version, change.State, change.TookMs)
	if err := town.AwaitReady(ctx); err != nil {
		return err
	}
	_, err = town.Entries[0].Client().Post(ctx, "/v1/jobs", document.Job{
		ID:      "run-1",
		Class:   "cure-test",
		Team:    "compounds",
		Tasks:   demoTasks,
		Size:    document.Size{Processors: 2, Memory: 1000},
		RunTime: demoTaskRunTime,
	}, nil)
	return err
}

// demoLoad sends the load and kills the worker with the most running tasks
// while the load runs. It returns the tally and the ID of that worker.
func demoLoad(ctx context.Context, town *Town, out io.Writer) (*loader.Tally, string) {
	killed := make(chan string, 1)
	go func() {
		time.Sleep(demoKillAt)
		id := busiestWorker(town)
		town.Site.Workers[id].Restart()
		fmt.Fprintf(out, "worker %s killed while its tasks ran\n", id)
		killed <- id
	}()
	tally := loader.New(loader.Options{
		Callers: town.Callers(),
		Trace: loader.Generate(loader.Plan{
			Class:      "quote",
			Rate:       demoRate,
			Span:       demoDuration,
			OrderShare: demoOrderShare,
			Seed:       1,
			Prefix:     "demo",
		}),
		Body: []byte("ring 180 mm, 40 pieces"),
	}).Run(ctx)
	return tally, <-killed
}

func busiestWorker(town *Town) string {
	busiestID, maxRunning := "", -1
	for id, w := range town.Site.Workers {
		running := 0
		for _, r := range w.Record().Runs {
			if r.End == 0 {
				running++
			}
		}
		if running > maxRunning || (running == maxRunning && id < busiestID) {
			busiestID, maxRunning = id, running
		}
	}
	return busiestID
}

func demoAwaitJob(ctx context.Context, town *Town) (operator.Job, error) {
	var job operator.Job
	err := Await(ctx, demoJobTimeout, "job run-1 finished", func() bool {
		return town.Entries[0].Client().Get(ctx, "/v1/jobs/run-1", &job) == nil && job.State == "finished"
	})
	return job, err
}

func demoReport(ctx context.Context, town *Town, out io.Writer, tally *loader.Tally, job operator.Job, killed string) error {
	faults := append(tally.Verify(town.Site.RunsPerKey()), town.Site.Violations()...)
	counts, err := awaitSettled(ctx, town)
	if err != nil {
		faults = append(faults, err.Error())
	}
	faults = append(faults, compareCounts(tally, counts)...)
	finished, evicted := countAttempts(town)
	if finished != demoTasks {
		faults = append(faults, fmt.Sprintf("workers finished %d tasks of %d", finished, demoTasks))
	}
	watchers := watchersAlive(ctx, town)
	if watchers != 3 {
		faults = append(faults, fmt.Sprintf("%d watchers are alive, 3 were requested", watchers))
	}
	fmt.Fprintf(out, "\nrequests sent      %d\n", tally.Sent)
	fmt.Fprintf(out, "  by outcome       ran %d, not-run %d, unknown %d\n", tally.Outcomes["ran"], tally.Outcomes["not-run"], tally.Outcomes["unknown"])
	fmt.Fprintf(out, "orders in ledger   ran %d, not-run %d, unknown %d, in progress %d\n", counts.Ran, counts.NotRun, counts.Unknown, counts.Claimed)
	fmt.Fprintf(out, "quote latency ms   p50 %.1f, p95 %.1f, p99 %.1f\n", loader.Quantile(tally.Quotes, 50), loader.Quantile(tally.Quotes, 95), loader.Quantile(tally.Quotes, 99))
	fmt.Fprintf(out, "order latency ms   p50 %.1f, p95 %.1f, p99 %.1f\n", loader.Quantile(tally.Ordered, 50), loader.Quantile(tally.Ordered, 95), loader.Quantile(tally.Ordered, 99))
	fmt.Fprintf(out, "job run-1          %s, %d tasks finished\n", job.State, finished)
	fmt.Fprintf(out, "attempts cut short %d (worker %s was killed)\n", evicted, killed)
	fmt.Fprintf(out, "watchers alive     %d of 3\n", watchers)
	for _, f := range faults {
		fmt.Fprintln(out, "FAULT:", f)
	}
	if len(faults) > 0 {
		return result.New(result.CountsDisagree, "%d faults", len(faults))
	}
	fmt.Fprintln(out, "all counts agree")
	return nil
}

// awaitSettled waits until no order is in progress and returns the order counts
// of the ledger.
func awaitSettled(ctx context.Context, town *Town) (ledger.Counts, error) {
	var counts ledger.Counts
	err := Await(ctx, demoSettleTimeout, "orders settled", func() bool {
		return town.Entries[0].Client().Get(ctx, "/v1/orders", &counts) == nil && counts.Claimed == 0
	})
	return counts, err
}

// compareCounts compares the order outcomes that callers were told with the
// counts of the ledger and returns the differences.
func compareCounts(tally *loader.Tally, counts ledger.Counts) []string {
	reported := map[result.Outcome]int{}
	for _, outcome := range tally.Orders {
		reported[outcome]++
	}
	var faults []string
	check := func(outcome result.Outcome, recorded int) {
		if reported[outcome] != recorded {
			faults = append(faults, fmt.Sprintf("callers were told %s %d times, the ledger has %d", outcome, reported[outcome], recorded))
		}
	}
	check(result.OutcomeRan, counts.Ran)
	check(result.OutcomeNotRun, counts.NotRun)
	check(result.OutcomeUnknown, counts.Unknown)
	return faults
}

func countAttempts(town *Town) (finished, cutShort int) {
	for _, w := range town.Site.Workers {
		for _, r := range w.Record().Runs {
			switch r.State {
			case worker.StateFinished:
				finished++
			case worker.StateStopped, worker.StateLapsed:
				cutShort++
			}
		}
	}
	return finished, cutShort
}

func watchersAlive(ctx context.Context, town *Town) int {
	var jobs []operator.Job
	if town.Entries[0].Client().Get(ctx, "/v1/jobs", &jobs) != nil {
		return 0
	}
	alive := 0
	for _, j := range jobs {
		if j.Parts[0].Watcher && j.State == "running" {
			alive++
		}
	}
	return alive
}
