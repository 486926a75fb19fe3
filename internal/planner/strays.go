package planner

import (
	"slices"

	"marjoramstack/pkg/clock"
)

// unclaimedEnd is a reported end of an attempt of a job that this owner does not know
// yet, because another owner learned of the job first.
type unclaimedEnd struct {
	worker *worker
	ended  Ended
}

// heldEnd is an end that is not acknowledged before its job is known. Once all jobs have been
// read, a job that is not known no longer exists.
type heldEnd struct {
	number uint64
	task   TaskID
}

// readJobs notes that all jobs that an earlier owner can have started are known.
func (p *Planner) readJobs() {
	p.jobsRead = true
	clear(p.unclaimedEnds)
}

// holdUnclaimed keeps an end of an unknown job until the job is known, or certain not to
// exist.
func (p *Planner) holdUnclaimed(w *worker, e Ended) {
	if p.jobsRead {
		return
	}
	p.unclaimedEnds[e.Task.Job] = append(p.unclaimedEnds[e.Task.Job], unclaimedEnd{
		worker: w,
		ended:  e,
	})
	w.unclaimedEnds = append(w.unclaimedEnds, heldEnd{
		number: e.Number,
		task:   e.Task,
	})
}

// acknowledgeable returns the number of the latest end on a worker that may be acknowledged
// once all changes are durable. An unclaimed end is in no change, and ends are acknowledged
// in order.
func (p *Planner) acknowledgeable(w *worker) uint64 {
	w.unclaimedEnds = slices.DeleteFunc(w.unclaimedEnds, func(h heldEnd) bool {
		return p.jobsRead || p.jobs[h.task.Job] != nil
	})
	if len(w.unclaimedEnds) == 0 {
		return w.appliedEnd
	}
	return w.unclaimedEnds[0].number - 1
}

// claimUnknown assigns to a new job the runs and ends that workers reported before it
// was known.
func (p *Planner) claimUnknown(now clock.Time, j *job) {
	for _, w := range p.fleet {
		if w.unknownRuns == 0 {
			continue
		}
		for _, r := range w.sortedRuns() {
			if r.task == nil && r.key.task.Job == j.spec.ID {
				p.bindRun(r)
			}
		}
	}
	for _, s := range p.unclaimedEnds[j.spec.ID] {
		if t := p.findTask(s.ended.Task); t != nil {
			p.applyUnknownEnd(now, t, s.worker, s.ended)
		}
	}
	delete(p.unclaimedEnds, j.spec.ID)
}

// applyUnknownEnd handles the end of an attempt that this owner did not know as running:
// an earlier owner started it, or it already counted as ended. Only failures are
// logged, since they count against the limit of attempts; the other ends are too many
// when an owner takes over.
func (p *Planner) applyUnknownEnd(now clock.Time, t *task, w *worker, e Ended) {
	t.job().markStarted(p)
	if e.How == EndFailed && !t.done && !t.job().state.Final() {
		p.log(LogEntry{
			Event:   "task-" + e.How.String(),
			Job:     e.Task.Job,
			Task:    e.Task.String(),
			Attempt: e.Attempt,
			Worker:  w.info.ID,
			Reason:  "the attempt was not known to be running",
		})
	}
	p.applyEnd(now, t, w, e.Attempt, e.How, e.Checkpoint)
}

// bindRun attaches a run to its task, so that the task waits for the run's end.
func (p *Planner) bindRun(r *run) {
	t := p.findTask(r.key.task)
	if t == nil {
		return
	}
	w := r.worker
	w.allocated = w.allocated.Minus(r.demand)
	w.removeRun(r)
	t.job().markStarted(p)
	bound := p.attach(w, t, r.key)
	bound.setPhase(r.phase)
	bound.orderedAt = r.orderedAt
	bound.adopted = r.adopted
	bound.speedOrderedAt = r.speedOrderedAt
	bound.confirmedAt = r.confirmedAt
	bound.stopAckedAt = r.stopAckedAt
	bound.stopSentAt = r.stopSentAt
	bound.stopInFlight = r.stopInFlight
	bound.startedAt = r.startedAt
	bound.listedAt = r.listedAt
}
