package planner

import "marjoramstack/pkg/clock"

const (
	// lowHeadroomPermille is the free share of a pool's processors, in thousandths, below
	// which long-running tasks yield to short ones for a while.
	lowHeadroomPermille = 120
	// maxYieldTime is how long a long-running task yields to short ones. It is kept low
	// because the task counts as unavailable if it waits for much longer.
	// maxYieldStep bounds the time that one pass adds, since a pass in which no worker
	// was found does not count as yielding.
	maxYieldTime = 1200 * clock.Millisecond
	maxYieldStep = 100 * clock.Millisecond
	// shortTaskWindow is how long after the start of a short task more are expected.
	shortTaskWindow = 1 * clock.Second
)

// poolUsage is how full a pool is and when a short task last started in it.
type poolUsage struct {
	capacity       int // thousandths of processors
	reserved       int // thousandths of processors
	lastShortStart clock.Time
}

// measurePools sums the capacity and usage of each pool. It is called once per pass.
func (p *Planner) measurePools(now clock.Time) {
	for _, u := range p.pools {
		u.capacity = 0
		u.reserved = 0
	}
	var u *poolUsage
	name := ""
	for _, w := range p.fleet {
		if !p.usable(now, w) {
			continue
		}
		if u == nil || w.info.Pool != name {
			name = w.info.Pool
			u = p.pool(name)
		}
		u.capacity += w.info.Capacity.Processors
		u.reserved += w.allocated.Processors
	}
}

func (p *Planner) pool(name string) *poolUsage {
	u := p.pools[name]
	if u == nil {
		u = &poolUsage{}
		p.pools[name] = u
	}
	return u
}

// yieldsToShort reports whether a waiting long-running step should leave the worker that was
// found for it to short tasks. In a nearly full pool, long-running tasks would otherwise
// take all capacity that becomes free between short tasks, and the next short tasks would
// wait for seconds.
func (p *Planner) yieldsToShort(now clock.Time, s *step, found *worker) bool {
	if !s.spec.LongRunning || found == nil {
		return false
	}
	u := p.pool(s.occurrence.job.queue.Pool)
	full := (u.capacity-u.reserved)*milliScale < u.capacity*lowHeadroomPermille
	if !full || u.lastShortStart == 0 || now.Sub(u.lastShortStart) > shortTaskWindow {
		return false
	}
	if s.yieldedUntil < now && s.yielded < maxYieldTime {
		s.yielded += min(now.Sub(s.yieldedUntil), maxYieldStep)
	}
	s.yieldedUntil = now
	return s.yielded < maxYieldTime
}

// recordShortStart records the start of a short task that is not best-effort.
func (p *Planner) recordShortStart(now clock.Time, s *step) {
	if !s.short() {
		return
	}
	p.pool(s.occurrence.job.queue.Pool).lastShortStart = now
}
