package planner

import (
	"slices"

	"marjoramstack/pkg/clock"
)

func (p *Planner) cancel(now clock.Time, id string) {
	j := p.jobs[id]
	if j == nil || j.state.Final() {
		return
	}
	p.finish(now, j, StateCancelled, "cancelled by the caller")
}

// finish ends a job and stops its remaining attempts.
func (p *Planner) finish(now clock.Time, j *job, state State, reason string) {
	j.state = state
	j.ended = now
	p.removeActive(j)
	p.dirty[j.spec.ID] = j
	p.passNeeded = true
	p.log(LogEntry{
		Event:  "job-" + string(state),
		Job:    j.spec.ID,
		Reason: reason,
		Age:    now.Sub(j.accepted),
	})
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			for _, t := range s.tasks {
				t.releaseHeldQuota()
				p.stopAll(now, t, nil)
			}
		}
	}
}

// complete marks a task as done and stops its other attempts.
func (p *Planner) complete(now clock.Time, t *task) {
	if t.done {
		return
	}
	t.markDone()
	t.checkpoint = ""
	p.stopAll(now, t, nil)
	j := t.job()
	p.dirty[j.spec.ID] = j
	p.passNeeded = true
	t.step.open--
	if t.step.open == 0 {
		p.completeStep(now, t.step)
	}
}

func (p *Planner) completeStep(now clock.Time, s *step) {
	for _, f := range s.dependents {
		f.unmetDependencies--
		p.recordReadyShortStep(f)
	}
	o := s.occurrence
	o.open--
	if o.open > 0 {
		return
	}
	o.job.open--
	if o.job.open == 0 && !o.job.state.Final() {
		p.stats.Completed++
		p.finish(now, o.job, StateCompleted, "all tasks are done")
	}
}

// countFailure records a failed attempt. It fails the job if the task has used up its
// attempts. Long-running tasks have no limit.
func (p *Planner) countFailure(now clock.Time, t *task, attempt int, workerID string) {
	if t.done || !t.recordFailure(attempt) {
		return
	}
	j := t.job()
	p.dirty[j.spec.ID] = j
	if !slices.Contains(t.failedWorkers, workerID) {
		t.failedWorkers = append(t.failedWorkers, workerID)
	}
	if t.step.spec.LongRunning || len(t.failedAttempts) < j.queue.MaxAttempts || j.queue.Pool == "" || j.state.Final() {
		return
	}
	p.stats.Failed++
	p.finish(now, j, StateFailed, "task "+t.id().String()+" has failed as often as allowed")
}
