package scheduler

import "marjoramstack/pkg/clock"

// Escalation levels of a worker. The level rises while an endpoint on the worker
// misses its latency target: first the worker gets no new tasks, then the most
// harmful task is throttled, then one is checkpointed and evicted.
const (
	levelNone = iota
	levelNoNewTasks
	levelThrottle
	levelEvict
)

const (
	// The level rises above escalatePermille of the target. It falls when the
	// latency has stayed below recoveredPermille for deescalateDelay.
	escalatePermille  = 1000
	recoveredPermille = 700
	escalateInterval  = 2 * clock.Second
	deescalateDelay   = 10 * clock.Second
	// latencyMaxAge is the age at which a latency report is ignored as stale.
	latencyMaxAge = 5 * clock.Second
	// minPlacedBeforeEvict is how long a task must have been placed before it is
	// evicted, so that a moved task is not moved again at once.
	minPlacedBeforeEvict = 60 * clock.Second
)

// escalation is the escalation state of a worker. Raising and lowering the level
// use different thresholds and delays (hysteresis), so that it does not oscillate.
type escalation struct {
	level           int
	latencyPermille int
	reportedAt      clock.Time
	changedAt       clock.Time
	recoveredSince  clock.Time
}

// recordLatency records the latency of an endpoint on a worker. Of the reports
// within one second of each other it keeps the highest.
func (c *Cell) recordLatency(now clock.Time, m EndpointLatency) {
	w := c.workers[m.Worker]
	if w == nil {
		return
	}
	if now.Sub(w.escalation.reportedAt) > clock.Second || m.Permille > w.escalation.latencyPermille {
		w.escalation.latencyPermille = m.Permille
	}
	w.escalation.reportedAt = now
	c.latencyWorkers[m.Worker] = true
}

// updateEscalations raises or lowers the level of each worker with latency reports.
func (c *Cell) updateEscalations(now clock.Time) {
	for id := range c.latencyWorkers {
		w := c.workers[id]
		if w == nil {
			delete(c.latencyWorkers, id)
			continue
		}
		c.updateEscalation(now, w)
	}
}

func (c *Cell) updateEscalation(now clock.Time, w *workerState) {
	l := &w.escalation
	if now.Sub(l.reportedAt) > latencyMaxAge {
		l.latencyPermille = 0
	}
	if l.latencyPermille >= recoveredPermille || l.recoveredSince == 0 {
		l.recoveredSince = now
	}
	switch {
	case l.latencyPermille > escalatePermille && now.Sub(l.changedAt) >= escalateInterval:
		c.escalate(now, w)
	case l.level > levelNone && now.Sub(l.recoveredSince) >= deescalateDelay && now.Sub(l.changedAt) >= deescalateDelay:
		c.deescalate(now, w)
	}
}

func (c *Cell) escalate(now clock.Time, w *workerState) {
	l := &w.escalation
	l.changedAt = now
	l.level = min(l.level+1, levelEvict)
	worst := c.mostHarmful(w)
	switch {
	case l.level == levelThrottle && worst != nil:
		worst.throttleWanted = true
		c.requestExchange(w.id)
		c.noteEscalation(now, w, worst, "throttle")
	case l.level == levelEvict && worst != nil && now.Sub(worst.placedAt) >= minPlacedBeforeEvict:
		c.startEviction(now, worst, evictTargetMissed)
	case l.level == levelNoNewTasks:
		c.noteEscalation(now, w, nil, "place-away")
	}
	c.updateOpen(now, w)
}

func (c *Cell) deescalate(now clock.Time, w *workerState) {
	l := &w.escalation
	l.changedAt = now
	l.level--
	if l.level < levelThrottle {
		for t := range c.tasksByWorker[w.id] {
			t.throttleWanted = false
		}
		c.requestExchange(w.id)
	}
	c.noteEscalation(now, w, nil, "ease")
	c.updateOpen(now, w)
}

// mostHarmful returns the evictable batch task that does the most harm: the speed
// that the worker's tasks lose to its class, plus its share of the worker's
// processors.
func (c *Cell) mostHarmful(w *workerState) *task {
	h := c.index.Host(w.id)
	if h == nil {
		return nil
	}
	var worst *task
	var worstHarm float64
	for _, t := range c.tasksOn(w.id) {
		if t.job.origin.Watcher || !t.evictable() {
			continue
		}
		harm := c.slowdowns.Harm(t.job.origin.Spec.Class, h.Counts()) + float64(t.job.size().Processors)/float64(max(w.total.Processors, 1))
		if worst == nil || harm > worstHarm {
			worst, worstHarm = t, harm
		}
	}
	return worst
}

func (c *Cell) noteEscalation(now clock.Time, w *workerState, t *task, what string) {
	n := Note{
		At:     now,
		What:   what,
		Worker: w.id,
		Reason: "target-in-danger",
	}
	if t != nil {
		n.Job = t.job.origin.Spec.ID
		n.Task = t.id().String()
	}
	if what == "ease" {
		n.Reason = "target-met"
	}
	c.note(n)
}
