package standin

import (
	"context"
	"errors"
	"slices"
	"strings"
	"sync"
	"time"

	"marjoramstack/internal/table"
	"marjoramstack/pkg/clock"
)

// ErrUnavailable is what Rows answers while it is down: nothing was done.
var ErrUnavailable = errors.New("the table is away")

// Rows is a table.Store in memory, with switches for faults. It is safe for
// concurrent use.
type Rows struct {
	mu      sync.Mutex
	changed chan struct{}
	version uint64
	rows    map[rowPlace]table.Row
	history []rowChange
	oldest  uint64 // changes up to this version are forgotten

	down   bool
	silent bool
	lose   int
}

type rowPlace struct{ table, part, key string }

type rowChange struct {
	table string
	row   table.Row
}

var _ table.Store = (*Rows)(nil)

// NewRows returns Rows without any row.
func NewRows() *Rows {
	return &Rows{
		changed: make(chan struct{}),
		rows:    map[rowPlace]table.Row{},
	}
}

// SetDown makes every call fail with ErrUnavailable.
func (r *Rows) SetDown(down bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.down = down
}

// SetSilent makes every call wait until its context ends.
func (r *Rows) SetSilent(silent bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.silent = silent
}

// LoseAnswers carries the next n transactions out without answering.
func (r *Rows) LoseAnswers(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lose = n
}

// ForgetHistory drops all changes up to now, so that followers must read again.
func (r *Rows) ForgetHistory() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.oldest = r.version
	r.history = nil
	r.wake()
}

// Write puts a row as another writer would, without any check.
func (r *Rows) Write(name, part, key string, value []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.version++
	r.put(name, table.Row{
		Part:    part,
		Key:     key,
		Value:   value,
		Version: r.version,
	})
	r.wake()
}

// Remove drops a row as another writer would.
func (r *Rows) Remove(name, part, key string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.version++
	r.drop(name, part, key)
	r.wake()
}

func (r *Rows) wake() {
	close(r.changed)
	r.changed = make(chan struct{})
}

func (r *Rows) put(name string, row table.Row) {
	r.rows[rowPlace{
		table: name,
		part:  row.Part,
		key:   row.Key,
	}] = row
	r.history = append(r.history, rowChange{
		table: name,
		row:   row,
	})
}

func (r *Rows) drop(name, part, key string) {
	at := rowPlace{
		table: name,
		part:  part,
		key:   key,
	}
	if _, ok := r.rows[at]; !ok {
		return
	}
	delete(r.rows, at)
	r.history = append(r.history, rowChange{
		table: name,
		row: table.Row{
			Part:    part,
			Key:     key,
			Version: r.version,
			Removed: true,
		},
	})
}

// fault returns why a call fails now, if it does.
func (r *Rows) fault(ctx context.Context) error {
	r.mu.Lock()
	down, silent := r.down, r.silent
	r.mu.Unlock()
	switch {
	case silent:
		<-ctx.Done()
		return table.ErrUnknown
	case down:
		return ErrUnavailable
	}
	return nil
}

// Commit carries out a transaction.
func (r *Rows) Commit(ctx context.Context, txn table.Txn) (table.Verdict, error) {
	if err := r.fault(ctx); err != nil {
		return table.Verdict{}, err
	}
	verdict, lost := r.commit(txn)
	if lost {
		<-ctx.Done()
		return table.Verdict{}, table.ErrUnknown
	}
	return verdict, nil
}

func (r *Rows) commit(txn table.Txn) (verdict table.Verdict, lost bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	lost = r.lose > 0
	if lost {
		r.lose--
	}
	if conflicts, ok := r.check(txn); !ok {
		return table.Verdict{
			Version:   r.version,
			Conflicts: conflicts,
		}, lost
	}
	r.version++
	for _, p := range txn.Puts {
		r.put(p.Table, table.Row{
			Part:    txn.Part,
			Key:     p.Key,
			Value:   slices.Clone(p.Value),
			Version: r.version,
		})
	}
	for _, n := range txn.Removes {
		r.drop(n.Table, txn.Part, n.Key)
	}
	r.wake()
	return table.Verdict{
		Committed: true,
		Version:   r.version,
	}, lost
}

// check returns the present rows of a transaction's checks, and whether all of
// them hold.
func (r *Rows) check(txn table.Txn) ([]table.Row, bool) {
	var present []table.Row
	holds := true
	for _, c := range txn.Checks {
		row, ok := r.rows[rowPlace{
			table: c.Table,
			part:  txn.Part,
			key:   c.Key,
		}]
		if ok {
			present = append(present, row)
		}
		holds = holds && row.Version == c.Version
	}
	return present, holds
}

// List reads rows of one part.
func (r *Rows) List(ctx context.Context, query table.Query) (table.Page, error) {
	if err := r.fault(ctx); err != nil {
		return table.Page{}, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	page := table.Page{Version: r.version}
	for at, row := range r.rows {
		if at.table == query.Table && at.part == query.Part && at.key >= query.From && (query.To == "" || at.key < query.To) {
			page.Rows = append(page.Rows, row)
		}
	}
	slices.SortFunc(page.Rows, func(a, b table.Row) int { return strings.Compare(a.Key, b.Key) })
	if query.Limit > 0 && len(page.Rows) > query.Limit {
		page.Rows = page.Rows[:query.Limit]
		page.More = true
	}
	return page, nil
}

// Parts lists the parts of a table.
func (r *Rows) Parts(ctx context.Context, name string) ([]string, error) {
	if err := r.fault(ctx); err != nil {
		return nil, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	var parts []string
	for at := range r.rows {
		if at.table == name && !slices.Contains(parts, at.part) {
			parts = append(parts, at.part)
		}
	}
	slices.Sort(parts)
	return parts, nil
}

// Follow returns the changes of a table after a version.
func (r *Rows) Follow(ctx context.Context, name string, after uint64, wait clock.Span) (table.Changes, error) {
	timer := time.NewTimer(wait.Duration())
	defer timer.Stop()
	for {
		if err := r.fault(ctx); err != nil {
			return table.Changes{}, err
		}
		changes, more, err := r.since(name, after)
		if err != nil || len(changes.Rows) > 0 {
			return changes, err
		}
		select {
		case <-more:
		case <-timer.C:
			return changes, nil
		case <-ctx.Done():
			return table.Changes{}, table.ErrUnknown
		}
	}
}

func (r *Rows) since(name string, after uint64) (table.Changes, <-chan struct{}, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if after < r.oldest {
		return table.Changes{}, nil, table.ErrHistoryLost
	}
	changes := table.Changes{Version: r.version}
	for _, c := range r.history {
		if c.table == name && c.row.Version > after {
			changes.Rows = append(changes.Rows, c.row)
		}
	}
	return changes, r.changed, nil
}
