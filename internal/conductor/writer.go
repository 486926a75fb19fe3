package conductor

import (
	"context"
	"encoding/json"

	"marjoramstack/internal/acceptor"
	"marjoramstack/internal/planner"
	"marjoramstack/internal/table"
	"marjoramstack/pkg/clock"
)

const (
	retryPause = 50 * clock.Millisecond
	// tryFirst is how long a write may take before it is sent again beside the
	// first, and tryMost how long both are waited for.
	tryFirst = 200 * clock.Millisecond
	tryMost  = 2500 * clock.Millisecond
)

// headTxn is a write of the owner: it replaces the cell's row of a version.
func headTxn(head acceptor.Head, version uint64, more table.Txn) table.Txn {
	value, err := json.Marshal(head)
	if err != nil {
		panic(err) // strings and numbers can always be encoded
	}
	return table.Txn{
		Part: acceptor.CellPart,
		Checks: []table.Check{{
			Table:   acceptor.CellTable,
			Key:     acceptor.HeadKey,
			Version: version,
		}},
		Puts: append(more.Puts, table.Put{
			Table: acceptor.CellTable,
			Key:   acceptor.HeadKey,
			Value: value,
		}),
		Removes: more.Removes,
	}
}

// write sends a write of the owner until its outcome is known, for at most the
// span if that is not 0. It returns the row's new version, or why the cell is
// lost. A write that may have been done is sent again: if it was done, the
// conflict shows this owner's own row.
func (c *Conductor) write(ctx context.Context, txn table.Txn, head acceptor.Head, most clock.Span) (uint64, string) {
	began := c.opts.Clock.Now()
	for {
		verdict, err := table.HedgeAdaptive(ctx, &c.writes, c.opts.Clock, tryFirst, tryMost, func(ctx context.Context) (table.Verdict, error) {
			return c.opts.Store.Commit(ctx, txn)
		})
		switch {
		case ctx.Err() != nil:
			return 0, "shutting down"
		case err == nil && verdict.Committed:
			return verdict.Version, ""
		case err == nil:
			return c.ownConflict(verdict, head)
		}
		sleep(ctx, retryPause)
		if most != 0 && c.opts.Clock.Now().Sub(began) > most {
			return 0, "the platform's table did not answer: " + err.Error()
		}
	}
}

// ownConflict tells a write that was done before its answer was lost from one
// that another owner has prevented.
func (c *Conductor) ownConflict(verdict table.Verdict, head acceptor.Head) (uint64, string) {
	for _, row := range verdict.Conflicts {
		if row.Key != acceptor.HeadKey {
			continue
		}
		present, err := acceptor.DecodeHead(row)
		if err != nil {
			return 0, "the cell's row cannot be read"
		}
		if present.Incarnation == head.Incarnation && present.Epoch == head.Epoch && present.Serial == head.Serial {
			return row.Version, ""
		}
		return 0, "the cell is owned by " + present.VM
	}
	return 0, "the cell's row is gone"
}

// beginWrite hands the next write to the committer, if one is due.
func (t *tenure) beginWrite(now clock.Time) {
	if t.writing || t.ended != "" {
		return
	}
	since := now.Sub(t.wrote)
	dirty := t.planner.Dirty() && since >= commitGap
	if !dirty && since < renewEvery && !(t.stopping != "" && t.planner.Dirty()) {
		return
	}
	txn, number := t.changes()
	if now.Sub(t.taught) > teachEvery && t.ready() {
		t.taught = now
		txn.Puts = append(txn.Puts, put(acceptor.CellTable, acceptor.LessonsKey, t.planner.Lessons()))
	}
	t.head.Serial++
	t.head.Overlap = max(t.planner.Takeover().Sub(now), 0)
	t.head.Counted = t.ready()
	t.head.Waiting = t.planner.Waiting()
	t.writing = true
	t.batch = number
	t.wrote = now
	t.commits.Offer(headTxn(t.head, t.version, txn))
}

// changes encodes what is to be made durable.
func (t *tenure) changes() (table.Txn, uint64) {
	var txn table.Txn
	batch, ok := t.planner.TakeChanges(batchRows)
	if !ok {
		return txn, 0
	}
	for _, change := range batch.Changes {
		txn.Puts = append(txn.Puts, put(acceptor.ProgressTable, change.Job, change.Progress))
	}
	for _, w := range batch.Used {
		txn.Puts = append(txn.Puts, put(acceptor.UsedTable, w.Worker.ID, acceptor.UsedRow(w)))
	}
	for _, id := range batch.Unused {
		txn.Removes = append(txn.Removes, table.Remove{
			Table: acceptor.UsedTable,
			Key:   id,
		})
	}
	return txn, batch.Number
}

func put(name, key string, value any) table.Put {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err) // strings and numbers can always be encoded
	}
	return table.Put{
		Table: name,
		Key:   key,
		Value: encoded,
	}
}

// commitLoop carries out one write at a time. It goes on when the lease has run
// out: as long as nobody has taken the cell, the next write renews it.
func (t *tenure) commitLoop(ctx context.Context) {
	for {
		select {
		case txn := <-t.commits.Out():
			t.put(t.commit(ctx, txn))
		case <-ctx.Done():
			return
		}
	}
}

func (t *tenure) commit(ctx context.Context, txn table.Txn) written {
	sent := t.now()
	var head acceptor.Head
	if err := json.Unmarshal(txn.Puts[len(txn.Puts)-1].Value, &head); err != nil {
		panic(err) // it was encoded by this process
	}
	version, lost := t.c.write(ctx, txn, head, 0)
	return written{
		sent:    sent,
		version: version,
		lost:    lost,
	}
}

func (t *tenure) takeWritten(now clock.Time, w written) {
	t.writing = false
	if w.lost != "" {
		t.ended = w.lost
		return
	}
	t.version = w.version
	t.confirmed.Store(int64(w.sent))
	t.c.see(t.head, w.version, w.sent)
	t.c.confirm(w.sent)
	t.c.opts.Scope.Timer("write").Record(now.Sub(w.sent).Duration())
	if t.batch != 0 {
		t.planner.Handle(now, planner.Committed{Number: t.batch})
	}
}

// release gives the cell up, so that another VM takes it at once.
func (t *tenure) release() {
	if t.ended != "" {
		return
	}
	t.ended = t.stopping
	if t.writing {
		return // its outcome is not known, so the row's version isn't either
	}
	head := t.head
	head.Serial++
	head.Overlap = max(t.planner.Takeover().Sub(t.now()), 0)
	head.Released = true
	ctx, cancel := context.WithTimeout(t.duties, callWithin.Duration())
	defer cancel()
	if _, lost := t.c.write(ctx, headTxn(head, t.version, table.Txn{}), head, callWithin); lost != "" {
		t.c.opts.Log.Warn("cell-not-released", "epoch", head.Epoch, "reason", lost)
	}
}
