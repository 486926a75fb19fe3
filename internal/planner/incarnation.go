package planner

import (
	"slices"

	"marjoramstack/pkg/clock"
)

// lateOrdersFor is how long after it was sent an order may be carried out.
const maxOrderDelay = 15 * clock.Second

// reborn takes note that a worker lives another life: nothing of before runs.
func (p *Planner) newIncarnation(now clock.Time, w *worker, incarnation int64) {
	if w.synced {
		p.endStartedRuns(now, w)
		// It has forgotten the epoch. Only an owner that can still write may start
		// anything there.
		w.record = recordNone
	}
	w.incarnation = incarnation
	p.stopLateStarts(now, w)
	w.appliedEnd = 0
	w.ackedEnd = 0
	w.grantedUntil = 0
	w.health = health{}
	p.log(LogEntry{
		Event:  "worker-incarnation",
		Worker: w.info.ID,
	})
}

// loseBegun ends what ran in an earlier life of a worker. A start that was not
// answered may still be carried out in this life, so it stays in doubt until a
// stop has come first.
func (p *Planner) endStartedRuns(now clock.Time, w *worker) {
	for _, r := range w.sortedRuns() {
		if r.startedAt != 0 || r.confirmedAt != 0 {
			p.stats.Lapsed++
			p.endRun(now, r, EndLapsed, r.checkpoint)
			continue
		}
		r.stopAckedAt = 0
		if r.phase == runStopping {
			r.phase = runStartUnknown
		}
	}
}

// leftUnanswered remembers a start for as long as it may be carried out.
func (w *worker) addUnanswered(now clock.Time, r *run) {
	w.unansweredStarts = slices.DeleteFunc(w.unansweredStarts, func(u unansweredStart) bool { return now.Sub(u.ordered) > maxOrderDelay })
	w.unansweredStarts = append(w.unansweredStarts, unansweredStart{
		key:     r.key,
		ordered: r.orderedAt,
	})
}

// refuseLate makes a new life of a worker refuse starts that its earlier life left
// unanswered: it knows nothing of the stops that came then.
func (p *Planner) stopLateStarts(now clock.Time, w *worker) {
	for _, u := range w.unansweredStarts {
		if w.runs[u.key] == nil && now.Sub(u.ordered) < maxOrderDelay {
			p.order(Stop{
				Target:  w.target(),
				Task:    u.key.task,
				Attempt: u.key.attempt,
			})
		}
	}
	w.unansweredStarts = nil
}

// replaced takes note that another worker answers at the address: this one is
// gone, and nothing of it runs.
func (p *Planner) workerReplaced(now clock.Time, w *worker) {
	if len(w.runs) > 0 {
		p.endAllRuns(now, w, "another worker answers at its address")
	}
	w.possibleTasks = map[TaskID]bool{}
	if w.record == recordInexact || w.record == recordFrozen {
		w.record = recordNone
		p.recordsToDrop[w.id] = true
	}
	p.passNeeded = true
}
