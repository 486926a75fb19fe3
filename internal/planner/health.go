package planner

import "marjoramstack/pkg/clock"

const (
	// suspectJobs is how many different jobs in a row must fail on a worker for
	// it to be left alone.
	quarantineJobs = 2
	// quarantine is how long a worker that fails what it starts gets no work.
	quarantine = 4 * clock.Second
	// shyAfter is how long a worker that left a start unanswered is avoided.
	unansweredPenalty = 1 * clock.Second
	// slowFor is how long a worker on which tasks lag is avoided.
	slowFor = 3 * clock.Second
)

// health is what the ends on a worker tell of it.
type health struct {
	failedJobs       map[string]bool
	quarantinedUntil clock.Time
	avoidUntil       clock.Time
	// slowUntil is when the worker stops being avoided for lagging tasks, which
	// take slowness times as long as elsewhere.
	slowUntil clock.Time
	slowdown  float64
}

func (h *health) failing() bool { return len(h.failedJobs) > 0 }

func (h *health) startUnanswered(now clock.Time) { h.avoidUntil = now.Add(unansweredPenalty) }

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

// judge learns from the end of a run.
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
