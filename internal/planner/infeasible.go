package planner

import (
	"slices"

	"marjoramstack/pkg/clock"
	"marjoramstack/pkg/document"
)

// hopelessAfter is how long a job waits for a worker that could hold it, and how
// long an owner waits for workers to be listed.
const infeasibleAfter = 3 * clock.Second

// hopeless reports whether a task of the step exceeds every worker of the pool that
// was ever seen, empty as they may be. Workers that don't answer or are away may
// come back.
func (p *Planner) infeasible(now clock.Time, s *step) bool {
	if now.Sub(s.occurrence.job.accepted) < infeasibleAfter || now.Sub(p.opts.Takeover) < infeasibleAfter {
		return false
	}
	largest := p.largestCapacities[s.occurrence.job.queue.Pool]
	fits := slices.ContainsFunc(largest, allocation(s.spec).Fits)
	return len(largest) > 0 && !fits
}

// noteSize keeps, by pool, the capacities that none seen since is as large as.
func (p *Planner) recordCapacity(info Worker) {
	largest := p.largestCapacities[info.Pool]
	if slices.ContainsFunc(largest, info.Capacity.Fits) {
		return
	}
	largest = slices.DeleteFunc(largest, func(size document.Size) bool { return size.Fits(info.Capacity) })
	p.largestCapacities[info.Pool] = append(largest, info.Capacity)
}
