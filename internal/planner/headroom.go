package planner

import "marjoramstack/pkg/clock"

const (
	// headroomShare is the share of a pool, in thousandths, below which free
	// processors are left to short tasks for a while.
	headroomShare = 120
	// leaveFor is how long a task that lasts leaves room to short ones that come
	// and go. Whoever watches over it must not see it wait for much longer.
	// leaveStep bounds what one pass adds: room is looked for in each.
	leaveFor  = 1200 * clock.Millisecond
	leaveStep = 100 * clock.Millisecond
	// shortSeen is how long after a short task was started others are expected.
	shortSeen = 1 * clock.Second
)

// headroom tells how full a pool is, and when a short task was last started.
type headroom struct {
	capacity int // thousandths of processors
	reserved int
	short    clock.Time
}

// measureHeadroom sums the pools up, once a pass.
func (p *Planner) measureHeadroom(now clock.Time) {
	for _, h := range p.pools {
		h.capacity = 0
		h.reserved = 0
	}
	for _, w := range p.fleet {
		if !p.usable(now, w) {
			continue
		}
		h := p.pool(w.info.Pool)
		h.capacity += w.info.Capacity.Processors
		h.reserved += w.reserved.Processors
	}
}

func (p *Planner) pool(name string) *headroom {
	h := p.pools[name]
	if h == nil {
		h = &headroom{}
		p.pools[name] = h
	}
	return h
}

// leavesRoom reports whether a waiting step that lasts should leave the worker that
// was found for it to short tasks. In a pool that is nearly full, whatever lasts
// would take all room that short tasks leave for a moment, and they would wait for
// seconds for the next.
func (p *Planner) leavesRoom(now clock.Time, s *step, found *worker) bool {
	if !s.spec.LongRunning || found == nil {
		return false
	}
	h := p.pool(s.occurrence.job.terms.Pool)
	full := (h.capacity-h.reserved)*thousandth < h.capacity*headroomShare
	if !full || h.short == 0 || now.Sub(h.short) > shortSeen {
		return false
	}
	if s.leftUntil < now && s.left < leaveFor {
		s.left += min(now.Sub(s.leftUntil), leaveStep)
	}
	s.leftUntil = now
	return s.left < leaveFor
}

// noteShort notes the start of a task that ends soon and takes processors of its
// own.
func (p *Planner) noteShort(now clock.Time, s *step) {
	if s.spec.LongRunning || s.spec.BestEffort {
		return
	}
	p.pool(s.occurrence.job.terms.Pool).short = now
}
