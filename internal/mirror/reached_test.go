package mirror

import (
	"context"
	"strconv"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"marjoramstack/internal/logger"
	"marjoramstack/internal/standin"
	"marjoramstack/internal/table"
	"marjoramstack/pkg/clock"
)

// TestReached guards against a version that is said to be reached before all rows up to it have
// been delivered, by reads of the whole table or by its changes, and against one that does not
// rise because the table itself does not change.
func TestReached(t *testing.T) {
	rows := standin.NewRows()
	log := logger.Discard()
	defer log.Close()
	var mu sync.Mutex
	written := []uint64{} // versions of the rows written so far
	delivered := map[uint64]bool{}
	reached := uint64(0)
	m := New(rows, Options{
		Table:  "jobs",
		Parted: true,
		Wait:   50,
		Clock:  clock.NewWall(),
		Log:    log.Logger,
		Deliver: func(changed []table.Row) {
			mu.Lock()
			defer mu.Unlock()
			for _, r := range changed {
				delivered[r.Version] = true
			}
		},
		Reached: func(version uint64) {
			mu.Lock()
			defer mu.Unlock()
			if version <= reached {
				t.Errorf("version %d after %d", version, reached)
			}
			reached = version
			for _, w := range written {
				if w <= version && !delivered[w] {
					t.Errorf("version %d is said to be reached, the row of version %d is not delivered", version, w)
				}
			}
		},
	})
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { m.Run(ctx) })
	defer group.Wait()
	defer cancel()
	for n := range 200 {
		key := strconv.Itoa(n)
		mu.Lock()
		rows.Write("jobs", "p"+strconv.Itoa(n%5), key, []byte(key))
		row, err := table.Get(ctx, rows, "jobs", "p"+strconv.Itoa(n%5), key)
		written = append(written, row.Version)
		early := row.Version <= reached
		mu.Unlock()
		assert.Assert(t, !early, "version %d was said to be reached before it was written", row.Version)
		assert.NilError(t, err)
		if n%50 == 49 {
			rows.ForgetHistory()
		}
		time.Sleep(time.Millisecond)
	}
	rows.Write("other", "", "key", []byte("value"))
	last, err := table.Get(ctx, rows, "other", "", "key")
	assert.NilError(t, err)
	for range 200 {
		mu.Lock()
		done := reached >= last.Version
		mu.Unlock()
		if done {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("version %d is not reached", last.Version)
}
