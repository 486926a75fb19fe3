package planner

import (
	"slices"

	"marjoramstack/pkg/clock"
	"marjoramstack/pkg/document"
)

// infeasibleAfter is how long a job waits for a worker that is large enough, and how long
// a new owner waits for workers to be listed, before the job can be infeasible.
const infeasibleAfter = 3 * clock.Second

// infeasible reports whether a task of the step exceeds the total capacity of every worker
// of the pool seen so far. Workers that do not answer or are no longer listed count, since
// they may return.
func (p *Planner) infeasible(now clock.Time, s *step) bool {
	if now.Sub(s.occurrence.job.accepted) < infeasibleAfter || now.Sub(p.opts.Takeover) < infeasibleAfter {
		return false
	}
	largest := p.largestCapacities[s.occurrence.job.queue.Pool]
	fits := slices.ContainsFunc(largest, allocation(s.spec).Fits)
	return len(largest) > 0 && !fits
}

// recordCapacity keeps, by pool, the capacities that no other seen capacity covers.
func (p *Planner) recordCapacity(info Worker) {
	largest := p.largestCapacities[info.Pool]
	if slices.ContainsFunc(largest, info.Capacity.Fits) {
		return
	}
	largest = slices.DeleteFunc(largest, func(size document.Size) bool { return size.Fits(info.Capacity) })
	p.largestCapacities[info.Pool] = append(largest, info.Capacity)
}
