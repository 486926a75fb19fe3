package owner

import (
	"marjoramstack/internal/follower"
	"marjoramstack/internal/platform"
	"marjoramstack/internal/scheduler"
	"marjoramstack/pkg/clock"
)

// commitConflict finds out which check failed, has the cell decide again where
// it must, and sends the batch with what that added.
func (t *tenure) commitConflict(done commitDone) {
	job := done.job
	for _, row := range done.verdict.Conflicts {
		if !t.resolve(row, job) {
			t.ended = "lease-taken"
			return
		}
	}
	added, _ := t.cell.Extend()
	job.events = append(job.events, added...)
	job.try++
	t.sendCommit(t.now(), job)
}

// resolve reports whether the tenure survives the conflict.
func (t *tenure) resolve(row platform.Row, job commitJob) bool {
	now := t.now()
	switch {
	case row.Key == HeadPrefix+t.owner.opts.Cell:
		return false
	case row.Key == follower.HeadKey:
		return t.resolveConfig(row)
	case len(row.Key) > len(JobPrefix) && row.Key[:len(JobPrefix)] == JobPrefix:
		t.resolveJob(now, row, job)
		return true
	}
	// A hand-over is taken by its cell alone, so its row can only have changed
	// under another owner of this cell.
	return false
}

func (t *tenure) resolveConfig(row platform.Row) bool {
	state, err := follower.FromRow(row)
	if err != nil {
		return false
	}
	if _, err := t.owner.opts.Follower.Offer(state); err != nil {
		t.owner.opts.Log.Error("configuration-refused", "version", state.Version, "error", err.Error())
		return false
	}
	snap := t.owner.opts.Follower.Current()
	t.configure(t.now(), snap)
	return snap.State().RowVersion == row.Version || snap.Version() > state.Version
}

// resolveJob handles a job row that is not as the batch expected: the job was
// added elsewhere, or a job whose task arrives was cancelled meanwhile.
func (t *tenure) resolveJob(now clock.Time, row platform.Row, job commitJob) {
	id := row.Key[len(JobPrefix):]
	for key, a := range job.arrivals {
		if a.Taken.Spec.ID == id {
			t.cell.RefreshArrival(key, row.Version)
			if len(cancelledIn([]platform.Row{row})) > 0 {
				t.cell.Handle(now, scheduler.Cancelled{Jobs: []string{id}})
			}
			return
		}
	}
	t.cell.Handle(now, scheduler.Withdrawn{Job: id})
}
