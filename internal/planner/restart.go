package planner

import (
	"fmt"
	"slices"

	"marjoramstack/pkg/clock"
	"marjoramstack/pkg/document"
)

const (
	// keptFor is how long the room that a task that lasts had on a worker is kept
	// for its restart.
	keptFor = 1500 * clock.Millisecond
	// overdueAfter is how long a task that lasts may be away before room is made
	// for it: the room that comes free on a worker is kept together until it is
	// enough.
	overdueAfter = 2 * clock.Second
	// gatherFor is for how long room is gathered on one worker: short tasks end in
	// that time.
	gatherFor = 2 * clock.Second
	// overdueMost bounds the tasks for which room is made at a time, so that short
	// tasks find room too when many tasks that last lose their workers.
	overdueMost = 16
)

// keepPlace keeps the room of a task that lasts, where it has just ended, for its
// restart there or elsewhere. In a full pool others would take it, and a task that
// needs more than most would not find as much room again.
func (p *Planner) keepPlace(now clock.Time, t *task, w *worker) {
	if !t.step.spec.LongRunning || t.step.spec.Gang || t.destined != nil || t.job().state.Final() {
		return
	}
	t.keepOn(w, now.Add(keptFor))
}

func (t *task) keepOn(w *worker, until clock.Time) {
	t.kept = w
	w.promises = append(w.promises, promise{
		task:  t,
		until: until,
	})
}

// keeps reports whether room is kept for the task.
func (t *task) keeps(now clock.Time) bool {
	if t.kept == nil {
		return false
	}
	return slices.ContainsFunc(t.kept.promises, func(pr promise) bool {
		return pr.task == t && pr.until.After(now)
	})
}

// restart starts the tasks for which room is kept, and makes room for those that are
// overdue.
func (p *Planner) restart(now clock.Time, backlog []*step, known bool) {
	for _, t := range restarts(now, backlog) {
		if p.starting >= startsMost {
			return
		}
		if t.job().inherited && (!known || p.suspected(now, t.id())) {
			continue
		}
		if w := p.choose(now, t, ""); w != nil {
			p.start(now, t, w)
			continue
		}
		if !t.keeps(now) && t.destined == nil {
			p.gather(now, t)
		}
	}
}

// restarts returns the waiting tasks for which room is kept, and those that are
// overdue, the longest waiting first.
func restarts(now clock.Time, backlog []*step) []*task {
	var kept, overdue []*task
	for _, s := range backlog {
		if !s.spec.LongRunning || s.spec.Gang {
			continue
		}
		for _, t := range s.tasks {
			switch {
			case !t.waiting(now):
			case t.keeps(now):
				kept = append(kept, t)
			case t.hasRun() && now.Sub(t.waitsSince()) >= overdueAfter:
				overdue = append(overdue, t)
			}
		}
	}
	sortByWait(overdue)
	more := max(overdueMost-len(kept), 0)
	found := append(kept, overdue[:min(len(overdue), more)]...)
	sortByWait(found)
	return found
}

func sortByWait(tasks []*task) {
	slices.SortStableFunc(tasks, func(a, b *task) int { return int(a.waitsSince().Sub(b.waitsSince())) })
}

// hasRun reports whether the task has been at work. What ran under an earlier owner
// and ended is not known, so a task of a job that had begun counts.
func (t *task) hasRun() bool {
	return t.lastEnd != 0 || t.job().inherited && t.job().state == StateRunning
}

// gather keeps what comes free on a worker for an overdue task: on the one with the
// most free room of those on which enough comes free as short tasks end.
func (p *Planner) gather(now clock.Time, t *task) {
	demand := room(t.step.spec)
	var best *worker
	var most int
	for _, w := range p.fleet {
		if len(w.promises) > 0 || !p.allowedBeside(now, t, w) {
			continue
		}
		free := w.info.Capacity.Minus(w.reserved)
		if !demand.Fits(free.Plus(w.endingSoon())) {
			continue
		}
		if best == nil || free.Processors > most {
			best = w
			most = free.Processors
		}
	}
	if best == nil {
		return
	}
	t.keepOn(best, now.Add(gatherFor))
	p.note(Note{
		Event:   "room-gathered",
		Job:     t.job().spec.ID,
		Task:    t.id().String(),
		Attempt: t.attempt,
		Worker:  best.id,
		Reason:  fmt.Sprintf("needs %d, free %d", demand.Processors, most),
		Age:     now.Sub(t.waitsSince()),
	})
}

// endingSoon sums what the tasks take that end by themselves.
func (w *worker) endingSoon() document.Size {
	var sum document.Size
	for _, r := range w.runs {
		if r.task != nil && !r.task.step.spec.LongRunning {
			sum = sum.Plus(r.demand)
		}
	}
	return sum
}
