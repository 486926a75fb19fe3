package planner

import "marjoramstack/pkg/clock"

// speculate starts copies of slow tasks that allow it.
func (p *Planner) speculate(clock.Time) {}
