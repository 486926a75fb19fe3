package planner

import "marjoramstack/pkg/clock"

const (
	// suspectJobs is how many different jobs in a row must fail on a worker for
	// it to be left alone.
	suspectJobs = 2
	// quarantine is how long a worker that fails what it starts gets no work.
	quarantine = 4 * clock.Second
	// shyAfter is how long a worker that left a start unanswered is avoided.
	shyAfter = 1 * clock.Second
	// slowFor is how long a worker on which tasks lag is avoided.
	slowFor = 3 * clock.Second
)

// health is what the ends on a worker tell of it.
type health struct {
	failedJobs map[string]bool
	until      clock.Time
	shyUntil   clock.Time
	// slowUntil is when the worker stops being avoided for lagging tasks, which
	// take slowness times as long as elsewhere.
	slowUntil clock.Time
	slowness  float64
}

func (h *health) failing() bool { return len(h.failedJobs) > 0 }

func (h *health) unanswered(now clock.Time) { h.shyUntil = now.Add(shyAfter) }

func (h *health) lag(now clock.Time, factor float64) {
	h.slowUntil = now.Add(slowFor)
	h.slowness = factor
}

func (h *health) failed(now clock.Time, job string) {
	if h.failedJobs == nil {
		h.failedJobs = map[string]bool{}
	}
	h.failedJobs[job] = true
	if len(h.failedJobs) >= suspectJobs {
		h.until = now.Add(quarantine)
	}
}

func (h *health) done() {
	h.failedJobs = nil
	h.until = 0
}

// judge learns from the end of a run.
func (p *Planner) judge(now clock.Time, r *run, how End) {
	h := &r.worker.health
	switch how {
	case EndDone:
		h.done()
		if !r.resumed && r.began != 0 {
			r.task.step.recordDuration(now.Sub(r.began))
		}
	case EndFailed:
		if len(r.task.badWorkers) == 0 {
			h.failed(now, r.key.task.Job)
		}
	}
}
