package planner

import (
	"slices"
	"strconv"

	"marjoramstack/pkg/clock"
)

// maxOrderDelay is how long after it was sent an order may still be carried out.
const maxOrderDelay = 15 * clock.Second

// maxReportDelay is how long after it was ordered the answer to a renewal may be read.
const maxReportDelay = 8 * clock.Second

// newer reports whether a report of another incarnation than the known one is certainly of a
// later one: an earlier one can't answer what was ordered once the known one had reported. The
// numbers don't tell, since the worker's time of day may have been set back.
func (m Renewed) newer(w *worker) bool {
	if m.Ordered == 0 {
		return m.Report.Incarnation > w.incarnation
	}
	return !m.Ordered.Before(w.receivedAt)
}

// newIncarnation handles a report of a worker that has restarted, after which no earlier
// attempt runs.
func (p *Planner) newIncarnation(now clock.Time, w *worker, m Renewed) {
	w.incarnation = m.Report.Incarnation
	if w.synced {
		p.restartNoticedAt = now
		p.endStartedRuns(now, w, m)
		// The worker has forgotten the epoch, so it would accept starts of a replaced
		// owner. Requiring a new durable record excludes such an owner.
		w.withoutRecord()
		w.leaseWithheld = true   // the renewal in flight was for the earlier incarnation
		w.silentRecorded = false // the rest that it states is that of the earlier one, and a start needs a new row
		p.recordsCurrent = false
	}
	p.stopLateStarts(now, w)
	w.appliedEnd = 0
	w.ackedEnd = 0
	w.unclaimedEnds = nil
	w.grantedUntil = m.Report.WorkerTime.Add(p.unknownLease(now, w))
	w.health = health{}
	p.log(LogEntry{
		Event:  "worker-incarnation",
		Worker: w.info.ID,
		Reason: w.incarnationReason(m.Report.WorkerTime),
	})
}

// incarnationReason says, for the log, what a restarted worker may hold; "" if it is new.
func (w *worker) incarnationReason(clockShows clock.Time) string {
	if !w.synced {
		return ""
	}
	return "its clock shows " + clock.Span(clockShows).String() + ", starts in doubt " + strconv.Itoa(len(w.runs)) +
		", leases for at most " + w.grantedUntil.Sub(clockShows).String()
}

// endStartedRuns ends the runs of an earlier incarnation of a worker. The new one takes calls
// that were sent to the earlier one. It may still carry out a start that was not answered, so
// such a run stays until a stop is acknowledged by the new one; and a start that was
// accepted may run in the new one if no report of the earlier one lists it.
func (p *Planner) endStartedRuns(now clock.Time, w *worker, m Renewed) {
	for _, r := range w.sortedRuns() {
		confirmed := r.confirmedAt
		accepted := r.listedAt == 0 && confirmed != 0 && !m.earlierThan(r)
		if !accepted && (r.startedAt != 0 || confirmed != 0) {
			p.stats.Lapsed++
			p.endRun(now, r, EndLapsed, r.checkpoint)
			continue
		}
		r.lifeTimes = lifeTimes{}
		if accepted {
			r.confirmedAt = confirmed // a later report lists the run, unless it ran in the earlier one
		}
		if r.phase == runStopping {
			p.sendStop(now, r)
		}
	}
}

// maxCallTime is how long after it was ordered a call to a worker may reach it: the caller
// has closed the connection by then.
const maxCallTime = 6 * clock.Second

// unknownLease returns how long a lease may last at most on an incarnation of a worker that has
// just reported for the first time. An earlier owner may have given it one; it takes no more
// calls of that. And it has carried out a renewal or start that this owner sent to an earlier
// incarnation, or will do so: a deadline on the clock of that one is mostly so late that the
// worker grants the longest lease.
func (p *Planner) unknownLease(now clock.Time, w *worker) clock.Span {
	latest := w.deadlineSentAt.Add(maxCallTime)
	return max(latest.Sub(now), 0) + p.longestLease
}

// restartMemory is how long after a worker has restarted under its identifier the owner reckons
// with other workers that have done so unnoticed.
const restartMemory = 1 * clock.Minute

// unnoticedExpiry returns when the leases have expired that a worker which does not answer may
// have granted in an incarnation that the owner has not noticed. Such a one runs nothing but
// starts that were not answered. It is looked for only while workers restart: a start in doubt
// is far more often one that a cut link has lost.
func (p *Planner) unnoticedExpiry(w *worker) clock.Time {
	var expiry clock.Time
	if p.restartNoticedAt == 0 {
		return expiry
	}
	span := maxCallTime + p.longestLease
	for _, r := range w.ordered {
		if r.inDoubt() && r.orderedAt.Sub(p.restartNoticedAt) < restartMemory {
			expiry = max(expiry, r.orderedAt.Add(span+span*driftPermille/milliScale+driftMargin))
		}
	}
	return expiry
}

// inDoubt reports whether the incarnation to which a start was sent may not have got it.
func (r *run) inDoubt() bool {
	return r.phase != runPlanned && r.listedAt == 0 && (r.confirmedAt == 0 || r.newerConfirmed)
}

// earlierThan reports whether the incarnation that accepted a start is an earlier one than that
// of the report: its clock showed more than that of the report's incarnation can have shown
// when the owner read the answer.
func (m Renewed) earlierThan(r *run) bool {
	ordered := m.Ordered
	if ordered == 0 {
		ordered = m.Received.Add(-maxReportDelay)
	}
	passed := r.answeredAt.Sub(ordered)
	slow := max(passed, -passed) * driftPermille / milliScale
	return r.confirmedAt.After(m.Report.WorkerTime.Add(passed + slow + driftMargin))
}

// confirm notes that a worker has accepted a start, at the given time on its clock.
func (p *Planner) confirm(now clock.Time, r *run, at clock.Time) {
	r.confirmedAt = max(r.confirmedAt, at)
	r.answeredAt = now
	p.watchExpiry(r.worker) // its lease may expire earlier without a start in doubt
	if at.Before(r.earliestAnswer()) {
		r.newerConfirmed = true
		p.poll(r.worker)
	}
}

// earliestAnswer returns the earliest time that the clock of the incarnation to which a start
// was sent can have shown when it accepted the start.
func (r *run) earliestAnswer() clock.Time {
	return r.startDeadline.Add(-startWindow - startWindow*driftPermille/milliScale - driftMargin)
}

// addUnanswered stores an unanswered start for as long as it may be carried out.
func (w *worker) addUnanswered(now clock.Time, r *run) {
	w.dropOldUnanswered(now)
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
	// A later incarnation has to be told again.
	w.dropOldUnanswered(now)
}

// dropOldUnanswered forgets the unanswered starts that are not carried out any more.
func (w *worker) dropOldUnanswered(now clock.Time) {
	w.unansweredStarts = slices.DeleteFunc(w.unansweredStarts, func(u unansweredStart) bool { return now.Sub(u.orderedAt) > maxOrderDelay })
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
