// Package mirror keeps a process's view of a table of the platform up to date.
//
// A Mirror reads the whole table once and then follows its changes. When the
// history that it follows is lost, it reads the table again and delivers what
// differs, so that no change is missed and none is delivered twice.
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
	"time"

	"marjoramstack/internal/table"
	"marjoramstack/pkg/clock"
)

const (
	callMargin = 500 * clock.Millisecond
	// readWithin bounds each call of a read of the whole table, not all of them
	// together: over a narrow link a large table takes long.
	readWithin = 2 * clock.Second
	pauseFirst = 50 * clock.Millisecond
	pauseMost  = 500 * clock.Millisecond
	// pageRows and readsAtOnce bound what is under way at a time, so that a narrow
	// link still carries the calls of others.
	pageRows    = 100
	readsAtOnce = 3
	// pageRowsNarrow is the same after a read has failed, for one call at a time.
	pageRowsNarrow = 50
)

// Options adjust a Mirror.
type Options struct {
	Table string
	// Parted tables have rows in several parts, others in the part "".
	Parted bool
	// Wait is how long the platform may wait for a change.
	Wait clock.Span
	// Gap is the least time between two calls, so that changes come in groups.
	Gap   clock.Span
	Clock clock.Clock
	Log   *slog.Logger
	// Deliver takes rows that were added, changed or removed. It is called from
	// one goroutine.
	Deliver func([]table.Row)
	// Loaded is called after the first read has been delivered.
	Loaded func()
}

type place struct{ part, key string }

// Mirror follows one table.
type Mirror struct {
	store   table.Store
	opts    Options
	known   map[place]uint64
	version uint64
	loaded  bool
	lost    bool
	// narrow tells that the last read of the whole table failed.
	narrow bool
	fresh  atomic.Int64
}

// New returns a Mirror that has read nothing.
func New(store table.Store, opts Options) *Mirror {
	return &Mirror{
		store: store,
		opts:  opts,
		known: map[place]uint64{},
	}
}

// Confirmed returns when the last call was sent that found the view up to date;
// 0 if none has.
func (m *Mirror) Confirmed() clock.Time { return clock.Time(m.fresh.Load()) }

// Run follows the table until ctx ends.
func (m *Mirror) Run(ctx context.Context) {
	pause := pauseFirst
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
			m.dependency(err)
			sleep(ctx, pause)
			pause = min(2*pause, pauseMost)
			continue
		}
		m.dependency(nil)
		m.fresh.Store(int64(sent))
		pause = pauseFirst
		reload = false
		if m.opts.Gap > 0 {
			sleep(ctx, m.opts.Gap)
		}
	}
}

func (m *Mirror) dependency(err error) {
	switch {
	case err != nil && !m.lost:
		m.lost = true
		m.opts.Log.Warn("table-lost", "table", m.opts.Table, "version", m.version, "error", err.Error())
	case err == nil && m.lost:
		m.lost = false
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
		if m.note(r) {
			rows = append(rows, r)
		}
	}
	m.version = max(m.version, changes.Version)
	if len(rows) > 0 {
		m.opts.Deliver(rows)
	}
	return nil
}

// note records a row and reports whether it is news.
func (m *Mirror) note(r table.Row) bool {
	at := place{
		part: r.Part,
		key:  r.Key,
	}
	known := m.known[at]
	if r.Removed {
		if known == 0 || known > r.Version {
			return false // it has been written anew since
		}
		delete(m.known, at)
		return true
	}
	if known >= r.Version {
		return false
	}
	m.known[at] = r.Version
	return true
}

// load reads the whole table and delivers what differs from the view. Changes are
// followed from before the parts were listed: a part that comes meanwhile, and is not
// read, is among them.
func (m *Mirror) load(ctx context.Context) error {
	began := m.opts.Clock.Now()
	before, err := m.newest(ctx)
	if err != nil {
		return err
	}
	parts, err := m.parts(ctx)
	if err != nil {
		return err
	}
	rows, version, err := m.read(ctx, parts)
	m.narrow = err != nil
	if err != nil {
		return err
	}
	m.opts.Log.Info("table-read", "table", m.opts.Table, "rows", len(rows), "version", version, "took-ms", int64(m.opts.Clock.Now().Sub(began)))
	m.merge(rows)
	m.version = min(version, before)
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
	ctx, cancel := context.WithTimeout(ctx, readWithin.Duration())
	defer cancel()
	return m.store.Parts(ctx, m.opts.Table)
}

// width returns how many parts are read at a time, and how many rows at once.
func (m *Mirror) width() (reads, rows int) {
	if m.narrow {
		return 1, pageRowsNarrow
	}
	return readsAtOnce, pageRows
}

// list reads one page.
func (m *Mirror) list(ctx context.Context, query table.Query) (table.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, readWithin.Duration())
	defer cancel()
	return m.store.List(ctx, query)
}

// read reads the parts, and returns the oldest version that a page is of.
func (m *Mirror) read(ctx context.Context, parts []string) ([]table.Row, uint64, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	reads := make([]partRead, len(parts))
	atOnce, limit := m.width()
	turns := make(chan struct{}, atOnce)
	var group sync.WaitGroup
	for i, part := range parts {
		group.Go(func() {
			turns <- struct{}{}
			reads[i] = m.readPart(ctx, part, limit)
			if reads[i].err != nil {
				cancel() // the others would be in vain
			}
			<-turns
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
		if oldest, err = m.newest(ctx); err != nil {
			return nil, 0, err
		}
	}
	return all, oldest, nil
}

// newest returns the version of the newest transaction, which a read of any part
// tells.
func (m *Mirror) newest(ctx context.Context) (uint64, error) {
	page, err := m.list(ctx, table.Query{
		Table: m.opts.Table,
		Limit: 1,
	})
	return page.Version, err
}

// partRead is what was read of a part, and the oldest version that a page is of.
type partRead struct {
	rows   []table.Row
	oldest uint64
	err    error
}

func (m *Mirror) readPart(ctx context.Context, part string, limit int) partRead {
	var read partRead
	from := ""
	for more := true; more; {
		page, err := m.list(ctx, table.Query{
			Table: m.opts.Table,
			Part:  part,
			From:  from,
			Limit: limit,
		})
		if err != nil {
			return partRead{err: err}
		}
		if read.oldest == 0 || page.Version < read.oldest {
			read.oldest = page.Version
		}
		for _, r := range page.Rows {
			r.Part = part
			read.rows = append(read.rows, r)
			from = r.Key + "\x00"
		}
		more = page.More && len(page.Rows) > 0
	}
	return read
}

func (m *Mirror) merge(rows []table.Row) {
	present := map[place]bool{}
	var news []table.Row
	for _, r := range rows {
		present[place{
			part: r.Part,
			key:  r.Key,
		}] = true
		if m.note(r) {
			news = append(news, r)
		}
	}
	for at := range m.known {
		if !present[at] {
			delete(m.known, at)
			news = append(news, table.Row{
				Part:    at.part,
				Key:     at.key,
				Removed: true,
			})
		}
	}
	if len(news) > 0 || !m.loaded {
		m.opts.Deliver(news)
	}
}

func sleep(ctx context.Context, span clock.Span) {
	timer := time.NewTimer(span.Duration())
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
