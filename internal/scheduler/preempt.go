package scheduler

import (
	"sort"

	"marjoramstack/pkg/clock"
	"marjoramstack/pkg/document"
)

const (
	// A task is urgent when its slack is below minUrgentMargin or below the time
	// from submission to deadline divided by urgentMarginDivisor.
	minUrgentMargin     = 2 * clock.Second
	urgentMarginDivisor = 10
	// A victim must have victimSlackFactor times the expected run time of the urgent
	// task as slack.
	victimSlackFactor = 4
	// minVictimMargin is how long a victim must have been placed. It is also the
	// slack that a victim must have if the urgent task is a watcher.
	minVictimMargin        = 30 * clock.Second
	maxSampledWorkers      = 32
	maxPreemptionsPerRound = 16
)

// preempt makes room for an urgent task that does not fit. It evicts tasks with
// much more slack from one worker and chooses the worker on which the least work
// is lost.
func (c *Cell) preempt(now clock.Time, t *task) {
	if !c.urgent(now, t) || c.preemptionLimitReached(now) {
		return
	}
	var best []*task
	var bestCost clock.Span
	for _, id := range c.sampleWorkers() {
		victims, cost := c.victimsOn(now, id, t)
		if victims != nil && (best == nil || cost < bestCost) {
			best, bestCost = victims, cost
		}
	}
	for _, v := range best {
		c.startEviction(now, v, evictPreempted)
	}
}

// urgent reports whether the slack of the task is nearly used up. Watchers are
// always urgent. Batch tasks are not urgent after their deadline.
func (c *Cell) urgent(now clock.Time, t *task) bool {
	j := t.job
	if j.origin.Watcher {
		return true
	}
	margin := max(minUrgentMargin, j.origin.Deadline.Sub(j.origin.Submitted)/urgentMarginDivisor)
	return now.After(j.rank.Add(-margin)) && now.Before(j.origin.Deadline)
}

// preemptionLimitReached counts one more preemption and reports whether there are
// more than maxPreemptionsPerRound, including those in progress. Without the limit
// one shortage could empty the cell before the freed capacity is used.
func (c *Cell) preemptionLimitReached(now clock.Time) bool {
	if c.preemptionsCountedAt != now {
		c.preemptionsCountedAt = now
		c.preemptions = 0
		for _, id := range c.busyWorkers() {
			for t := range c.tasksByWorker[id] {
				if t.evict == evictPreempted {
					c.preemptions++
				}
			}
		}
	}
	c.preemptions++
	return c.preemptions > maxPreemptionsPerRound
}

// sampleWorkers returns at most maxSampledWorkers of the busy workers, chosen at
// random.
func (c *Cell) sampleWorkers() []string {
	ids := c.busyWorkers()
	if len(ids) <= maxSampledWorkers {
		return ids
	}
	c.random.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	return ids[:maxSampledWorkers]
}

// victimsOn returns the tasks to evict from the worker so that t fits, and the cost
// of the evictions. It returns nil if t cannot be made to fit.
func (c *Cell) victimsOn(now clock.Time, workerID string, t *task) ([]*task, clock.Span) {
	w := c.workers[workerID]
	h := c.index.Host(workerID)
	if w == nil || h == nil || !c.usable(w) || w.quarantined() || !t.job.size().Fits(w.total) {
		return nil, 0
	}
	free := h.Free
	var candidates []*task
	for _, v := range c.tasksOn(workerID) {
		if v.evict != evictNone {
			free = free.Plus(v.job.size())
			continue
		}
		if c.mayPreempt(now, v, t) {
			candidates = append(candidates, v)
		}
	}
	return selectVictims(candidates, free, t.job.size())
}

// mayPreempt reports whether v may be evicted in favour of t: v has been placed for
// minVictimMargin and has so much more slack that it still meets its deadline.
func (c *Cell) mayPreempt(now clock.Time, v, t *task) bool {
	if v.job.origin.Watcher || !v.evictable() || now.Sub(v.placedAt) < minVictimMargin {
		return false
	}
	left := max(c.runtimes.Expect(v.job.origin.Spec.Class, v.job.declared, runTimeQuantile)-v.done, 0)
	slack := v.job.origin.Deadline.Sub(now) - left
	need := c.runtimes.Expect(t.job.origin.Spec.Class, t.job.declared, runTimeQuantile)
	if t.job.origin.Watcher {
		return slack > minVictimMargin
	}
	return slack > victimSlackFactor*need
}

// selectVictims chooses candidates until the size fits, those with the least lost
// work first. The cost is the work done since the last checkpoints plus one second
// for each eviction.
func selectVictims(candidates []*task, free, size document.Size) ([]*task, clock.Span) {
	sort.SliceStable(candidates, func(i, j int) bool { return lostWork(candidates[i]) < lostWork(candidates[j]) })
	var chosen []*task
	var cost clock.Span
	for _, v := range candidates {
		if size.Fits(free) {
			break
		}
		free = free.Plus(v.job.size())
		chosen = append(chosen, v)
		cost += lostWork(v) + clock.Second
	}
	if !size.Fits(free) || len(chosen) == 0 {
		return nil, 0
	}
	return chosen, cost
}

func lostWork(t *task) clock.Span { return max(t.done-t.checkpoint, 0) }
