package owner

import (
	"marjoramstack/internal/follower"
	"marjoramstack/internal/platform"
	"marjoramstack/internal/scheduler"
	"marjoramstack/pkg/clock"
)

// commitConflict passes each conflicting row to the cell, adds the resulting
// events to the batch, and sends the batch again. The tenure ends if a conflict
// means that the lease is lost.
func (t *tenure) commitConflict(done commitResult) {
	job := done.job
	for _, row := range done.verdict.Conflicts {
		if !t.resolve(row, job) {
			t.endReason = "lease-taken"
			return
		}
	}
	added, _ := t.cell.Extend()
	job.events = append(job.events, added...)
	job.try++
	t.sendCommit(t.now(), job)
}

// resolve handles one conflicting row and reports whether the tenure can
// continue.
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
	// Only the owner of the destination cell deletes a handover row, so a change
	// means that this cell has another owner.
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
	t.applyConfig(t.now(), snap)
	return snap.State().RowVersion == row.Version || snap.Version() > state.Version
}

// resolveJob handles a job row that differs from what the batch expected. Either
// the job was added elsewhere, or the job of an arriving task was cancelled in
// the meantime.
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
