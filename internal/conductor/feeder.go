package conductor

import (
	"context"
	"encoding/json"

	"marjoramstack/internal/acceptor"
	"marjoramstack/internal/planner"
	"marjoramstack/internal/table"
	"marjoramstack/pkg/clock"
)

const pageRows = 500

// load reads the state that earlier owners have recorded: the progress of jobs, the
// planner's lessons and the workers in use.
func (t *tenure) load(ctx context.Context) error {
	err := t.readTable(ctx, acceptor.ProgressTable, func(row table.Row) error {
		progress, err := acceptor.DecodeProgress(row.Value)
		if err == nil {
			t.progress[row.Key] = progress
		}
		return err
	})
	if err != nil {
		return err
	}
	err = t.readTable(ctx, acceptor.CellTable, func(row table.Row) error {
		if row.Key != acceptor.LessonsKey {
			return nil
		}
		var lessons planner.Lessons
		if err := json.Unmarshal(row.Value, &lessons); err != nil {
			return err
		}
		if err := lessons.Check(); err != nil {
			return err
		}
		t.planner.Learn(lessons)
		return nil
	})
	if err != nil {
		return err
	}
	return t.readTable(ctx, acceptor.UsedTable, func(row table.Row) error {
		used, err := acceptor.DecodeUsed(row.Key, row.Value)
		t.planner.Handle(t.now(), planner.WorkerInherited(used))
		return err
	})
}

// readTable calls handle for each row of one of the owner's tables. It logs the rows
// that handle cannot decode.
func (t *tenure) readTable(ctx context.Context, name string, handle func(table.Row) error) error {
	from := ""
	for more := true; more; {
		page, err := t.readPage(ctx, name, from)
		if err != nil {
			return err
		}
		for _, row := range page.Rows {
			from = row.Key + "\x00"
			if err := handle(row); err != nil {
				t.c.opts.Log.Error("row-unreadable", "table", name, "key", row.Key, "version", row.Version, "error", err.Error())
			}
		}
		more = page.More && len(page.Rows) > 0
	}
	return nil
}

// readPage reads a page of a table. It retries after a failure while the lease of the
// cell holds.
func (t *tenure) readPage(ctx context.Context, name, from string) (table.Page, error) {
	for {
		call, cancel := context.WithTimeout(ctx, callTimeout.Duration())
		page, err := t.c.opts.Store.List(call, table.Query{
			Table: name,
			Part:  acceptor.CellPart,
			From:  from,
			Limit: pageRows,
		})
		cancel()
		if err == nil || !t.owns() || ctx.Err() != nil {
			return page, err
		}
		sleep(ctx, retryDelay)
	}
}

// handleJobRows passes jobs and cancellations to the planner, jobs first.
func (t *tenure) handleJobRows(now clock.Time, rows []table.Row) {
	var cancelled []string
	for _, row := range rows {
		id, isCancel := acceptor.SplitKey(row.Key)
		switch {
		case row.Removed:
		case isCancel:
			cancelled = append(cancelled, id)
		default:
			t.handleJobRow(now, row)
		}
	}
	for _, id := range cancelled {
		t.planner.Handle(now, planner.Cancelled{Job: id})
	}
}

func (t *tenure) handleJobRow(now clock.Time, row table.Row) {
	job, err := acceptor.DecodeJob(row.Key, row.Value)
	if err != nil {
		t.c.opts.Log.Error("job-unreadable", "job", row.Key, "version", row.Version, "error", err.Error())
		return
	}
	m := planner.Submitted{
		Job:       job.Job,
		Accepted:  job.Accepted,
		Terms:     job.Terms,
		Customer:  job.Customer,
		Inherited: t.inheritance.covers(row.Version),
	}
	if progress, ok := t.progress[row.Key]; ok {
		m.Progress = &progress
		delete(t.progress, row.Key)
	}
	t.c.opts.Log.Info("job-seen", "job", row.Key, "queue", job.Job.Queue, "customer", job.Job.Customer, "version", row.Version, "inherited", m.Inherited, "age-ms", int64(now.Sub(job.Accepted)))
	t.planner.Handle(now, m)
}

func (t *tenure) handleWorkerRows(now clock.Time, rows []table.Row) {
	for _, row := range rows {
		if row.Removed {
			t.workerFaults.Record(row.Key, nil)
			t.planner.Handle(now, planner.WorkerUnlisted{Worker: row.Key})
			continue
		}
		w, err := t.c.opts.DecodeWorker(row.Key, row.Value)
		if fault, isNew := t.workerFaults.Record(row.Key, err); isNew {
			t.c.opts.Log.Warn("worker-row-ignored", "worker", row.Key, "version", row.Version, "error", fault)
		}
		if err != nil {
			t.planner.Handle(now, planner.WorkerUnlisted{Worker: row.Key})
			continue
		}
		t.planner.Handle(now, planner.WorkerListed{Worker: w})
	}
}
