package conductor

import (
	"context"
	"slices"

	"marjoramstack/internal/acceptor"
	"marjoramstack/internal/table"
	"marjoramstack/pkg/clock"
)

// sweep removes the rows of jobs whose retention has ended, with few writes at a time:
// all writes of the owner go to one part of the table, which carries them out one after
// the other.
func (t *tenure) sweep(now clock.Time) {
	t.expiredJobs = append(t.expiredJobs, t.planner.Forget(now.Add(-t.c.opts.Retention))...)
	if t.removing || len(t.expiredJobs) == 0 {
		return
	}
	t.removing = true
	ids := t.expiredJobs
	t.expiredJobs = nil
	t.spawn(func(ctx context.Context) {
		if t.removeJobs(ctx, ids) {
			ids = nil
		}
		t.post(jobsRemoved{remaining: ids})
	})
}

// removeJobs removes the rows of jobs with one write after the other. It stops at the
// first write that is not confirmed and then returns false.
func (t *tenure) removeJobs(ctx context.Context, ids []string) bool {
	for _, txn := range removalTxns(ids) {
		call, cancel := context.WithTimeout(ctx, callTimeout.Duration())
		_, err := t.c.opts.Store.Commit(call, txn)
		cancel()
		if err != nil {
			t.c.opts.Log.Warn("jobs-not-removed", "jobs", len(ids), "part", txn.Part, "error", err.Error())
			return false
		}
	}
	return true
}

// removalTxns returns the writes that remove the rows of jobs. The progress rows are
// removed last, because a job without one would be taken for a job that has not
// started.
func removalTxns(ids []string) []table.Txn {
	parts := map[string][]table.Remove{}
	var order []string
	for _, id := range ids {
		part := acceptor.Part(id)
		if !slices.Contains(order, part) {
			order = append(order, part)
		}
		parts[part] = append(parts[part],
			table.Remove{Table: acceptor.JobsTable, Key: id},
			table.Remove{Table: acceptor.JobsTable, Key: acceptor.CancelKey(id)})
	}
	order = append(order, acceptor.CellPart)
	for _, id := range ids {
		parts[acceptor.CellPart] = append(parts[acceptor.CellPart], table.Remove{Table: acceptor.ProgressTable, Key: id})
	}
	var txns []table.Txn
	for _, part := range order {
		for rows := range slices.Chunk(parts[part], maxBatchRows) {
			txns = append(txns, table.Txn{
				Part:    part,
				Removes: rows,
			})
		}
	}
	return txns
}
