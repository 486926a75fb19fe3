package conductor

import (
	"context"
	"slices"

	"marjoramstack/internal/acceptor"
	"marjoramstack/internal/table"
	"marjoramstack/pkg/clock"
)

// sweep removes the rows of jobs that ended long ago, few writes at a time: all of
// the owner's writes lie in one part, which carries them out one after the other.
func (t *tenure) sweep(now clock.Time) {
	t.forgotten = append(t.forgotten, t.planner.Forget(now.Add(-t.c.opts.Retention))...)
	if t.removing || len(t.forgotten) == 0 {
		return
	}
	t.removing = true
	ids := t.forgotten
	t.forgotten = nil
	t.duty(func(ctx context.Context) {
		if t.remove(ctx, ids) {
			ids = nil
		}
		t.put(removed{left: ids})
	})
}

// remove removes the rows of jobs, one write after the other, up to the first that
// is not confirmed.
func (t *tenure) remove(ctx context.Context, ids []string) bool {
	for _, txn := range removals(ids) {
		call, cancel := context.WithTimeout(ctx, callWithin.Duration())
		_, err := t.c.opts.Store.Commit(call, txn)
		cancel()
		if err != nil {
			t.c.opts.Log.Warn("jobs-not-removed", "jobs", len(ids), "part", txn.Part, "error", err.Error())
			return false
		}
	}
	return true
}

// removals are the writes that remove the rows of jobs, the records last, so that no
// job is taken for one that has not begun.
func removals(ids []string) []table.Txn {
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
		for rows := range slices.Chunk(parts[part], batchRows) {
			txns = append(txns, table.Txn{
				Part:    part,
				Removes: rows,
			})
		}
	}
	return txns
}
