package planner

import "marjoramstack/pkg/clock"

// stray is an end that a worker listed of a job that is not known yet: another
// owner has heard of the job first.
type stray struct {
	worker *worker
	ended  Ended
}

// claimStrays binds to a new job what workers have listed of it before.
func (p *Planner) claimStrays(now clock.Time, j *job) {
	for _, w := range p.fleet {
		for _, r := range w.sortedRuns() {
			if r.task == nil && r.key.task.Job == j.spec.ID {
				p.claim(r)
			}
		}
	}
	for _, s := range p.strays[j.spec.ID] {
		if t := p.find(s.ended.Task); t != nil {
			p.endUnknown(now, t, s.worker, s.ended)
		}
	}
	delete(p.strays, j.spec.ID)
}

// endUnknown takes the end of an attempt that this owner did not know to run: an
// earlier one started it, or it counted as ended already. Each failure has its line,
// since it counts; of the other ends there are too many as an owner begins.
func (p *Planner) endUnknown(now clock.Time, t *task, w *worker, e Ended) {
	if e.How == EndFailed && !t.done && !t.job().state.Final() {
		p.note(LogEntry{
			Event:   "task-" + e.How.String(),
			Job:     e.Task.Job,
			Task:    e.Task.String(),
			Attempt: e.Attempt,
			Worker:  w.info.ID,
			Reason:  "was not known to run",
		})
	}
	p.apply(now, t, w, e.Attempt, e.How, e.Checkpoint)
}

// claim binds a run to its task, so that the task waits for the run's end.
func (p *Planner) claim(r *run) {
	t := p.find(r.key.task)
	if t == nil {
		return
	}
	w := r.worker
	w.reserved = w.reserved.Minus(r.demand)
	delete(w.runs, r.key)
	bound := p.attach(w, t, r.key)
	bound.phase = r.phase
	bound.ordered = r.ordered
	bound.confirmed = r.confirmed
	bound.refused = r.refused
	bound.stopSent = r.stopSent
	bound.stopFlying = r.stopFlying
	bound.began = r.began
	bound.seen = r.seen
}
