package planner

import "marjoramstack/pkg/clock"

// maxEndsPerReport is the maximum number of ends in one report.
const maxEndsPerReport = 500

// renewed processes a worker's report.
func (p *Planner) renewed(now clock.Time, m Renewed) {
	w := p.workers[m.Worker]
	if w == nil {
		return
	}
	if !m.Extra {
		p.endRenewal(w)
		w.reachedAt = w.renewAddress
	}
	if w.synced && m.Report.Incarnation != w.incarnation && !m.newer(w) {
		p.poll(w) // a late answer of an earlier incarnation, or a new one has come since
		return
	}
	if !w.synced || m.Report.Incarnation != w.incarnation {
		p.newIncarnation(now, w, m)
	} else if m.Report.WorkerTime.Before(w.workerTime) {
		return // a later answer arrived first
	}
	if w.renewFailures > 0 || !w.synced {
		p.recordsCurrent = false
	}
	if w.renewFailures > 0 {
		p.log(LogEntry{
			Event:  "worker-reached",
			Worker: m.Worker,
		})
	}
	first := !w.synced
	if first {
		p.outdateRecord(w) // an earlier owner wrote it
	}
	w.renewFailures = 0
	w.synced = true
	w.endsRead = w.endsRead || len(m.Report.Ended) < maxEndsPerReport
	w.workerTime = m.Report.WorkerTime
	w.receivedAt = m.Received
	p.applyEnds(now, w, m.Report.Ended)
	afterTakeover := !m.Extra && !w.renewSentAt.Before(p.opts.Takeover)
	p.applyRunning(now, w, m.Report, afterTakeover)
	w.forecast = nil
	p.observe(now, w)
	p.mendSpeeds(now, w)
	w.updateLowestMargin()
	if !m.Extra {
		at := p.earliestRenewal(now, w)
		if w.appliedEnd > w.ackedEnd && (len(p.dirty) > 0 || p.inFlight != nil || len(w.unclaimedEnds) > 0) && !first {
			at = now.Add(waitUncommitted)
		}
		if w.silentRecorded {
			at = now.Add(retryMin) // it gets a lease once its row is replaced
		}
		p.scheduleRenewal(w, at)
	}
	p.watchExpiry(w)
	if first || w.bestEffortProcessors > 0 {
		p.passNeeded = true
	}
}

func (p *Planner) applyEnds(now clock.Time, w *worker, ended []Ended) {
	for _, e := range ended {
		if e.Number <= w.appliedEnd {
			continue
		}
		w.appliedEnd = e.Number
		r := w.runs[runKey{task: e.Task, attempt: e.Attempt}]
		if r != nil && r.task != nil {
			r.task.job().markStarted(p)
			p.endRun(now, r, e.How, e.Checkpoint)
			continue
		}
		if r != nil {
			p.detach(now, r)
		}
		if t := p.findTask(e.Task); t != nil {
			p.applyUnknownEnd(now, t, w, e)
			continue
		}
		p.holdUnclaimed(w, e)
	}
}

// applyRunning processes the running attempts that a worker lists. afterTakeover is true if
// the report was asked for when no earlier owner acted any more.
func (p *Planner) applyRunning(now clock.Time, w *worker, report Report, afterTakeover bool) {
	for _, reported := range report.Running {
		key := runKey{
			task:    reported.Task,
			attempt: reported.Attempt,
		}
		r := w.runs[key]
		if r == nil {
			r = p.adopt(now, w, key)
		}
		r.update(now, reported)
		if r.task == nil {
			continue
		}
		r.task.job().markStarted(p)
		if afterTakeover {
			r.task.account()
		}
	}
	for _, r := range w.unlistedRuns(now) {
		p.handleMissing(now, r, report)
	}
}

// unlistedRuns returns the runs that the report processed at the given time does not list.
func (w *worker) unlistedRuns(now clock.Time) []*run {
	var unlisted []*run
	for _, r := range w.ordered {
		if r.listedAt != now {
			unlisted = append(unlisted, r)
		}
	}
	return unlisted
}

// update stores what a worker reports of a run.
func (r *run) update(now clock.Time, reported Running) {
	if r.phase == runStartSent || r.phase == runStartUnknown {
		r.setPhase(runStarted)
	}
	if r.startedAt == 0 {
		r.startedAt = now
	}
	r.listedAt = now
	r.missingSince = 0
	r.updateProgress(now, reported.Percent)
	r.metric = reported.Metric
	if reported.Checkpoint != "" {
		r.checkpoint = reported.Checkpoint
	}
	r.markChanged()
}

// adopt adds a reported run that this owner did not start. It stops the run if its
// task is unknown or done, or if it already runs elsewhere and is not speculative.
func (p *Planner) adopt(now clock.Time, w *worker, key runKey) *run {
	t := p.findTask(key.task)
	r := p.attach(w, t, key)
	r.setPhase(runStarted)
	r.orderedAt = now
	r.adopted = true
	r.speedOrderedAt = now
	r.confirmedAt = w.workerTime
	if t == nil || t.done || t.job().state.Final() {
		p.stop(now, r, "not wanted")
		return r
	}
	if len(t.runs) > 1 && !t.step.spec.Speculative {
		p.stop(now, r, "task already runs elsewhere")
		return r
	}
	p.log(LogEntry{
		Event:   "task-adopted",
		Job:     key.task.Job,
		Task:    key.task.String(),
		Attempt: key.attempt,
		Worker:  w.info.ID,
	})
	return r
}

// missingMargin is how much longer than StopGrace a run may be missing from a worker's
// reports before it counts as ended.
const missingMargin = 150 * clock.Millisecond

// handleMissing handles a run that the worker reports neither as running nor as
// ended.
func (p *Planner) handleMissing(now clock.Time, r *run, report Report) {
	if r.phase == runPlanned || r.phase == runStartSent || len(report.Ended) >= maxEndsPerReport {
		return
	}
	if r.startedAt == 0 {
		p.resolveStart(now, r, report)
		return
	}
	// It has run, so its end will be reported. While it is being stopped it may be
	// in neither list.
	if r.newerConfirmed || !report.WorkerTime.After(r.confirmedAt) {
		return
	}
	if p.missingTooLong(r, report) {
		p.endRun(now, r, EndLapsed, r.checkpoint)
	}
}

// missingTooLong reports whether a run has been in neither list for longer than a worker takes
// to stop one.
func (p *Planner) missingTooLong(r *run, report Report) bool {
	if r.missingSince == 0 {
		r.missingSince = report.WorkerTime
	}
	return report.WorkerTime.Sub(r.missingSince) >= p.opts.StopGrace+missingMargin
}

// resolveStart handles a start that was neither answered nor reported as running. The
// worker may still carry it out, until the start's deadline has passed on the
// worker's clock or the worker has acknowledged a stop. If it has been told to stop the
// attempt, it may have carried out the start before and be stopping the run.
func (p *Planner) resolveStart(now clock.Time, r *run, report Report) {
	refused := r.stopAckedAt != 0 && !report.WorkerTime.Before(r.stopAckedAt)
	tooLate := refused || report.WorkerTime.After(r.startDeadline)
	if tooLate && (r.stopSentAt == 0 || p.missingTooLong(r, report)) {
		r.startLost = true
		p.endRun(now, r, EndLapsed, r.checkpoint)
		return
	}
	if r.phase == runStartUnknown {
		p.stop(now, r, "the start was not answered and the attempt is not reported")
	}
}

// startEnded processes the outcome of a start.
func (p *Planner) startEnded(now clock.Time, m StartEnded) {
	if !m.Late {
		p.starts.ended()
	}
	w := p.workers[m.Worker]
	if w == nil {
		return
	}
	r := w.runs[runKey{task: m.Task, attempt: m.Attempt}]
	if m.Outcome != OutcomeTaken {
		p.stats.Refused++
		p.log(LogEntry{
			Event:   "start-refused",
			Job:     m.Task.Job,
			Task:    m.Task.String(),
			Attempt: m.Attempt,
			Worker:  m.Worker,
			Reason:  m.Outcome.String(),
		})
	}
	if r == nil {
		return
	}
	if m.Outcome == OutcomeTaken {
		p.starts.answered(now, now.Sub(r.orderedAt))
		if r.task != nil {
			r.task.job().markStarted(p)
		}
	}
	switch m.Outcome {
	case OutcomeTaken:
		if r.startIncarnation != w.incarnation {
			p.startUnanswered(now, r) // it is unknown which incarnation accepted it
			return
		}
		p.confirm(now, r, m.WorkerTime)
		if r.phase == runStartSent || r.phase == runStartUnknown {
			r.setPhase(runStarted)
			r.startedAt = now
		}
		return
	case OutcomeUnknown:
		p.startUnanswered(now, r)
		return
	case OutcomeFenced:
		p.fenced = true
		return
	}
	p.startFailed(now, r, m.Outcome)
}

// startUnanswered polls the worker at once, since it may have accepted the start.
func (p *Planner) startUnanswered(now clock.Time, r *run) {
	if r.phase != runStartSent {
		return
	}
	r.setPhase(runStartUnknown)
	r.worker.addUnanswered(now, r)
	r.worker.health.penalizeUnanswered(now)
	p.poll(r.worker)
}

// Backoff after a refused start.
const (
	busyPause      = 500 * clock.Millisecond
	fullPause      = 300 * clock.Millisecond
	malformedPause = 1000 * clock.Millisecond
)

// startFailed removes an attempt that the worker has certainly not started.
func (p *Planner) startFailed(now clock.Time, r *run, outcome Outcome) {
	switch outcome {
	case OutcomeBusy:
		r.worker.backoffUntil = now.Add(busyPause)
		if r.task != nil {
			r.task.refused(r.worker)
		}
	case OutcomeFull:
		r.worker.backoffUntil = now.Add(fullPause)
	case OutcomeTicket:
		if r.task != nil {
			delete(r.task.step.advice.tickets, r.worker.id)
		}
	case OutcomeMalformed:
		if r.task != nil {
			r.task.notBefore = now.Add(malformedPause)
		}
	}
	if r.phase == runStarted {
		return // a report that lists the attempt arrived before this answer
	}
	p.detach(now, r)
	p.outdateRecord(r.worker)
	p.keepPlace(now, r, outcome)
}

// stopEnded processes the outcome of a stop.
func (p *Planner) stopEnded(now clock.Time, m StopEnded) {
	w := p.workers[m.Worker]
	if w == nil {
		return
	}
	r := w.runs[runKey{task: m.Task, attempt: m.Attempt}]
	if r == nil {
		return
	}
	r.stopInFlight = false
	switch m.Outcome {
	case OutcomeTaken:
		if m.Incarnation != 0 && m.Incarnation != w.incarnation {
			return // it is unknown which incarnation accepted it; it has been sent again
		}
		r.stopAckedAt = m.WorkerTime
		if r.confirmedAt == 0 {
			// The attempt may never have started; the next report shows it.
			p.poll(w)
		}
	case OutcomeFenced:
		p.fenced = true
	}
}

// resendStops sends stops again that have had no effect.
func (p *Planner) resendStops(now clock.Time) {
	for _, w := range p.fleet {
		if w.stoppingRuns == 0 {
			continue
		}
		for _, r := range w.ordered {
			if r.phase != runStopping || r.stopInFlight || now.Sub(r.stopSentAt) < p.opts.StopGrace+stopRetryDelay {
				continue
			}
			p.sendStop(now, r)
		}
	}
}
