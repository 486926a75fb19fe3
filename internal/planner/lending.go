package planner

import "marjoramstack/pkg/clock"

const (
	// lendingHeadroomPermille is the share of the room that lasting tasks leave which is kept
	// free of work above the agreed rates, so that what others submit finds room at once.
	lendingHeadroomPermille = 500
	// activeSpan is how long after its last job a customer counts as one who will submit more.
	activeSpan = 5 * clock.Second
)

// lending is what a pass may still start of work above the agreed rates: processors that no
// task reserves, and processors that are expected to stay unused, in thousandths.
type lending struct {
	measured bool
	all      bool // nobody else submits anything
	free     int
	idle     int
}

// lend reports whether a pass may start n tasks of a step, and counts them. Only work above the
// agreed rates is bounded. It is examined after all other work, so what a pass finds free for
// the first such step is left for them.
func (p *Planner) lend(now clock.Time, s *step, n int) bool {
	if !s.occurrence.job.aboveRate {
		return true
	}
	l := &p.lending
	if !l.measured {
		p.measureLending(now, s)
	}
	if l.all {
		return true
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

// measureLending measures the room in the pool of a step, less the headroom.
func (p *Planner) measureLending(now clock.Time, s *step) {
	l := lending{
		measured: true,
		all:      !p.othersSubmit(now, s.occurrence.job.customer),
	}
	for _, w := range p.fleet {
		if w.info.Pool != s.occurrence.job.queue.Pool || !p.usable(now, w) {
			continue
		}
		capacity := w.info.Capacity.Processors
		reserved, used := w.lastingProcessors()
		l.free += capacity - w.allocated.Processors - (capacity-reserved)*lendingHeadroomPermille/milliScale
		l.idle += int(p.idleProcessors(w)) - (capacity-used)*lendingHeadroomPermille/milliScale
	}
	p.lending = l
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

// othersSubmit reports whether a customer other than the given one has submitted a job lately.
func (p *Planner) othersSubmit(now clock.Time, but *customer) bool {
	for _, c := range p.customerOrder {
		if c != but && c.lastArrival != 0 && now.Sub(c.lastArrival) < activeSpan {
			return true
		}
	}
	return false
}

// noteArrival notes that a customer has submitted a job.
func (c *customer) noteArrival(at clock.Time) { c.lastArrival = max(c.lastArrival, at) }
