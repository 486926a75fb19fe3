package scheduler

import (
	"sort"

	"marjoramstack/pkg/clock"
	"marjoramstack/pkg/document"
)

const (
	urgentMargin    = 2 * clock.Second
	urgentShare     = 10
	victimSlack     = 4
	victimRest      = 30 * clock.Second
	preemptWorkers  = 32
	preemptPerRound = 16
)

// preempt makes room for a task that would miss its deadline by waiting. It
// stops the tasks of one worker that have by far more slack and lose least.
func (c *Cell) preempt(now clock.Time, t *task) {
	if !c.urgent(now, t) || c.preempting(now) {
		return
	}
	var best []*task
	var bestCost clock.Span
	for _, id := range c.sampleHolders() {
		victims, cost := c.victims(now, id, t)
		if victims != nil && (best == nil || cost < bestCost) {
			best, bestCost = victims, cost
		}
	}
	for _, v := range best {
		c.startEviction(now, v, evictPreempted)
	}
}

// urgent reports whether the task's slack is nearly used up.
func (c *Cell) urgent(now clock.Time, t *task) bool {
	j := t.job
	if j.origin.Watcher {
		return true
	}
	margin := max(urgentMargin, j.origin.Deadline.Sub(j.origin.Submitted)/urgentShare)
	return now.After(j.rank.Add(-margin)) && now.Before(j.origin.Deadline)
}

// preempting bounds the evictions under way, so that one shortage does not
// empty the cell before the first freed room is used.
func (c *Cell) preempting(now clock.Time) bool {
	if c.preemptAt != now {
		c.preemptAt = now
		c.preempted = 0
		for _, id := range c.holders() {
			for t := range c.onWorker[id] {
				if t.evict == evictPreempted {
					c.preempted++
				}
			}
		}
	}
	c.preempted++
	return c.preempted > preemptPerRound
}

func (c *Cell) sampleHolders() []string {
	ids := c.holders()
	if len(ids) <= preemptWorkers {
		return ids
	}
	c.random.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	return ids[:preemptWorkers]
}

// victims returns the tasks whose stop makes room for t on the worker, with the
// work that would be lost, or nil if there are none.
func (c *Cell) victims(now clock.Time, id string, t *task) ([]*task, clock.Span) {
	w := c.members[id]
	h := c.index.Host(id)
	if w == nil || h == nil || !c.usable(w) || w.quarantined() || !t.job.size().Fits(w.total) {
		return nil, 0
	}
	free := h.Free
	var candidates []*task
	for _, v := range c.tasksOn(id) {
		if v.evict != evictNone {
			free = free.Plus(v.job.size())
			continue
		}
		if c.mayYield(now, v, t) {
			candidates = append(candidates, v)
		}
	}
	return takeUntilFits(candidates, free, t.job.size())
}

// mayYield reports whether v has so much more slack than t that stopping it
// endangers no target.
func (c *Cell) mayYield(now clock.Time, v, t *task) bool {
	if v.job.origin.Watcher || !v.evictable() || now.Sub(v.placedAt) < victimRest {
		return false
	}
	left := max(c.runtimes.Expect(v.job.origin.Spec.Class, v.job.declared, runQuantile)-v.done, 0)
	slack := v.job.origin.Deadline.Sub(now) - left
	need := c.runtimes.Expect(t.job.origin.Spec.Class, t.job.declared, runQuantile)
	if t.job.origin.Watcher {
		return slack > victimRest
	}
	return slack > victimSlack*need
}

// takeUntilFits picks the candidates that lose least until the size fits. The
// cost counts the work since the last checkpoint and a little for each stop.
func takeUntilFits(candidates []*task, free, size document.Size) ([]*task, clock.Span) {
	sort.SliceStable(candidates, func(i, j int) bool { return loss(candidates[i]) < loss(candidates[j]) })
	var chosen []*task
	var cost clock.Span
	for _, v := range candidates {
		if size.Fits(free) {
			break
		}
		free = free.Plus(v.job.size())
		chosen = append(chosen, v)
		cost += loss(v) + clock.Second
	}
	if !size.Fits(free) || len(chosen) == 0 {
		return nil, 0
	}
	return chosen, cost
}

func loss(t *task) clock.Span { return max(t.done-t.checkpoint, 0) }
