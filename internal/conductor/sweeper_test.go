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

// countingRows is a table that counts its writes and the maximum number in flight.
type countingRows struct {
	*standin.Rows
	mu                    sync.Mutex
	writes                int
	inFlight, maxInFlight int
	progressRemovedFirst  bool
}

func (c *countingRows) Commit(ctx context.Context, txn table.Txn) (table.Verdict, error) {
	c.mu.Lock()
	c.writes++
	c.inFlight++
	c.maxInFlight = max(c.maxInFlight, c.inFlight)
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		c.inFlight--
		c.mu.Unlock()
	}()
	if txn.Part == acceptor.CellPart {
		page, err := c.Rows.List(ctx, table.Query{Table: acceptor.JobsTable, Part: "0"})
		c.progressRemovedFirst = c.progressRemovedFirst || err != nil || len(page.Rows) > 0
	}
	return c.Rows.Commit(ctx, txn)
}

// TestManyForgotten guards against removals of ended jobs that block the owner's other
// writes. The removal of some hundred jobs filled the part in which all writes of the
// owner queue. The owner could not write for seconds, callers were shown old states and
// the cell changed owners.
func TestManyForgotten(t *testing.T) {
	const jobs = 300
	rows := &countingRows{Rows: standin.NewRows()}
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
	assert.Assert(t, !tenure.removeJobs(t.Context(), ids))
	assert.Equal(t, rows.writes, 1, "no write may follow one that failed")
	rows.SetDown(false)
	rows.writes = 0
	assert.Assert(t, tenure.removeJobs(t.Context(), ids))
	assert.Assert(t, rows.writes <= jobs/10, "%d writes", rows.writes)
	assert.Equal(t, rows.maxInFlight, 1)
	assert.Assert(t, !rows.progressRemovedFirst, "a job without a progress row looks like one that has not started")
	for _, name := range []string{acceptor.JobsTable, acceptor.ProgressTable} {
		parts, err := rows.Parts(t.Context(), name)
		assert.NilError(t, err)
		assert.Equal(t, len(parts), 0, "rows remain in %s", name)
	}
}
