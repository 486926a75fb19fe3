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

// ErrUnavailable is returned by Rows while it is down. The call had no effect.
var ErrUnavailable = errors.New("the table is away")

// Rows is an in-memory table.Store that can be told to fail. It is safe for
// concurrent use.
type Rows struct {
	mu            sync.Mutex
	changed       chan struct{}
	version       uint64
	rows          map[rowKey]table.Row
	history       []rowChange
	discardedUpTo uint64 // history lacks the changes up to this version

	down          bool
	silent        bool
	answersToLose int
}

type rowKey struct{ table, part, key string }

type rowChange struct {
	table string
	row   table.Row
}

var _ table.Store = (*Rows)(nil)

// NewRows returns an empty store without faults.
func NewRows() *Rows {
	return &Rows{
		changed: make(chan struct{}),
		rows:    map[rowKey]table.Row{},
	}
}

// SetDown makes every call fail with ErrUnavailable while down is true.
func (r *Rows) SetDown(down bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.down = down
}

// SetSilent makes every call block until its context ends, then fail with
// table.ErrUnknown, while silent is true.
func (r *Rows) SetSilent(silent bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.silent = silent
}

// LoseAnswers makes the next n transactions lose their answer: they are carried
// out, and Commit blocks until its context ends and returns table.ErrUnknown.
func (r *Rows) LoseAnswers(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.answersToLose = n
}

// ForgetHistory discards the history of changes, so that followers that lack a
// change must read the table again.
func (r *Rows) ForgetHistory() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.discardedUpTo = r.version
	r.history = nil
	r.notifyFollowers()
}

// Write puts a row without a version check or faults, to simulate another writer.
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
	r.notifyFollowers()
}

// Remove deletes a row without a version check or faults, to simulate another
// writer.
func (r *Rows) Remove(name, part, key string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.version++
	r.drop(name, part, key)
	r.notifyFollowers()
}

func (r *Rows) notifyFollowers() {
	close(r.changed)
	r.changed = make(chan struct{})
}

func (r *Rows) put(name string, row table.Row) {
	r.rows[rowKey{
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
	k := rowKey{
		table: name,
		part:  part,
		key:   key,
	}
	if _, ok := r.rows[k]; !ok {
		return
	}
	delete(r.rows, k)
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

// injectedError returns the error of the fault that is set, if any. While the store
// is silent, it blocks until ctx ends.
func (r *Rows) injectedError(ctx context.Context) error {
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

// Commit implements table.Store.
func (r *Rows) Commit(ctx context.Context, txn table.Txn) (table.Verdict, error) {
	if err := r.injectedError(ctx); err != nil {
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
	lost = r.answersToLose > 0
	if lost {
		r.answersToLose--
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
	r.notifyFollowers()
	return table.Verdict{
		Committed: true,
		Version:   r.version,
	}, lost
}

// check returns the existing rows that a transaction's checks name, and whether all
// of the checks pass.
func (r *Rows) check(txn table.Txn) ([]table.Row, bool) {
	var present []table.Row
	allMatch := true
	for _, c := range txn.Checks {
		row, ok := r.rows[rowKey{
			table: c.Table,
			part:  txn.Part,
			key:   c.Key,
		}]
		if ok {
			present = append(present, row)
		}
		allMatch = allMatch && row.Version == c.Version
	}
	return present, allMatch
}

// List implements table.Store.
func (r *Rows) List(ctx context.Context, query table.Query) (table.Page, error) {
	if err := r.injectedError(ctx); err != nil {
		return table.Page{}, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	page := table.Page{Version: r.version}
	for k, row := range r.rows {
		if k.table == query.Table && k.part == query.Part && k.key >= query.From && (query.To == "" || k.key < query.To) {
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

// Parts implements table.Store. The result is sorted.
func (r *Rows) Parts(ctx context.Context, name string) ([]string, error) {
	if err := r.injectedError(ctx); err != nil {
		return nil, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	var parts []string
	for k := range r.rows {
		if k.table == name && !slices.Contains(parts, k.part) {
			parts = append(parts, k.part)
		}
	}
	slices.Sort(parts)
	return parts, nil
}

// Follow implements table.Store. It waits for a change for up to wait.
func (r *Rows) Follow(ctx context.Context, name string, after uint64, wait clock.Span) (table.Changes, error) {
	timer := time.NewTimer(wait.Duration())
	defer timer.Stop()
	for {
		if err := r.injectedError(ctx); err != nil {
			return table.Changes{}, err
		}
		changes, changed, err := r.since(name, after)
		if err != nil || len(changes.Rows) > 0 {
			return changes, err
		}
		select {
		case <-changed:
		case <-timer.C:
			return changes, nil
		case <-ctx.Done():
			return table.Changes{}, table.ErrUnknown
		}
	}
}

// since returns the changes of a table after a version, and a channel that is closed
// at the next change of any table.
func (r *Rows) since(name string, after uint64) (table.Changes, <-chan struct{}, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if after < r.discardedUpTo {
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
