package planner

import (
	"strings"

	"marjoramstack/pkg/clock"
)

// inheritedUntil returns when each lease that an earlier owner gave has run out.
func (p *Planner) inheritedUntil() clock.Time {
	span := p.opts.LeaseMax
	return p.opts.Takeover.Add(span + span*driftPermille/1000 + 2*driftMargin)
}

// Takeover returns from when on no earlier owner acts.
func (p *Planner) Takeover() clock.Time { return p.opts.Takeover }

// inheritanceKnown reports whether all that an earlier owner started is known or
// has ended. It started nothing on a worker that its record does not name.
func (p *Planner) inheritanceKnown(now clock.Time) bool {
	if now.After(p.inheritedUntil()) {
		return true
	}
	for _, w := range p.fleet {
		if w.inherited && !w.synced && w.possibleTasks == nil {
			return false
		}
	}
	return true
}

// unanswered names the workers that have not answered this owner, for the log.
func (p *Planner) unansweredWorkers() string {
	var ids []string
	for _, w := range p.fleet {
		if !w.synced {
			ids = append(ids, w.id)
		}
	}
	return "not answered: " + strings.Join(ids, " ")
}

// suspected reports whether an earlier owner may have left a task on a worker
// that does not answer.
func (p *Planner) mayStillRun(now clock.Time, id TaskID) bool {
	if now.After(p.inheritedUntil()) {
		return false
	}
	for _, w := range p.fleet {
		if !w.synced && w.possibleTasks[id] {
			return true
		}
	}
	return false
}
