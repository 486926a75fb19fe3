package owner

import (
	"context"
	"encoding/json"

	"marjoramstack/internal/platform"
	"marjoramstack/internal/scheduler"
	"marjoramstack/pkg/clock"
)

const (
	arrivalsPerScan = 256
	cancelsPerScan  = 200
	cancelRetention = 1 * clock.Hour
)

// scanLoop polls the platform's table for tasks handed over by other cells and
// for cancellations.
func (t *tenure) scanLoop(ctx context.Context) {
	after := ""
	for ctx.Err() == nil {
		arrivals := t.scanArrivals(ctx)
		cancelled, next := t.scanCancels(ctx, after)
		after = next
		if len(arrivals)+len(cancelled) > 0 {
			t.inbox.Put(ctx, scanResult{
				arrivals:  arrivals,
				cancelled: cancelled,
			})
		}
		sleep(ctx, scanInterval)
	}
}

func (t *tenure) scanArrivals(ctx context.Context) []scheduler.Arrived {
	rows, err := t.owner.opts.Platform.Read(ctx, platform.Query{
		Prefix: HandoverPrefix + t.owner.opts.Cell + "/",
		Limit:  arrivalsPerScan,
	})
	if err != nil || len(rows) == 0 {
		return nil
	}
	arrivals := make([]scheduler.Arrived, 0, len(rows))
	keys := make([]string, 0, len(rows))
	for _, row := range rows {
		a := scheduler.Arrived{
			Key: row.Key,
			Row: row.Version,
		}
		if json.Unmarshal(row.Value, &a.Taken) == nil {
			arrivals = append(arrivals, a)
			keys = append(keys, JobPrefix+a.Taken.Spec.ID)
		}
	}
	jobs, err := t.owner.opts.Platform.Read(ctx, platform.Query{Keys: keys})
	if err != nil {
		return nil
	}
	return withJobRows(arrivals, jobs)
}

func withJobRows(arrivals []scheduler.Arrived, jobs []platform.Row) []scheduler.Arrived {
	byKey := make(map[string]platform.Row, len(jobs))
	for _, row := range jobs {
		byKey[row.Key] = row
	}
	for i := range arrivals {
		row := byKey[JobPrefix+arrivals[i].Taken.Spec.ID]
		arrivals[i].JobRow = row.Version
		arrivals[i].Cancelled = len(cancelledIn([]platform.Row{row})) > 0
	}
	return arrivals
}

// scanCancels returns the jobs of the cancellations whose keys sort after the
// given key, and the key after which the next scan starts. Keys increase with
// time.
func (t *tenure) scanCancels(ctx context.Context, after string) ([]string, string) {
	rows, err := t.owner.opts.Platform.Read(ctx, platform.Query{
		Prefix: CancelPrefix,
		After:  after,
		Limit:  cancelsPerScan,
	})
	if err != nil {
		return nil, after
	}
	var ids []string
	for _, row := range rows {
		var c CancelRow
		if json.Unmarshal(row.Value, &c) != nil {
			continue
		}
		ids = append(ids, c.IDs...)
		if t.now().Sub(clock.Time(c.At)) > cancelRetention {
			t.deleteCancel(ctx, row)
		}
	}
	// Move on only after a full page: a concurrent writer may commit a key that
	// sorts slightly before one that was already read.
	if len(rows) == cancelsPerScan {
		after = rows[len(rows)-1].Key
	}
	return ids, after
}

// deleteCancel deletes the row of an old cancellation. All current owners have
// seen it, and later owners read it from the job rows.
func (t *tenure) deleteCancel(ctx context.Context, row platform.Row) {
	_, err := t.owner.opts.Platform.Commit(ctx, platform.Txn{
		ID: "drop-" + row.Key,
		Checks: []platform.Check{{
			Key:     row.Key,
			Version: row.Version,
		}},
		Deletes: []string{row.Key},
	})
	if err != nil {
		t.owner.opts.Log.Debug("cancellation-not-dropped", "key", row.Key, "error", err.Error())
	}
}

func (t *tenure) handleScan(s scanResult) {
	now := t.now()
	for _, a := range s.arrivals {
		t.cell.Handle(now, a)
	}
	if len(s.cancelled) > 0 {
		t.cell.Handle(now, scheduler.Cancelled{Jobs: s.cancelled})
	}
}
