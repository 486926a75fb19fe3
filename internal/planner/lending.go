package planner

import "marjoramstack/pkg/clock"

const (
	// lendingHeadroomPermille is the share of the room that lasting tasks leave which is kept
	// free of work above the agreed rates, so that what others submit finds room at once.
	lendingHeadroomPermille = 500
	// activeSpan is how long after its last job a customer counts as one who will submit more.
	activeSpan = 5 * clock.Second
)

// lending is what a pass may still start of work above the agreed rates in one pool: processors
// that no task reserves, and processors that are expected to stay unused, in thousandths.
type lending struct {
	free int
	idle int
}

// lend reports whether a pass may start n tasks of a step, and counts them. Only work above the
// agreed rates is bounded, while other customers submit jobs. It is examined after all other work,
// so what a pass finds free for the first such step is left for them.
func (p *Planner) lend(now clock.Time, s *step, n int) bool {
	j := s.occurrence.job
	if !j.aboveRate || !p.othersSubmit(now, j.customer) {
		return true
	}
	l := p.lendings[j.queue.Pool]
	if l == nil {
		l = p.measureLending(now, j.queue.Pool)
		p.lendings[j.queue.Pool] = l
	}
	room := &l.free
	if s.spec.BestEffort {
		room = &l.idle
	}
	demand := s.spec.Demand.Processors * n
	if *room < demand {
		return false
	}
	*room -= demand
	return true
}

// measureLending measures the room in a pool, less the headroom.
func (p *Planner) measureLending(now clock.Time, pool string) *lending {
	l := &lending{}
	for _, w := range p.fleet {
		if w.info.Pool != pool || !p.usable(now, w) {
			continue
		}
		capacity := w.info.Capacity.Processors
		reserved, used := w.lastingProcessors()
		l.free += capacity - w.allocated.Processors - (capacity-reserved)*lendingHeadroomPermille/milliScale
		l.idle += int(p.idleProcessors(w)) - (capacity-used)*lendingHeadroomPermille/milliScale
	}
	return l
}

// lastingProcessors returns what the tasks on the worker that last reserve, and what they are
// expected to use, in thousandths of processors.
func (w *worker) lastingProcessors() (reserved, used int) {
	for _, r := range w.ordered {
		if r.task != nil && r.task.step.spec.LongRunning {
			reserved += r.demand.Processors
			used += int(expectedUsage(r.task.step.spec))
		}
	}
	return reserved, used
}

// othersSubmit reports whether a customer other than the given one has submitted a job lately. The
// two that did so last are enough to know that.
func (p *Planner) othersSubmit(now clock.Time, but *customer) bool {
	for _, c := range p.latestArrivals {
		if c != nil && c != but && now.Sub(c.lastArrival) < activeSpan {
			return true
		}
	}
	return false
}

// noteArrival notes that a customer has submitted a job, later than those noted before.
func (p *Planner) noteArrival(c *customer, at clock.Time) {
	c.lastArrival = max(c.lastArrival, at)
	if p.latestArrivals[0] != c {
		p.latestArrivals[1] = p.latestArrivals[0]
		p.latestArrivals[0] = c
	}
}
