package planner

import (
	"cmp"
	"fmt"
	"slices"

	"marjoramstack/pkg/clock"
	"marjoramstack/pkg/document"
)

const (
	// keptFor is how long the room that a task that lasts had on a worker is kept
	// for its restart.
	restartReservationTTL = 1500 * clock.Millisecond
	// overdueAfter is how long a task that lasts may be away before room is made
	// for it: the room that comes free on a worker is kept together until it is
	// enough.
	overdueAfter = 2 * clock.Second
	// gatherFor is for how long room is gathered on one worker: short tasks end in
	// that time.
	gatherReservationTTL = 2 * clock.Second
	// overdueMost bounds the tasks that have their turn before short ones in each
	// turnsEvery, so that short tasks find room too when many tasks that last lose
	// their workers. Those for which there is no room and none can be made don't
	// count.
	maxOverdueTurns     = 16
	overdueTurnInterval = 1 * clock.Second
	// restartsBeyond is how many starts beyond startsMost may be under way for tasks
	// that are restarted: short tasks take each that comes free between passes.
	extraRestarts = 16
)

// keepPlace keeps the room of a task that lasts, where it has just ended, for its
// restart there or elsewhere. In a full pool others would take it, and a task that
// needs more than most would not find as much room again.
func (p *Planner) reservePlace(now clock.Time, t *task, w *worker) {
	if !t.step.spec.LongRunning || t.step.spec.Gang || t.job().state.Final() || p.destination(now, t) != nil {
		return
	}
	if w.renewFailures > 0 || w.info.Leaving || p.ops.LeavingZones[w.info.Zone] {
		t.displaced = true
		return
	}
	t.reserveOn(w, now.Add(restartReservationTTL))
}

func (t *task) reserveOn(w *worker, until clock.Time) {
	t.reservedWorker = w
	w.reservations = append(w.reservations, reservation{
		task:  t,
		until: until,
	})
}

// keeps reports whether room is kept for the task.
func (t *task) hasReservation(now clock.Time) bool {
	if t.reservedWorker == nil {
		return false
	}
	return slices.ContainsFunc(t.reservedWorker.reservations, func(res reservation) bool {
		return res.task == t && res.until.After(now)
	})
}

// restart starts the tasks for which room is kept, those that move among them, and
// makes room for those that are overdue.
func (p *Planner) restartLongRunning(now clock.Time, backlog []*step, known bool) {
	reserved, overdue := p.restartCandidates(now, backlog)
	if now.Sub(p.overdueTurnsAt) >= overdueTurnInterval {
		p.overdueTurns = maxOverdueTurns
		p.overdueTurnsAt = now
	}
	unplaceable := map[*step]bool{} // no worker has room, and none can be made
	for _, t := range sortedForRestart(slices.Concat(reserved, overdue)) {
		switch {
		case p.startsInFlight >= maxStartsInFlight+extraRestarts:
			return
		case t.job().inherited && (!known || p.mayStillRun(now, t.id())):
			// It may still run where an earlier owner started it.
		case t.hasReservation(now) || t.moveTarget != nil:
			p.startIfPlaceable(now, t)
		case p.overdueTurns == 0 || unplaceable[t.step]:
			// It waits with the others of its kind.
		case p.startIfPlaceable(now, t) || p.gatherRoom(now, t):
			p.overdueTurns--
		default:
			unplaceable[t.step] = true
		}
	}
}

// startPlaced starts a task if a worker may have it now, and reports whether one may.
func (p *Planner) startIfPlaceable(now clock.Time, t *task) bool {
	w := p.choose(now, t, "")
	if w == nil {
		return false
	}
	p.start(now, t, w)
	return true
}

// restarts returns the waiting tasks for which room is kept, and those that are
// overdue or have lost their workers.
func (p *Planner) restartCandidates(now clock.Time, backlog []*step) (reserved, overdue []*task) {
	for _, s := range backlog {
		if !s.spec.LongRunning || s.spec.Gang {
			continue
		}
		for _, t := range s.tasks {
			switch {
			case !t.waiting(now):
			case t.hasReservation(now) || p.destination(now, t) != nil:
				reserved = append(reserved, t)
			case t.displaced || t.hasRun() && now.Sub(t.waitingSince()) >= overdueAfter:
				overdue = append(overdue, t)
			}
		}
	}
	return reserved, overdue
}

// sortedForRestart puts the largest tasks first, since the fewest workers have room for
// them, and of one size the longest waiting.
func sortedForRestart(tasks []*task) []*task {
	slices.SortStableFunc(tasks, func(a, b *task) int {
		return cmp.Or(
			allocation(b.step.spec).Processors-allocation(a.step.spec).Processors,
			int(a.waitingSince().Sub(b.waitingSince())),
		)
	})
	return tasks
}

// hasRun reports whether the task has been at work. What ran under an earlier owner
// and ended is not known, so a task of a job that had begun counts.
func (t *task) hasRun() bool {
	return t.lastEnd != 0 || t.job().inherited && t.job().state == StateRunning
}

// gather keeps what comes free on a worker for an overdue task: on the one on which
// enough is free soonest, as short tasks end. It reports whether there is one.
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
	t.reserveOn(best, now.Add(gatherReservationTTL))
	p.log(LogEntry{
		Event:   "room-gathered",
		Job:     t.job().spec.ID,
		Task:    t.id().String(),
		Attempt: t.lastAttempt,
		Worker:  best.id,
		Reason:  fmt.Sprintf("needs %d, expected in %s", demand.Processors, soonest.Sub(now)),
		Age:     now.Sub(t.waitingSince()),
	})
	return true
}

// fitsFrom returns when a size is expected to fit on the worker if nothing else is
// started there; ok is false if what ends by itself doesn't leave enough.
func (w *worker) earliestFit(now clock.Time, size document.Size) (at clock.Time, ok bool) {
	at = now
	free := w.info.Capacity.Minus(w.reserved)
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

// endsAt is when a run that ends by itself is expected to end.
func (r *run) expectedEnd() clock.Time {
	return max(r.startedAt, r.orderedAt).Add(r.task.step.spec.Estimate)
}
