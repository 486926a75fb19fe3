package planner

import "marjoramstack/pkg/clock"

const (
	// quarantineJobs is how many different jobs must fail on a worker, without a
	// success in between, for it to be quarantined.
	quarantineJobs = 2
	// quarantine is how long a worker on which tasks keep failing gets no starts.
	quarantine = 4 * clock.Second
	// unansweredPenalty is how long a worker that did not answer a start is avoided.
	unansweredPenalty = 1 * clock.Second
	// slowFor is how long a worker with stragglers is avoided.
	slowFor = 3 * clock.Second
)

// health tracks failures and slowness of a worker.
type health struct {
	failedJobs       map[string]bool
	quarantinedUntil clock.Time
	avoidUntil       clock.Time
	// slowUntil is until when the worker is avoided because of stragglers, which take
	// slowdown times as long as on other workers.
	slowUntil clock.Time
	slowdown  float64
}

func (h *health) failing() bool { return len(h.failedJobs) > 0 }

func (h *health) penalizeUnanswered(now clock.Time) { h.avoidUntil = now.Add(unansweredPenalty) }

func (h *health) markSlow(now clock.Time, factor float64) {
	h.slowUntil = now.Add(slowFor)
	h.slowdown = factor
}

func (h *health) failed(now clock.Time, job string) {
	if h.failedJobs == nil {
		h.failedJobs = map[string]bool{}
	}
	h.failedJobs[job] = true
	if len(h.failedJobs) >= quarantineJobs {
		h.quarantinedUntil = now.Add(quarantine)
	}
}

func (h *health) done() {
	h.failedJobs = nil
	h.quarantinedUntil = 0
}

// updateHealth updates the worker's health, and the usual duration of the step's
// tasks, after the end of a run.
func (p *Planner) updateHealth(now clock.Time, r *run, how End) {
	h := &r.worker.health
	switch how {
	case EndDone:
		h.done()
		if !r.resumed && r.startedAt != 0 {
			r.task.step.recordDuration(now.Sub(r.startedAt))
		}
	case EndFailed:
		if len(r.task.failedWorkers) == 0 {
			h.failed(now, r.key.task.Job)
		}
	}
}
