package conductor

import (
	"context"

	"marjoramstack/internal/acceptor"
	"marjoramstack/internal/mirror"
	"marjoramstack/internal/table"
)

func (t *tenure) startDuties() {
	t.duty(t.commitLoop)
	asking := &askers{
		tenure: t,
		stops:  map[string]context.CancelFunc{},
	}
	t.duty(asking.keep)
	for range orderWorkers {
		t.duty(t.orderLoop)
	}
	t.follow(acceptor.JobsTable, true, func(rows []table.Row) any { return jobRows{rows: rows} })
	t.follow(t.c.opts.WorkersTable, false, func(rows []table.Row) any { return fleet{rows: rows} })
}

func (t *tenure) duty(run func(context.Context)) {
	t.group.Add(1)
	go func() {
		defer t.group.Done()
		run(t.duties)
	}()
}

// follow keeps the loop told of a table.
func (t *tenure) follow(name string, parted bool, wrap func([]table.Row) any) {
	m := mirror.New(t.c.opts.Store, mirror.Options{
		Table:   name,
		Parted:  parted,
		Wait:    followWait,
		Gap:     followGap,
		Clock:   t.c.opts.Clock,
		Log:     t.c.opts.Log,
		Deliver: func(rows []table.Row) { t.put(wrap(rows)) },
		Loaded:  func() { t.put(loaded{table: name}) },
	})
	t.duty(m.Run)
}

// put hands an item to the loop, unless the tenure ends first.
func (t *tenure) put(item any) {
	if err := t.inbox.Put(t.duties, item); err != nil {
		return // the tenure is over, so nothing is decided any more
	}
}
