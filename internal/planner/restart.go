package planner

import (
	"cmp"
	"fmt"
	"slices"

	"marjoramstack/pkg/clock"
	"marjoramstack/pkg/document"
)

const (
	// overdueAfter is how long a long-running task may be down before capacity is
	// gathered for it: capacity that is freed on one worker stays reserved until it
	// suffices.
	overdueAfter = 2 * clock.Second
	// restartReservationTTL is how long the capacity that a long-running task used on
	// a worker stays reserved for its restart. It exceeds overdueAfter, so that the
	// capacity is not lost before other capacity is gathered.
	restartReservationTTL = overdueAfter + 500*clock.Millisecond
	// gatherReservationTTL is how long capacity is gathered on one worker at least. Most
	// short tasks end within that time. If others are expected to end later, it is gathered
	// until gatherMargin after that, for at most maxGatherTTL.
	gatherReservationTTL = 2 * clock.Second
	gatherMargin         = 500 * clock.Millisecond
	maxGatherTTL         = 5 * clock.Second
	// maxOverdueTurns is how many overdue tasks are placed ahead of short ones in each
	// overdueTurnInterval, so that short tasks are still placed when many long-running
	// tasks lose their workers. Tasks for which no capacity is free and none can be
	// gathered do not count.
	maxOverdueTurns     = 16
	overdueTurnInterval = 1 * clock.Second
	// extraRestarts is how many starts beyond the limit may be in flight for
	// tasks that are restarted. Without them short tasks would take each start that is
	// freed between passes.
	extraRestarts = 16
)

// reservePlace reserves the capacity of a long-running task on the worker to which it
// moves, or else on the one where it has just ended, until the task restarts there or
// elsewhere. In a full pool other tasks would take the capacity, and a task with a large
// demand would not find as much again.
func (p *Planner) reservePlace(now clock.Time, t *task, w *worker) {
	if !t.step.spec.LongRunning || t.step.spec.Gang || t.job().state.Final() {
		return
	}
	if to := p.destination(now, t); to != nil {
		w = to
	}
	if w.renewFailures > 0 || w.info.Leaving || p.ops.LeavingZones[w.info.Zone] {
		t.displaced = true
		t.moveTarget = nil
		return
	}
	t.reserveOn(w, now.Add(restartReservationTTL))
}

// keepPlace reserves the capacity of a long-running task on a worker that did not carry
// out its start, unless the worker lacks the capacity.
func (p *Planner) keepPlace(now clock.Time, r *run, outcome Outcome) {
	if r.task != nil && r.task.hasRun() && len(r.task.runs) == 0 && outcome != OutcomeFull {
		p.reservePlace(now, r.task, r.worker)
	}
}

// reserveOn reserves capacity on a worker in place of any that it holds for the task.
func (t *task) reserveOn(w *worker, until clock.Time) {
	t.reservedWorker = w
	w.reservations = slices.DeleteFunc(w.reservations, func(res reservation) bool { return res.task == t })
	w.reservations = append(w.reservations, reservation{
		task:  t,
		until: until,
	})
}

// hasReservation reports whether capacity is reserved for the task's restart.
func (t *task) hasReservation(now clock.Time) bool {
	if t.reservedWorker == nil {
		return false
	}
	return slices.ContainsFunc(t.reservedWorker.reservations, func(res reservation) bool {
		return res.task == t && res.until.After(now)
	})
}

// restartLongRunning starts the long-running tasks that have a reservation, including
// those that move to another worker, and gathers capacity for overdue ones.
func (p *Planner) restartLongRunning(now clock.Time, backlog []*step) {
	reserved, overdue := p.restartCandidates(now, backlog)
	if now.Sub(p.overdueTurnsAt) >= overdueTurnInterval {
		p.overdueTurns = maxOverdueTurns
		p.overdueTurnsAt = now
	}
	unplaceable := map[*step]bool{} // nothing is free and nothing can be gathered
	for _, t := range sortedForRestart(slices.Concat(reserved, overdue)) {
		switch {
		case p.starts.fullForRestarts():
			return
		case p.awaitsInheritance(now, t):
			// The task may still run where an earlier owner started it.
		case !p.withinQuota(t.step, 1, t):
			t.step.lastWaitReason = waitQuota
		case p.overdueTurns > 0 && p.leaveRefusingWorker(now, t):
			p.overdueTurns--
		case t.hasReservation(now):
			if !p.startIfPlaceable(now, t) && p.overdueTurns > 0 && p.replacePlace(now, t) {
				p.overdueTurns--
			}
		case p.overdueTurns == 0 || unplaceable[t.step]:
			// The task waits for its place in the backlog.
		case p.startIfPlaceable(now, t) || p.gatherRoom(now, t):
			p.overdueTurns--
		default:
			unplaceable[t.step] = true
		}
	}
}

// startIfPlaceable starts a task if a worker can run it now, and reports whether one can.
func (p *Planner) startIfPlaceable(now clock.Time, t *task) bool {
	w := p.choose(now, t, "")
	if w == nil {
		return false
	}
	p.start(now, t, w)
	return true
}

// replacePlace gathers capacity for an overdue task whose reservation is on a worker that
// cannot be used, and reports whether it has found some.
func (p *Planner) replacePlace(now clock.Time, t *task) bool {
	w := t.reservedWorker
	return w != nil && t.overdue(now) && !p.usable(now, w) && p.gatherRoom(now, t)
}

// leaveRefusingWorker gathers capacity for an overdue task elsewhere if its reservation is
// on a worker that refused or lost its starts, and reports whether it has found some. The
// task must not return to such workers while the capacity is gathered.
func (p *Planner) leaveRefusingWorker(now clock.Time, t *task) bool {
	return slices.Contains(t.refusedBy, t.reservedWorker) && t.overdue(now) && p.gatherRoom(now, t)
}

// avoids reports whether the task must not be started on a worker now.
func (t *task) avoids(now clock.Time, w *worker) bool {
	return t.avoidUntil.After(now) && slices.Contains(t.refusedBy, w)
}

// refused remembers a worker that refused or lost a start of the task.
func (t *task) refused(w *worker) {
	if !slices.Contains(t.refusedBy, w) {
		t.refusedBy = append(t.refusedBy, w)
	}
}

// overdue reports whether the task has run before and has been down for too long.
func (t *task) overdue(now clock.Time) bool {
	return t.hasRun() && now.Sub(t.waitingSince()) >= overdueAfter
}

// restartCandidates returns the waiting long-running tasks that have a reservation,
// and those that are overdue or have lost their workers.
func (p *Planner) restartCandidates(now clock.Time, backlog []*step) (reserved, overdue []*task) {
	for _, s := range backlog {
		if !s.spec.LongRunning || s.spec.Gang {
			continue
		}
		for _, t := range s.tasks {
			switch {
			case !t.waiting(now):
			case t.hasReservation(now):
				reserved = append(reserved, t)
			case t.displaced || t.overdue(now):
				overdue = append(overdue, t)
			}
		}
	}
	return reserved, overdue
}

// sortedForRestart sorts tasks by demand, the largest first, since the fewest workers
// have room for them, and tasks of equal demand by waiting time, the longest first.
func sortedForRestart(tasks []*task) []*task {
	slices.SortStableFunc(tasks, func(a, b *task) int {
		return cmp.Or(
			allocation(b.step.spec).Processors-allocation(a.step.spec).Processors,
			int(a.waitingSince().Sub(b.waitingSince())),
		)
	})
	return tasks
}

// hasRun reports whether the task may have run before. The ends of tasks under an
// earlier owner are unknown, so every task of an inherited running job counts.
func (t *task) hasRun() bool {
	return t.lastEnd != 0 || t.job().inherited && t.job().state == StateRunning
}

// gatherRoom reserves capacity for an overdue task on the worker where enough is
// expected to be free soonest, as short tasks end. It reports whether there is one.
func (p *Planner) gatherRoom(now clock.Time, t *task) bool {
	demand := allocation(t.step.spec)
	var best *worker
	var soonest clock.Time
	for _, w := range p.fleet {
		if len(w.reservations) > 0 || !p.eligible(now, t, w) {
			continue
		}
		at, ok := w.earliestFit(now, demand)
		if ok && (best == nil || at.Before(soonest)) {
			best = w
			soonest = at
		}
	}
	if best == nil {
		return false
	}
	t.moveTarget = nil
	ttl := min(max(soonest.Sub(now)+gatherMargin, gatherReservationTTL), maxGatherTTL)
	t.reserveOn(best, now.Add(ttl))
	t.avoidUntil = now.Add(ttl)
	p.log(LogEntry{
		Event:   "room-gathered",
		Job:     t.job().spec.ID,
		Task:    t.id().String(),
		Attempt: t.lastAttempt,
		Worker:  best.id,
		Reason:  fmt.Sprintf("needs %d thousandths of a processor, expected to be free in %s", demand.Processors, soonest.Sub(now)),
		Age:     now.Sub(t.waitingSince()),
	})
	return true
}

// earliestFit returns when a size is expected to fit on the worker if nothing else is
// started there. ok is false if it does not fit even after all short tasks have ended.
func (w *worker) earliestFit(now clock.Time, size document.Size) (at clock.Time, ok bool) {
	at = now
	free := w.info.Capacity.Minus(w.allocated)
	var ending []*run
	for _, r := range w.runs {
		if r.task != nil && !r.task.step.spec.LongRunning {
			ending = append(ending, r)
			free = free.Plus(r.demand)
		}
	}
	if !size.Fits(free) {
		return 0, false
	}
	slices.SortFunc(ending, func(a, b *run) int { return int(a.expectedEnd().Sub(b.expectedEnd())) })
	for _, r := range slices.Backward(ending) {
		free = free.Minus(r.demand)
		if !size.Fits(free) {
			return max(at, r.expectedEnd()), true
		}
	}
	return at, true
}

// expectedEnd returns when a run of a short task is expected to end.
func (r *run) expectedEnd() clock.Time {
	return max(r.startedAt, r.orderedAt).Add(r.task.step.spec.Estimate)
}
