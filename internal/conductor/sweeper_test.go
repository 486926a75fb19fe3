package conductor

import (
	"context"
	"fmt"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"marjoramstack/internal/acceptor"
	"marjoramstack/internal/logger"
	"marjoramstack/internal/standin"
	"marjoramstack/internal/table"
	"marjoramstack/pkg/clock"
)

// counted is a table that counts the writes to it, and those at work at a time.
type counted struct {
	*standin.Rows
	mu            sync.Mutex
	writes        int
	atWork, most  int
	progressFirst bool
}

func (c *counted) Commit(ctx context.Context, txn table.Txn) (table.Verdict, error) {
	c.mu.Lock()
	c.writes++
	c.atWork++
	c.most = max(c.most, c.atWork)
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		c.atWork--
		c.mu.Unlock()
	}()
	if txn.Part == acceptor.CellPart {
		page, err := c.Rows.List(ctx, table.Query{Table: acceptor.JobsTable, Part: "0"})
		c.progressFirst = c.progressFirst || err != nil || len(page.Rows) > 0
	}
	return c.Rows.Commit(ctx, txn)
}

// TestManyForgotten guards against an owner that can't write for seconds, so that
// callers are told old states and the cell changes hands: the removal of some hundred
// ended jobs filled the part in which all of its writes queue.
func TestManyForgotten(t *testing.T) {
	const jobs = 300
	rows := &counted{Rows: standin.NewRows()}
	log := logger.Discard()
	defer log.Close()
	tenure := &tenure{c: New(Options{Store: rows, Clock: clock.NewWall(), Log: log.Logger})}
	var ids []string
	for i := range jobs {
		id := fmt.Sprintf("%x%015x", i%16, i)
		ids = append(ids, id)
		rows.Write(acceptor.JobsTable, acceptor.Part(id), id, nil)
		rows.Write(acceptor.JobsTable, acceptor.Part(id), acceptor.CancelKey(id), nil)
		rows.Write(acceptor.ProgressTable, acceptor.CellPart, id, nil)
	}
	rows.SetDown(true)
	assert.Assert(t, !tenure.remove(t.Context(), ids))
	assert.Equal(t, rows.writes, 1, "what comes later would be removed first")
	rows.SetDown(false)
	rows.writes = 0
	assert.Assert(t, tenure.remove(t.Context(), ids))
	assert.Assert(t, rows.writes <= jobs/10, "%d writes", rows.writes)
	assert.Equal(t, rows.most, 1)
	assert.Assert(t, !rows.progressFirst, "a job without record is taken for one that has not begun")
	for _, name := range []string{acceptor.JobsTable, acceptor.ProgressTable} {
		parts, err := rows.Parts(t.Context(), name)
		assert.NilError(t, err)
		assert.Equal(t, len(parts), 0, "rows are left in %s", name)
	}
}
