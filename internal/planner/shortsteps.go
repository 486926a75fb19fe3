package planner

import (
	"slices"

	"marjoramstack/pkg/clock"
	"marjoramstack/pkg/document"
)

// noteFresh notes a step whose turn has come. Passes over all that waits are far
// apart while much waits, and a short task would feel it.
func (p *Planner) noteReadyShortStep(s *step) {
	if s.unmetDependencies == 0 && !s.spec.LongRunning && !s.spec.BestEffort {
		p.newlyReady = append(p.newlyReady, s)
	}
}

// assignFresh places short steps between two passes.
func (p *Planner) assignReadyShortSteps(now clock.Time) {
	if len(p.newlyReady) == 0 {
		return
	}
	steps := p.newlyReady
	p.newlyReady = nil
	known := p.inheritanceKnown(now)
	slices.SortFunc(steps, func(a, b *step) int { return compareSteps(now, a, b) })
	unplaced := map[placementKey]document.Size{}
	for _, s := range steps {
		j := s.occurrence.job
		notDue := s.occurrence.scheduledAt.After(now) || j.inherited && !known
		if j.state.Final() || notDue || p.startsInFlight >= maxStartsInFlight {
			continue // the next pass looks at it again
		}
		p.placeStep(now, s, unplaced)
	}
}
