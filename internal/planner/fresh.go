package planner

import (
	"slices"

	"marjoramstack/pkg/clock"
	"marjoramstack/pkg/document"
)

// noteFresh notes a step whose turn has come. Passes over all that waits are far
// apart while much waits, and a short task would feel it.
func (p *Planner) noteFresh(s *step) {
	if s.blocked == 0 && !s.spec.LongRunning && !s.spec.BestEffort {
		p.fresh = append(p.fresh, s)
	}
}

// assignFresh places short steps between two passes.
func (p *Planner) assignFresh(now clock.Time) {
	if len(p.fresh) == 0 {
		return
	}
	steps := p.fresh
	p.fresh = nil
	known := p.inheritanceKnown(now)
	slices.SortFunc(steps, func(a, b *step) int { return compare(now, a, b) })
	full := map[fullKey]document.Size{}
	for _, s := range steps {
		j := s.occurrence.job
		late := s.occurrence.due.After(now) || j.inherited && !known
		if j.state.Final() || late || p.starting >= startsMost {
			continue // the next pass looks at it again
		}
		p.placeStep(now, s, full)
	}
}
