package planner

import "marjoramstack/pkg/clock"

const (
	// lendingHeadroomPermille is the share of a pool that is left free of work above the agreed
	// rates, so that what others submit finds room at once.
	lendingHeadroomPermille = 200
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
		headroom := capacity * lendingHeadroomPermille / milliScale
		l.free += capacity - w.allocated.Processors - headroom
		l.idle += int(p.idleProcessors(w)) - headroom
	}
	p.lending = l
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
