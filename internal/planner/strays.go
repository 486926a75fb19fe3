package planner

import "marjoramstack/pkg/clock"

// stray is an end that a worker listed of a job that is not known yet: another
// owner has heard of the job first.
type unclaimedEnd struct {
	worker *worker
	ended  Ended
}

// claimStrays binds to a new job what workers have listed of it before.
func (p *Planner) claimUnknown(now clock.Time, j *job) {
	for _, w := range p.fleet {
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

// endUnknown takes the end of an attempt that this owner did not know to run: an
// earlier one started it, or it counted as ended already. Each failure has its line,
// since it counts; of the other ends there are too many as an owner begins.
func (p *Planner) applyUnknownEnd(now clock.Time, t *task, w *worker, e Ended) {
	if e.How == EndFailed && !t.done && !t.job().state.Final() {
		p.log(LogEntry{
			Event:   "task-" + e.How.String(),
			Job:     e.Task.Job,
			Task:    e.Task.String(),
			Attempt: e.Attempt,
			Worker:  w.info.ID,
			Reason:  "was not known to run",
		})
	}
	p.applyEnd(now, t, w, e.Attempt, e.How, e.Checkpoint)
}

// claim binds a run to its task, so that the task waits for the run's end.
func (p *Planner) bindRun(r *run) {
	t := p.findTask(r.key.task)
	if t == nil {
		return
	}
	w := r.worker
	w.reserved = w.reserved.Minus(r.demand)
	delete(w.runs, r.key)
	bound := p.attach(w, t, r.key)
	bound.phase = r.phase
	bound.orderedAt = r.orderedAt
	bound.confirmedAt = r.confirmedAt
	bound.stopAckedAt = r.stopAckedAt
	bound.stopSentAt = r.stopSentAt
	bound.stopInFlight = r.stopInFlight
	bound.startedAt = r.startedAt
	bound.listedAt = r.listedAt
}
