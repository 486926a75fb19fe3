package planner

import (
	"slices"

	"marjoramstack/pkg/clock"
)

// maxOrderDelay is how long after it was sent an order may still be carried out.
const maxOrderDelay = 15 * clock.Second

// newIncarnation handles a restart of a worker, after which no earlier attempt runs.
func (p *Planner) newIncarnation(now clock.Time, w *worker, incarnation int64) {
	if w.synced {
		p.endStartedRuns(now, w)
		// The worker has forgotten the epoch, so it would accept starts of a replaced
		// owner. Requiring a new durable record excludes such an owner.
		w.withoutRecord()
		w.leaseWithheld = true   // the renewal in flight was for the earlier incarnation
		w.silentRecorded = false // no lease outlives a restart, and a start needs a new row
		p.recordsCurrent = false
	}
	w.incarnation = incarnation
	p.stopLateStarts(now, w)
	w.appliedEnd = 0
	w.ackedEnd = 0
	w.unclaimedEnds = nil
	w.grantedUntil = 0
	w.health = health{}
	p.log(LogEntry{
		Event:  "worker-incarnation",
		Worker: w.info.ID,
	})
}

// endStartedRuns ends the runs of an earlier incarnation of a worker. The new one may
// still carry out a start that was not answered, so such a run stays in
// runStartUnknown until a stop is acknowledged.
func (p *Planner) endStartedRuns(now clock.Time, w *worker) {
	for _, r := range w.sortedRuns() {
		if r.startedAt != 0 || r.confirmedAt != 0 {
			p.stats.Lapsed++
			p.endRun(now, r, EndLapsed, r.checkpoint)
			continue
		}
		r.lifeTimes = lifeTimes{}
		if r.phase == runStopping {
			r.setPhase(runStartUnknown)
		}
	}
}

// addUnanswered stores an unanswered start for as long as it may be carried out.
func (w *worker) addUnanswered(now clock.Time, r *run) {
	w.unansweredStarts = slices.DeleteFunc(w.unansweredStarts, func(u unansweredStart) bool { return now.Sub(u.orderedAt) > maxOrderDelay })
	w.unansweredStarts = append(w.unansweredStarts, unansweredStart{
		key:       r.key,
		orderedAt: r.orderedAt,
	})
}

// stopLateStarts makes a new incarnation of a worker refuse starts that the earlier one
// did not answer: it does not know about stops acknowledged before the restart.
func (p *Planner) stopLateStarts(now clock.Time, w *worker) {
	for _, u := range w.unansweredStarts {
		if w.runs[u.key] == nil && now.Sub(u.orderedAt) < maxOrderDelay {
			p.order(Stop{
				Target:  w.target(),
				Task:    u.key.task,
				Attempt: u.key.attempt,
			})
		}
	}
	w.unansweredStarts = nil
}

// workerReplaced handles a worker at whose address another one answers: it no longer
// exists, and none of its attempts run.
func (p *Planner) workerReplaced(now clock.Time, w *worker) {
	if len(w.runs) > 0 {
		p.endAllRuns(now, w, "another worker answers at its address")
	}
	w.possibleTasks = map[TaskID]bool{}
	if w.record == recordInexact || w.record == recordFrozen {
		w.withoutRecord()
		p.recordsCurrent = false
		p.recordsToDrop[w.id] = true
	}
	p.passNeeded = true
}
