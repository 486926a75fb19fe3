package planner

import "marjoramstack/pkg/clock"

// speedRetryAfter is how long after a speed was ordered a run that does not follow it gets the
// order again. A change of speed shows in the reports after throttleSettleTime.
const speedRetryAfter = throttleSettleTime + 500*clock.Millisecond

// mendSpeeds orders the speeds of best-effort runs on a worker again that do not agree with its
// report: the order was lost, or an earlier owner had paused the run.
func (p *Planner) mendSpeeds(now clock.Time, w *worker) {
	if w.bestEffortProcessors == 0 {
		return
	}
	for _, r := range w.ordered {
		if !r.bestEffort() || !r.disregardsSpeed(now) {
			continue
		}
		p.log(LogEntry{
			Event:   "task-throttle-again",
			Job:     r.key.task.Job,
			Task:    r.key.task.String(),
			Attempt: r.key.attempt,
			Worker:  w.id,
			Age:     now.Sub(r.speedOrderedAt),
		})
		p.orderSpeed(now, r)
	}
}

// disregardsSpeed reports whether the run, as just reported, is paused though it should not be,
// or the reverse. A run that this owner started and never paused is at full speed.
func (r *run) disregardsSpeed(now clock.Time) bool {
	if r.phase != runStarted || r.listedAt != now || now.Sub(r.speedOrderedAt) < speedRetryAfter {
		return false
	}
	if r.speed == 0 {
		return r.metric > 0
	}
	mayBePaused := r.adopted || r.throttledAt != 0
	return mayBePaused && r.metric == 0 && now.Sub(r.progressedAt) >= speedRetryAfter
}

// orderSpeed sends the speed of a run to its worker.
func (p *Planner) orderSpeed(now clock.Time, r *run) {
	r.speedOrderedAt = now
	p.order(Throttle{
		Target:  r.worker.target(),
		Task:    r.key.task,
		Attempt: r.key.attempt,
		Percent: r.speed,
	})
}
