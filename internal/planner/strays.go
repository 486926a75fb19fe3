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
			p.apply(now, t, s.worker, s.ended.Attempt, s.ended.How, s.ended.Checkpoint)
		}
	}
	delete(p.strays, j.spec.ID)
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
