package owner

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"

	"marjoramstack/internal/follower"
	"marjoramstack/internal/platform"
	"marjoramstack/internal/scheduler"
	"marjoramstack/pkg/clock"
	"marjoramstack/pkg/result"
)

const commitTimeout = 10 * clock.Second

// commitJob describes one transaction. It holds the events of a batch, or none if
// it only renews the lease. If snapshot is set, it replaces all earlier batches.
type commitJob struct {
	seq      uint64
	try      int
	events   []scheduler.Stamped
	snapshot []byte
	config   platform.Version
	arrivals map[string]scheduler.Arrived
	head     Head
	headRow  platform.Version
}

// commitResult is the outcome of a commitJob. sent is when the transaction was
// first sent, before the retries within Platform.Commit.
type commitResult struct {
	job     commitJob
	head    Head
	verdict platform.Verdict
	sent    clock.Time
	err     error
}

// startCommit passes the pending events, or a lease renewal that is due, to the
// committer. Only one commit is in flight at a time. Events decided in the
// meantime go into the next one.
func (t *tenure) startCommit(now clock.Time) {
	if t.inFlight != nil || t.endReason != "" {
		return
	}
	since := now.Sub(t.lastCommit)
	if !(t.cell.Waiting() && since >= commitInterval) && since < renewInterval {
		return
	}
	batch, ok := t.cell.TakeBatch()
	job := commitJob{seq: t.head.Seq}
	if ok {
		job.seq = batch.Seq
		job.events = batch.Events
	}
	t.sendCommit(now, job)
}

func (t *tenure) sendCommit(now clock.Time, job commitJob) {
	job.head = t.head
	job.headRow = t.headRow
	job.config = t.config.State().RowVersion
	job.arrivals = t.arrivalsOf(job.events)
	job.snapshot = nil
	if len(job.events) > 0 && len(t.head.Batches) >= snapshotAfterBatches {
		job.snapshot = t.snapshot()
	}
	t.lastCommit = now
	t.inFlight = &job
	t.commits.Offer(job)
}

// snapshot encodes the cell. It returns nil if there are pending events, as the
// snapshot would contain their effects before they are committed.
func (t *tenure) snapshot() []byte {
	if t.cell.Waiting() {
		return nil
	}
	data, err := t.cell.Snapshot()
	if err != nil {
		t.owner.opts.Log.Error("snapshot-failed", "cell", t.owner.opts.Cell, "error", err.Error())
		return nil
	}
	return data
}

// arrivalsOf returns the handovers that the events of the batch accept, by row
// key.
func (t *tenure) arrivalsOf(events []scheduler.Stamped) map[string]scheduler.Arrived {
	arrivals := map[string]scheduler.Arrived{}
	for _, s := range events {
		taken, ok := s.Event.(scheduler.TaskTaken)
		if !ok {
			continue
		}
		key := handoverKey(t.owner.opts.Cell, scheduler.TaskID{Job: taken.Spec.ID, Index: taken.Index})
		if a, ok := t.cell.Arrivals()[key]; ok {
			arrivals[key] = a
		}
	}
	return arrivals
}

func (t *tenure) commitLoop(ctx context.Context) {
	for {
		select {
		case job := <-t.commits.Out():
			if t.inbox.Put(ctx, t.commitOne(ctx, job)) != nil {
				return
			}
		case <-ctx.Done():
			return
		}
	}
}

// commitOne writes the batch as an object and then updates the head row to refer
// to it, in one transaction.
func (t *tenure) commitOne(ctx context.Context, job commitJob) commitResult {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout.Duration())
	defer cancel()
	head, err := t.writeObjects(ctx, job)
	if err != nil {
		return commitResult{
			job: job,
			err: err,
		}
	}
	sent := t.now()
	verdict, err := t.owner.opts.Platform.Commit(ctx, t.txn(job, head))
	return commitResult{
		job:     job,
		head:    head,
		verdict: verdict,
		sent:    sent,
		err:     err,
	}
}

func (t *tenure) writeObjects(ctx context.Context, job commitJob) (Head, error) {
	head := job.head
	head.Seq = job.seq
	head.Txn = fmt.Sprintf("%s-%d-%d-%d-%d", t.owner.opts.Cell, head.Epoch, job.seq, job.headRow, job.try)
	if len(job.events) == 0 {
		return head, nil
	}
	name := fmt.Sprintf("cell-%s-%d-%d-%d", t.owner.opts.Cell, head.Epoch, job.seq, job.try)
	data := job.snapshot
	if data == nil {
		encoded, err := json.Marshal(job.events)
		if err != nil {
			return Head{}, Error.Wrap(err)
		}
		data = encoded
		head.Batches = append(slices.Clone(head.Batches), name)
	} else {
		head.Snapshot = name
		head.Batches = nil
	}
	for {
		err := t.owner.opts.Platform.PutObject(ctx, name, data)
		if err == nil {
			return head, nil
		}
		sleep(ctx, retryDelay)
		if ctx.Err() != nil {
			return Head{}, err
		}
	}
}

// txn builds the transaction. It commits only if this owner still has the lease
// and the configuration has not changed since the events were decided.
func (t *tenure) txn(job commitJob, head Head) platform.Txn {
	key := HeadPrefix + t.owner.opts.Cell
	txn := platform.Txn{
		ID: head.Txn,
		Checks: []platform.Check{{
			Key:     key,
			Version: job.headRow,
		}},
		Puts: []platform.Row{rowOf(key, head)},
	}
	if len(job.events) > 0 {
		txn.Checks = append(txn.Checks, platform.Check{
			Key:     follower.HeadKey,
			Version: job.config,
		})
	}
	t.addJobRows(&txn, job, head)
	for key, a := range job.arrivals {
		txn.Checks = append(txn.Checks,
			platform.Check{
				Key:     key,
				Version: a.Row,
			},
			platform.Check{
				Key:     JobPrefix + a.Taken.Spec.ID,
				Version: a.JobRow,
			})
		txn.Deletes = append(txn.Deletes, key)
	}
	return txn
}

// addJobRows adds the job rows, which keep job identifiers unique, and the
// handover rows, which move tasks to other cells.
func (t *tenure) addJobRows(txn *platform.Txn, job commitJob, head Head) {
	dropped := map[string]bool{}
	for _, s := range job.events {
		if ev, ok := s.Event.(scheduler.JobDropped); ok {
			dropped[ev.Job] = true
		}
	}
	for _, s := range job.events {
		switch ev := s.Event.(type) {
		case scheduler.JobAdded:
			if !dropped[ev.Spec.ID] {
				t.addJobRow(txn, ev, head)
			}
		case scheduler.TaskMoved:
			if !dropped[ev.Task.Job] {
				txn.Puts = append(txn.Puts, rowOf(handoverKey(ev.To, ev.Task), ev.Taken))
			}
		case scheduler.JobForgotten:
			if ev.DropRow {
				txn.Deletes = append(txn.Deletes, JobPrefix+ev.Job)
			}
		}
	}
}

func (t *tenure) addJobRow(txn *platform.Txn, ev scheduler.JobAdded, head Head) {
	key := JobPrefix + ev.Spec.ID
	txn.Checks = append(txn.Checks, platform.Check{Key: key})
	txn.Puts = append(txn.Puts, rowOf(key, JobRow{
		Txn:    head.Txn,
		Digest: ev.Spec.Digest(),
		Cell:   t.owner.opts.Cell,
	}))
}

// handleCommit processes the outcome of a commit.
func (t *tenure) handleCommit(done commitResult) {
	t.inFlight = nil
	switch {
	case done.err != nil:
		t.commitFailed(done)
	case done.verdict.Committed:
		t.commitSucceeded(done)
	default:
		t.commitConflict(done)
	}
}

// commitFailed sends the same batch again. The outcome of the failed call is
// unknown, and the retry, with the same transaction identifier, determines it.
func (t *tenure) commitFailed(done commitResult) {
	t.owner.opts.Log.Warn("commit-retried", "cell", t.owner.opts.Cell, "seq", done.job.seq, "error", done.err.Error())
	t.inFlight = &done.job
	t.commits.Offer(done.job)
}

func (t *tenure) commitSucceeded(done commitResult) {
	old := t.head
	t.head = done.head
	t.headRow = done.verdict.Version
	t.cell.Handle(t.now(), scheduler.Committed{
		Seq:  done.job.seq,
		Sent: done.sent,
	})
	for key := range done.job.arrivals {
		t.cell.ForgetArrival(key)
	}
	t.answerWaiters(done.job)
	if t.head.Snapshot != old.Snapshot {
		go t.deleteObjects(old)
	}
}

func (t *tenure) answerWaiters(job commitJob) {
	for _, s := range job.events {
		switch ev := s.Event.(type) {
		case scheduler.JobAdded:
			t.answerWaiter(ev.Spec.ID, nil)
		case scheduler.JobDropped:
			t.answerWaiter(ev.Job, result.New(result.JobExists, "job %q exists", ev.Job))
		}
	}
}

func (t *tenure) answerWaiter(id string, err error) {
	reply := t.waiters[id]
	if reply == nil {
		return
	}
	if err == nil && !t.cell.Holds(id) {
		return // the same batch drops the job
	}
	delete(t.waiters, id)
	reply <- err
}

// deleteObjects deletes the snapshot and batches that a newer snapshot has
// replaced. Objects that remain after a failure are harmless.
func (t *tenure) deleteObjects(old Head) {
	ctx, cancel := context.WithTimeout(context.Background(), commitTimeout.Duration())
	defer cancel()
	names := old.Batches
	if old.Snapshot != "" {
		names = append(slices.Clone(names), old.Snapshot)
	}
	for _, name := range names {
		if t.owner.opts.Platform.DeleteObject(ctx, name) != nil {
			return
		}
	}
}

// release gives up the lease at a planned end of the tenure, so that another
// entry VM can take over the cell at once.
func (t *tenure) release() {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout.Duration())
	defer cancel()
	head := t.head
	head.Owner = ""
	head.Txn = fmt.Sprintf("release-%s-%d", t.owner.opts.Cell, head.Epoch)
	key := HeadPrefix + t.owner.opts.Cell
	t.owner.opts.Platform.Commit(ctx, platform.Txn{
		ID: head.Txn,
		Checks: []platform.Check{{
			Key:     key,
			Version: t.headRow,
		}},
		Puts: []platform.Row{rowOf(key, head)},
	})
}
