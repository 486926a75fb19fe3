package planner

import "marjoramstack/pkg/clock"

const (
	// headroomShare is the share of a pool, in thousandths, below which free
	// processors are left to short tasks for a while.
	lowHeadroomPermille = 120
	// leaveFor is how long a task that lasts leaves room to short ones that come
	// and go. Whoever watches over it must not see it wait for much longer.
	// leaveStep bounds what one pass adds: room is looked for in each.
	maxYieldTime = 1200 * clock.Millisecond
	maxYieldStep = 100 * clock.Millisecond
	// shortSeen is how long after a short task was started others are expected.
	shortTaskWindow = 1 * clock.Second
)

// headroom tells how full a pool is, and when a short task was last started.
type poolUsage struct {
	capacity       int // thousandths of processors
	reserved       int
	lastShortStart clock.Time
}

// measureHeadroom sums the pools up, once a pass.
func (p *Planner) measurePools(now clock.Time) {
	for _, u := range p.pools {
		u.capacity = 0
		u.reserved = 0
	}
	for _, w := range p.fleet {
		if !p.usable(now, w) {
			continue
		}
		u := p.pool(w.info.Pool)
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

// leavesRoom reports whether a waiting step that lasts should leave the worker that
// was found for it to short tasks. In a pool that is nearly full, whatever lasts
// would take all room that short tasks leave for a moment, and they would wait for
// seconds for the next.
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

// noteShort notes the start of a task that ends soon and takes processors of its
// own.
func (p *Planner) noteShortStart(now clock.Time, s *step) {
	if s.spec.LongRunning || s.spec.BestEffort {
		return
	}
	p.pool(s.occurrence.job.queue.Pool).lastShortStart = now
}
