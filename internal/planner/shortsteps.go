package planner

import (
	"marjoramstack/pkg/clock"
	"marjoramstack/pkg/document"
)

// short reports whether the step's tasks end by themselves and are not best-effort.
func (s *step) short() bool { return !s.spec.LongRunning && !s.spec.BestEffort }

// recordReadyShortStep records a short step that has become ready, for assignReadyShortSteps.
// With a long backlog, passes are far apart, which would delay short tasks noticeably.
func (p *Planner) recordReadyShortStep(s *step) {
	if s.unmetDependencies == 0 && s.short() {
		p.newlyReady = append(p.newlyReady, s)
	}
}

// assignReadyShortSteps places short steps that became ready since the last pass.
func (p *Planner) assignReadyShortSteps(now clock.Time) {
	if len(p.newlyReady) == 0 {
		return
	}
	steps := p.newlyReady
	p.newlyReady = nil
	p.rateArrivals()
	ranked := make([]rankedStep, len(steps))
	for i, s := range steps {
		ranked[i] = s.ranked(now)
	}
	ofPass := p.unplaced
	defer func() { p.unplaced = ofPass }()
	p.unplaced = map[placementKey]document.Size{} // room may have become free since the pass
	for _, s := range p.sortSteps(ranked) {
		j := s.occurrence.job
		notDue := s.occurrence.scheduledAt.After(now) || p.stepAwaitsInheritance(s)
		if j.state.Final() || notDue || j.aboveRate {
			continue // the next pass tries again
		}
		p.placeStep(now, s)
	}
}
