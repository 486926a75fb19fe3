package conductor

import (
	"context"

	"marjoramstack/internal/acceptor"
	"marjoramstack/internal/mirror"
	"marjoramstack/internal/table"
)

func (t *tenure) startLoops() {
	t.spawn(t.commitLoop)
	senders := &adviceSenders{
		tenure: t,
		stops:  map[string]context.CancelFunc{},
	}
	t.spawn(senders.run)
	t.follow(acceptor.JobsTable, true, func(rows []table.Row) any { return jobRows{rows: rows} }, func(version uint64) { t.post(jobsReached{version: version}) })
	t.follow(t.c.opts.WorkersTable, false, func(rows []table.Row) any { return workerRows{rows: rows} }, nil)
}

// spawn starts a goroutine that the end of the tenure cancels and waits for.
func (t *tenure) spawn(run func(context.Context)) {
	t.group.Add(1)
	go func() {
		defer t.group.Done()
		run(t.tenureCtx)
	}()
}

// follow mirrors a table and posts its rows to the loop, converted by wrap. It calls reached, if
// not nil, with the versions up to which all rows have been posted.
func (t *tenure) follow(name string, parted bool, wrap func([]table.Row) any, reached func(uint64)) {
	m := mirror.New(t.c.opts.Store, mirror.Options{
		Table:   name,
		Parted:  parted,
		Wait:    followWait,
		Gap:     minFollowGap,
		Clock:   t.c.opts.Clock,
		Log:     t.c.opts.Log,
		Deliver: func(rows []table.Row) { t.post(wrap(rows)) },
		Loaded:  func() { t.post(tableLoaded{table: name}) },
		Reached: reached,
	})
	t.spawn(m.Run)
}

// post sends an item to the loop, unless the tenure ends first.
func (t *tenure) post(item any) {
	if err := t.inbox.Put(t.tenureCtx, item); err != nil {
		return // the tenure has ended, and with it the loop that makes decisions
	}
}
