// Package mirror follows a table of the platform and delivers its changes.
//
// A Mirror reads the whole table once and then follows its changes. When the platform
// no longer has the history to follow, the Mirror reads the table again and delivers
// the differences, so that no change is missed and none is delivered twice.
//
// # Usage
//
//	m := mirror.New(store, mirror.Options{Table: "jobs", Deliver: deliver, ...})
//	m.Run(ctx) // until ctx ends
package mirror

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"sync/atomic"

	"marjoramstack/internal/table"
	"marjoramstack/pkg/clock"
)

const (
	callMargin = 500 * clock.Millisecond
	// readCallTimeout bounds each call of a read of the whole table, not the read
	// itself: over a link of low bandwidth, a large table takes long.
	readCallTimeout = 2 * clock.Second
	minBackoff      = 50 * clock.Millisecond
	maxBackoff      = 500 * clock.Millisecond
	// pageRows and maxConcurrentReads bound the data in flight, so that a link of low
	// bandwidth still carries the calls of others.
	pageRows           = 100
	maxConcurrentReads = 3
	// reducedPageRows replaces pageRows after a read has failed; pages are then read
	// one at a time.
	reducedPageRows = 50
)

// Options configure a Mirror.
type Options struct {
	Table string
	// Parted tables have rows in several parts. The rows of other tables are in the
	// part "".
	Parted bool
	// Wait is how long the platform may wait for a change before it answers.
	Wait clock.Span
	// Gap is the minimum time between two calls, so that changes are delivered in
	// batches.
	Gap   clock.Span
	Clock clock.Clock
	Log   *slog.Logger
	// Deliver receives the rows that were added, changed or removed. It is called from
	// one goroutine.
	Deliver func([]table.Row)
	// Loaded, if not nil, is called after the first read has been delivered.
	Loaded func()
	// Reached, if not nil, is called with the version up to which all changes have been
	// delivered, each time that it rises.
	Reached func(version uint64)
}

type rowKey struct{ part, key string }

// Mirror follows one table.
type Mirror struct {
	store       table.Store
	opts        Options
	versions    map[rowKey]uint64
	version     uint64
	loaded      bool
	unavailable bool
	// reduced is set while the last read of the whole table failed.
	reduced     bool
	confirmedAt atomic.Int64
}

// New returns a Mirror that has read nothing.
func New(store table.Store, opts Options) *Mirror {
	return &Mirror{
		store:    store,
		opts:     opts,
		versions: map[rowKey]uint64{},
	}
}

// Confirmed returns when the last successful call was sent, 0 if there was none. The
// rows delivered include all changes up to then.
func (m *Mirror) Confirmed() clock.Time { return clock.Time(m.confirmedAt.Load()) }

// Run follows the table until ctx ends.
func (m *Mirror) Run(ctx context.Context) {
	backoff := minBackoff
	reload := true
	for ctx.Err() == nil {
		sent := m.opts.Clock.Now()
		var err error
		if reload {
			err = m.load(ctx)
		} else {
			err = m.follow(ctx)
		}
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, table.ErrHistoryLost) {
			m.opts.Log.Info("history-lost", "table", m.opts.Table, "version", m.version)
			reload = true
			continue
		}
		if err != nil {
			m.logAvailability(err)
			sleep(ctx, backoff)
			backoff = min(2*backoff, maxBackoff)
			continue
		}
		m.logAvailability(nil)
		m.confirmedAt.Store(int64(sent))
		backoff = minBackoff
		reload = false
		if m.opts.Gap > 0 {
			sleep(ctx, m.opts.Gap)
		}
	}
}

// logAvailability logs when calls begin to fail and when they succeed again.
func (m *Mirror) logAvailability(err error) {
	switch {
	case err != nil && !m.unavailable:
		m.unavailable = true
		m.opts.Log.Warn("table-lost", "table", m.opts.Table, "version", m.version, "error", err.Error())
	case err == nil && m.unavailable:
		m.unavailable = false
		m.opts.Log.Info("table-regained", "table", m.opts.Table, "version", m.version)
	}
}

func (m *Mirror) follow(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, (m.opts.Wait + callMargin).Duration())
	defer cancel()
	changes, err := m.store.Follow(ctx, m.opts.Table, m.version, m.opts.Wait)
	if err != nil {
		return err
	}
	var rows []table.Row
	for _, r := range changes.Rows {
		if m.recordRow(r) {
			rows = append(rows, r)
		}
	}
	if len(rows) > 0 {
		m.opts.Deliver(rows)
	}
	m.reach(max(m.version, changes.Version))
	return nil
}

// reach sets the version up to which all changes have been delivered.
func (m *Mirror) reach(version uint64) {
	if m.opts.Reached != nil && version > m.version {
		m.opts.Reached(version)
	}
	m.version = version
}

// recordRow records the version of a row and reports whether the row is to be
// delivered, which it is not if it is outdated or was delivered before, or if another
// writer put it into a part that a read of the whole table does not cover.
func (m *Mirror) recordRow(r table.Row) bool {
	if !m.opts.Parted && r.Part != "" {
		return false
	}
	k := rowKey{
		part: r.Part,
		key:  r.Key,
	}
	version := m.versions[k]
	if r.Removed {
		if version == 0 || version > r.Version {
			return false // removed before, or written again after this removal
		}
		delete(m.versions, k)
		return true
	}
	if version >= r.Version {
		return false
	}
	m.versions[k] = r.Version
	return true
}

// load reads the whole table and delivers the differences to the rows delivered before.
// Changes are then followed from a version read before the parts were listed: a part
// that is created in the meantime, and is not read, is among them.
func (m *Mirror) load(ctx context.Context) error {
	began := m.opts.Clock.Now()
	before, err := m.newestVersion(ctx)
	if err != nil {
		return err
	}
	parts, err := m.parts(ctx)
	if err != nil {
		return err
	}
	rows, version, err := m.readParts(ctx, parts)
	m.reduced = err != nil
	if err != nil {
		return err
	}
	m.opts.Log.Info("table-read", "table", m.opts.Table, "rows", len(rows), "version", version, "took-ms", int64(m.opts.Clock.Now().Sub(began)))
	m.merge(rows)
	m.reach(min(version, before))
	if !m.loaded {
		m.loaded = true
		if m.opts.Loaded != nil {
			m.opts.Loaded()
		}
	}
	return nil
}

func (m *Mirror) parts(ctx context.Context) ([]string, error) {
	if !m.opts.Parted {
		return []string{""}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, readCallTimeout.Duration())
	defer cancel()
	return m.store.Parts(ctx, m.opts.Table)
}

// readLimits returns how many parts are read concurrently, and the rows per page.
func (m *Mirror) readLimits() (reads, rows int) {
	if m.reduced {
		return 1, reducedPageRows
	}
	return maxConcurrentReads, pageRows
}

// list reads one page within readCallTimeout.
func (m *Mirror) list(ctx context.Context, query table.Query) (table.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, readCallTimeout.Duration())
	defer cancel()
	return m.store.List(ctx, query)
}

// readParts reads the given parts and returns their rows, and the oldest of the
// versions at which their pages were read.
func (m *Mirror) readParts(ctx context.Context, parts []string) ([]table.Row, uint64, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	reads := make([]partResult, len(parts))
	concurrency, limit := m.readLimits()
	slots := make(chan struct{}, concurrency)
	var group sync.WaitGroup
	for i, part := range parts {
		group.Go(func() {
			slots <- struct{}{}
			reads[i] = m.readPart(ctx, part, limit)
			if reads[i].err != nil {
				cancel() // one failed part fails the whole read
			}
			<-slots
		})
	}
	group.Wait()
	var all []table.Row
	oldest := uint64(0)
	for _, r := range reads {
		if r.err != nil {
			return nil, 0, r.err
		}
		all = append(all, r.rows...)
		if oldest == 0 || r.oldest < oldest {
			oldest = r.oldest
		}
	}
	if len(parts) == 0 {
		var err error
		if oldest, err = m.newestVersion(ctx); err != nil {
			return nil, 0, err
		}
	}
	return all, oldest, nil
}

// newestVersion returns the version of the newest transaction, which a read of any part
// reports.
func (m *Mirror) newestVersion(ctx context.Context) (uint64, error) {
	page, err := m.list(ctx, table.Query{
		Table: m.opts.Table,
		Limit: 1,
	})
	return page.Version, err
}

// partResult holds the rows of a part, and the oldest of the versions at which its
// pages were read.
type partResult struct {
	rows   []table.Row
	oldest uint64
	err    error
}

func (m *Mirror) readPart(ctx context.Context, part string, limit int) partResult {
	var result partResult
	from := ""
	for more := true; more; {
		page, err := m.list(ctx, table.Query{
			Table: m.opts.Table,
			Part:  part,
			From:  from,
			Limit: limit,
		})
		if err != nil {
			return partResult{err: err}
		}
		if result.oldest == 0 || page.Version < result.oldest {
			result.oldest = page.Version
		}
		for _, r := range page.Rows {
			r.Part = part
			result.rows = append(result.rows, r)
			from = r.Key + "\x00"
		}
		more = page.More && len(page.Rows) > 0
	}
	return result
}

// merge delivers the differences between the rows of a complete read and those
// delivered before.
func (m *Mirror) merge(rows []table.Row) {
	present := map[rowKey]bool{}
	var changed []table.Row
	for _, r := range rows {
		present[rowKey{
			part: r.Part,
			key:  r.Key,
		}] = true
		if m.recordRow(r) {
			changed = append(changed, r)
		}
	}
	for k := range m.versions {
		if !present[k] {
			delete(m.versions, k)
			changed = append(changed, table.Row{
				Part:    k.part,
				Key:     k.key,
				Removed: true,
			})
		}
	}
	if len(changed) > 0 || !m.loaded {
		m.opts.Deliver(changed)
	}
}
