package measurer

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"marjoramstack/internal/demonstrator"
	"marjoramstack/internal/operator"
	"marjoramstack/internal/standin"
	"marjoramstack/pkg/clock"
	"marjoramstack/pkg/document"
)

const takeoverDocument = `schema: marjoram/v1
service: desk
zones: [press]
teams:
  - name: compounds
    quota: {processors: 1000000, memory-mb: 1000000000}
classes:
  - name: cure-test
    kind: batch
    finish-by: 6h
`

const (
	jobTasks       = 5000
	fillWithin     = 120 * time.Second
	recoverWithin  = 30 * time.Second
	takeoverSteady = 3 * time.Second
)

// takeover kills the owner of a cell that runs many tasks on real workers, and
// measures how long it takes until a new job has started and finished under its
// successor, and how many tasks were cut short.
func takeover(out io.Writer) error {
	header(out, "workers", "tasks", "filled ms", "recovered ms", "cut short")
	for _, workers := range []int{45, 230, 690} {
		if err := takeoverAt(out, workers); err != nil {
			return err
		}
	}
	return nil
}

func takeoverAt(out io.Writer, workers int) error {
	town, err := demonstrator.NewTown(standin.Layout{
		Zones:          []string{"press"},
		WorkersPerZone: workers,
		WorkersPerRack: 11,
		Worker:         document.Size{Processors: 64, Memory: 250_000},
		Lag:            2 * clock.Second,
	}, io.Discard)
	if err != nil {
		return err
	}
	defer town.Close()
	for range 2 {
		if _, err := town.Start("press"); err != nil {
			return err
		}
	}
	ctx := context.Background()
	if _, err := town.Apply(ctx, takeoverDocument); err != nil {
		return err
	}
	if err := town.AwaitReady(ctx); err != nil {
		return err
	}
	tasks := workers * tasksPerWorker
	filled, err := fillTown(ctx, town, tasks)
	if err != nil {
		return err
	}
	time.Sleep(takeoverSteady)
	recovered, err := killOwner(ctx, town)
	if err != nil {
		return err
	}
	line(out, workers, tasks, filled.Milliseconds(), recovered.Milliseconds(), cutShort(town))
	return nil
}

// fillTown submits jobs until the tasks run.
func fillTown(ctx context.Context, town *demonstrator.Town, tasks int) (time.Duration, error) {
	began := time.Now()
	for i := 0; i*jobTasks < tasks; i++ {
		if err := submitTo(ctx, town.Entries[0], fmt.Sprintf("fill-%d", i), min(jobTasks, tasks-i*jobTasks), "1h"); err != nil {
			return 0, err
		}
	}
	err := demonstrator.Await(ctx, fillWithin, "tasks running", func() bool { return startedIn(town) >= tasks })
	return time.Since(began), err
}

func submitTo(ctx context.Context, r *demonstrator.Running, id string, tasks int, runTime string) error {
	_, err := r.Client().Post(ctx, "/v1/jobs", document.Job{
		ID:      id,
		Class:   "cure-test",
		Team:    "compounds",
		Tasks:   tasks,
		Size:    document.Size{Processors: 1, Memory: 1000},
		RunTime: runTime,
	}, nil)
	return err
}

func startedIn(town *demonstrator.Town) int {
	n := 0
	for _, w := range town.Site.Workers {
		n += len(w.Record().Runs)
	}
	return n
}

// killOwner kills the owner of the cell and returns how long it takes until a
// new job has run under its successor.
func killOwner(ctx context.Context, town *demonstrator.Town) (time.Duration, error) {
	var status operator.Status
	if err := town.Entries[0].Client().Get(ctx, "/v1/status", &status); err != nil {
		return 0, err
	}
	owner, other := town.Entries[0], town.Entries[1]
	if strings.HasPrefix(status.Cells[0].Owner, other.VM+".") {
		owner, other = other, owner
	}
	began := time.Now()
	owner.Kill()
	err := demonstrator.Await(ctx, recoverWithin, "probe accepted", func() bool {
		return submitTo(ctx, other, "probe", 1, "1ms") == nil
	})
	if err != nil {
		return 0, err
	}
	err = demonstrator.Await(ctx, recoverWithin, "probe finished", func() bool {
		var job operator.Job
		return other.Client().Get(ctx, "/v1/jobs/probe", &job) == nil && job.State == "finished"
	})
	return time.Since(began), err
}

// cutShort counts the attempts that ended otherwise than finished.
func cutShort(town *demonstrator.Town) int {
	n := 0
	for _, w := range town.Site.Workers {
		for _, r := range w.Record().Runs {
			if r.End != 0 && r.State != "finished" {
				n++
			}
		}
	}
	return n
}
