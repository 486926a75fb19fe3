package planner

import (
	"slices"

	"marjoramstack/pkg/clock"
)

// completeGang completes a task and, if it belongs to a gang, all members of the gang.
func (p *Planner) completeGang(now clock.Time, t *task) {
	if !t.step.spec.Gang {
		p.complete(now, t)
		return
	}
	for _, member := range t.step.tasks {
		p.complete(now, member)
	}
}

// gangWaiting reports whether every member of the step's gang is to be started now: none is
// done, runs or is backing off.
func (s *step) gangWaiting(now clock.Time) bool {
	for _, t := range s.tasks {
		if !t.waiting(now) {
			return false
		}
	}
	return true
}

// gangAwaitsInheritance reports whether a member that an earlier owner started may still run.
func (p *Planner) gangAwaitsInheritance(now clock.Time, s *step) bool {
	return slices.ContainsFunc(s.tasks, func(t *task) bool { return p.awaitsInheritance(now, t) })
}

// placeGang starts all members of a gang or none, with the same attempt number and checkpoint. It
// reports false only if there are not enough workers. A gang that must not start yet is left as it
// is, as is one that has ended: its end may have become known after the step was listed for
// placement.
func (p *Planner) placeGang(now clock.Time, s *step) bool {
	if !s.gangWaiting(now) || p.gangAwaitsInheritance(now, s) {
		return true
	}
	if !p.withinQuota(s, len(s.tasks), nil) {
		s.lastWaitReason = waitQuota
		return true
	}
	if !p.lend(now, s, len(s.tasks)) {
		s.lastWaitReason = waitAboveRate
		return true
	}
	workers, ok := p.chooseGangWorkers(now, s)
	if !ok {
		return false
	}
	attempt := 0
	checkpoint := ""
	for _, t := range s.tasks {
		attempt = max(attempt, t.nextAttempt(p.opts.Epoch))
		if t.checkpoint != "" {
			checkpoint = t.checkpoint
		}
	}
	for i, t := range s.tasks {
		t.lastAttempt = attempt
		t.checkpoint = checkpoint
		p.startAttempt(now, t, workers[i], attempt)
	}
	return true
}

// chooseGangWorkers chooses a worker for each member. If the gang prefers one rack, it uses
// the first rack with enough room, else workers of any rack.
func (p *Planner) chooseGangWorkers(now clock.Time, s *step) ([]*worker, bool) {
	if s.spec.SameRack {
		for _, rack := range p.usableRacks(now) {
			if workers, ok := p.chooseGangWorkersInRack(now, s, rack); ok {
				return workers, true
			}
		}
	}
	return p.chooseGangWorkersInRack(now, s, "")
}

// chooseGangWorkersInRack chooses workers of a rack, or of all racks if rack is empty.
func (p *Planner) chooseGangWorkersInRack(now clock.Time, s *step, rack string) ([]*worker, bool) {
	var workers []*worker
	ranked := p.newRanking(rack)
	for _, t := range s.tasks {
		w := p.chooseNext(now, t, ranked)
		if w == nil {
			break
		}
		// Account for the member while the others are placed.
		w.allocated = w.allocated.Plus(allocation(s.spec))
		w.plannedGang = append(w.plannedGang, s)
		workers = append(workers, w)
	}
	for _, w := range workers {
		w.allocated = w.allocated.Minus(allocation(s.spec))
		w.plannedGang = nil
	}
	return workers, len(workers) == len(s.tasks)
}

// stopBrokenGangs stops the remaining members of gangs of which a member has ended.
func (p *Planner) stopBrokenGangs(now clock.Time) {
	for _, j := range p.activeJobs {
		if !j.gangs || j.running == 0 {
			continue
		}
		for _, o := range j.occurrences {
			for _, s := range o.steps {
				if s.spec.Gang && s.open > 0 {
					p.stopBrokenGang(now, s)
				}
			}
		}
	}
}

func (p *Planner) stopBrokenGang(now clock.Time, s *step) {
	running := 0
	for _, t := range s.tasks {
		running += len(t.runs)
	}
	if running == 0 || running == len(s.tasks) {
		return
	}
	for _, t := range s.tasks {
		p.stopAll(now, t, nil)
	}
}
