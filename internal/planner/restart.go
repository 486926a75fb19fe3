package planner

import (
	"slices"

	"marjoramstack/pkg/clock"
)

const (
	// keptFor is how long the room that a task that lasts had on a worker is kept
	// for its restart.
	keptFor = 1500 * clock.Millisecond
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

// restart starts the tasks for which room is kept, those first that have waited
// longest.
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
		}
	}
}

// restarts returns the waiting tasks for which room is kept.
func restarts(now clock.Time, backlog []*step) []*task {
	var found []*task
	for _, s := range backlog {
		if !s.spec.LongRunning {
			continue
		}
		for _, t := range s.tasks {
			if t.waiting(now) && t.keeps(now) {
				found = append(found, t)
			}
		}
	}
	slices.SortStableFunc(found, func(a, b *task) int { return int(a.waitsSince().Sub(b.waitsSince())) })
	return found
}
