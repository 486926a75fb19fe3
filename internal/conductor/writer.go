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
	retryDelay = 50 * clock.Millisecond
	// minHedgeDelay is the minimum time after which an unanswered write is sent a
	// second time, without cancelling the first. tryTimeout is how long both are waited
	// for.
	minHedgeDelay = 200 * clock.Millisecond
	tryTimeout    = 2500 * clock.Millisecond
)

// headTxn returns a write of the owner: it makes the given changes and replaces the
// cell row, provided that the row has the given version.
func headTxn(head acceptor.Head, version uint64, changes table.Txn) table.Txn {
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
		Puts: append(changes.Puts, table.Put{
			Table: acceptor.CellTable,
			Key:   acceptor.HeadKey,
			Value: value,
		}),
		Removes: changes.Removes,
	}
}

// write sends a write of the owner until its outcome is known, for at most maxWait if
// that is not 0. It returns the new version of the cell row, or the reason why the cell
// is lost. A write whose outcome is unknown is sent again: if it had been applied, the
// conflict shows the row that this owner wrote.
func (c *Conductor) write(ctx context.Context, txn table.Txn, head acceptor.Head, maxWait clock.Span) (uint64, string) {
	began := c.opts.Clock.Now()
	for {
		verdict, err := table.HedgeAdaptive(ctx, &c.writeLatency, c.opts.Clock, minHedgeDelay, tryTimeout, func(ctx context.Context) (table.Verdict, error) {
			return c.opts.Store.Commit(ctx, txn)
		})
		switch {
		case ctx.Err() != nil:
			return 0, "shutting down"
		case err == nil && verdict.Committed:
			return verdict.Version, ""
		case err == nil:
			return c.resolveConflict(verdict, head)
		}
		sleep(ctx, retryDelay)
		if maxWait != 0 && c.opts.Clock.Now().Sub(began) > maxWait {
			return 0, "the platform's table did not answer: " + err.Error()
		}
	}
}

// resolveConflict distinguishes a write that was applied, but whose answer was lost,
// from one that another owner prevented.
func (c *Conductor) resolveConflict(verdict table.Verdict, head acceptor.Head) (uint64, string) {
	for _, row := range verdict.Conflicts {
		if row.Key != acceptor.HeadKey {
			continue
		}
		current, err := acceptor.DecodeHead(row)
		if err != nil {
			return 0, "the cell row cannot be decoded"
		}
		if current.Incarnation == head.Incarnation && current.Epoch == head.Epoch && current.Serial == head.Serial {
			return row.Version, ""
		}
		return 0, "the cell is owned by " + current.VM
	}
	return 0, "the cell row does not exist"
}

// beginWrite hands the next write to commitLoop, if one is due.
func (t *tenure) beginWrite(now clock.Time) {
	if t.writing || t.endReason != "" {
		return
	}
	since := now.Sub(t.lastWrite)
	dirty := t.planner.Dirty() && since >= minCommitGap
	if !dirty && since < renewInterval && !(t.stopReason != "" && t.planner.Dirty()) {
		return
	}
	txn, number := t.encodeChanges()
	if now.Sub(t.lastLessons) > lessonsInterval && t.ready() {
		t.lastLessons = now
		txn.Puts = append(txn.Puts, newPut(acceptor.CellTable, acceptor.LessonsKey, t.planner.Lessons()))
	}
	t.head.Serial++
	t.head.Overlap = max(t.planner.Takeover().Sub(now), 0)
	t.head.Counted = t.ready()
	t.head.Waiting = t.planner.Waiting()
	t.head.Advised = t.planner.NeedsAdvice()
	t.writing = true
	t.batch = number
	t.lastWrite = now
	t.commits.Offer(headTxn(t.head, t.version, txn))
}

// encodeChanges encodes the planner's next batch of changes to be made durable, and
// returns its number, 0 for none.
func (t *tenure) encodeChanges() (table.Txn, uint64) {
	var txn table.Txn
	batch, ok := t.planner.TakeChanges(maxBatchRows)
	if !ok {
		return txn, 0
	}
	for _, change := range batch.Changes {
		txn.Puts = append(txn.Puts, newPut(acceptor.ProgressTable, change.Job, change.Progress))
	}
	for _, w := range batch.Used {
		txn.Puts = append(txn.Puts, newPut(acceptor.UsedTable, w.Worker.ID, acceptor.UsedRow(w)))
	}
	for _, id := range batch.Unused {
		txn.Removes = append(txn.Removes, table.Remove{
			Table: acceptor.UsedTable,
			Key:   id,
		})
	}
	return txn, batch.Number
}

func newPut(name, key string, value any) table.Put {
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

// commitLoop carries out one write at a time. It continues after the lease has expired:
// as long as no other VM has taken the cell, the next write renews the lease.
func (t *tenure) commitLoop(ctx context.Context) {
	for {
		select {
		case txn := <-t.commits.Out():
			t.post(t.commit(ctx, txn))
		case <-ctx.Done():
			return
		}
	}
}

func (t *tenure) commit(ctx context.Context, txn table.Txn) writeDone {
	sent := t.now()
	var head acceptor.Head
	if err := json.Unmarshal(txn.Puts[len(txn.Puts)-1].Value, &head); err != nil {
		panic(err) // it was encoded by this process
	}
	version, lostReason := t.c.write(ctx, txn, head, 0)
	return writeDone{
		sent:       sent,
		version:    version,
		lostReason: lostReason,
	}
}

func (t *tenure) handleWriteDone(now clock.Time, w writeDone) {
	t.writing = false
	if w.lostReason != "" {
		t.endReason = w.lostReason
		return
	}
	t.version = w.version
	if t.inheritance.observe(w.sent, w.version) {
		t.c.opts.Log.Info("inheritance-bound", "epoch", t.head.Epoch, "version", w.version, "age-ms", int64(now.Sub(t.planner.Takeover())))
	}
	t.reportJobsRead(now)
	t.confirmedAt.Store(int64(w.sent))
	t.c.observe(t.head, w.version, w.sent)
	t.c.setConfirmed(w.sent)
	t.c.opts.Scope.Timer("write").Record(now.Sub(w.sent).Duration())
	if t.batch != 0 {
		t.planner.Handle(now, planner.Committed{Number: t.batch})
	}
}

// release gives the cell up, so that another VM can take it at once.
func (t *tenure) release() {
	if t.endReason != "" {
		return
	}
	t.endReason = t.stopReason
	if t.writing {
		return // the outcome of this write is unknown, and so is the row's version
	}
	head := t.head
	head.Serial++
	head.Overlap = max(t.planner.Takeover().Sub(t.now()), 0)
	head.Released = true
	ctx, cancel := context.WithTimeout(t.tenureCtx, callTimeout.Duration())
	defer cancel()
	if _, lostReason := t.c.write(ctx, headTxn(head, t.version, table.Txn{}), head, callTimeout); lostReason != "" {
		t.c.opts.Log.Warn("cell-not-released", "epoch", head.Epoch, "reason", lostReason)
	}
}
