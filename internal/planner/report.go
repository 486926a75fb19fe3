package planner

import "marjoramstack/pkg/clock"

// endsPerReport is how many ends a worker lists at most at once.
const maxEndsPerReport = 500

// renewed takes a worker's lists.
func (p *Planner) renewed(now clock.Time, m Renewed) {
	w := p.workers[m.Worker]
	if w == nil {
		return
	}
	if !m.Extra {
		w.renewInFlight = false
	}
	if w.synced && m.Report.Incarnation < w.incarnation {
		return // an earlier life's answer came late
	}
	if m.Report.Incarnation != w.incarnation {
		p.newIncarnation(now, w, m.Report.Incarnation)
	} else if w.synced && m.Report.WorkerTime.Before(w.workerTime) {
		return // an answer that was overtaken
	}
	if w.renewFailures > 0 {
		p.log(LogEntry{
			Event:  "worker-reached",
			Worker: m.Worker,
		})
	}
	first := !w.synced
	if first {
		// An earlier owner may have granted a lease just before.
		w.grantedUntil = m.Report.WorkerTime.Add(p.opts.LeaseMax)
	}
	w.renewFailures = 0
	w.synced = true
	w.workerTime = m.Report.WorkerTime
	w.receivedAt = m.Received
	p.applyEnds(now, w, m.Report.Ended)
	p.applyRunning(now, w, m.Report)
	w.forecast = nil
	p.observe(now, w)
	if !m.Extra {
		w.renewAt = now
		if w.appliedEnd > w.ackedEnd && (len(p.dirty) > 0 || p.inFlight != nil) && !first {
			w.renewAt = now.Add(waitUncommitted)
		}
	}
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
		p.unclaimedEnds[e.Task.Job] = append(p.unclaimedEnds[e.Task.Job], unclaimedEnd{
			worker: w,
			ended:  e,
		})
	}
}

func (p *Planner) applyRunning(now clock.Time, w *worker, report Report) {
	for _, row := range report.Running {
		key := runKey{
			task:    row.Task,
			attempt: row.Attempt,
		}
		r := w.runs[key]
		if r == nil {
			r = p.adopt(now, w, key)
		}
		r.update(now, row)
	}
	for _, r := range w.sortedRuns() {
		if r.listedAt != now {
			p.handleMissing(now, r, report)
		}
	}
}

// take notes what a worker lists of a run.
func (r *run) update(now clock.Time, row Running) {
	if r.phase == runStartSent || r.phase == runStartUnknown {
		r.phase = runStarted
	}
	if r.startedAt == 0 {
		r.startedAt = now
	}
	r.listedAt = now
	r.missingSince = 0
	r.updateProgress(now, row.Percent)
	r.metric = row.Metric
	if row.Checkpoint != "" {
		r.checkpoint = row.Checkpoint
	}
}

// adopt takes over a run that an earlier owner started, and stops one that must
// not be.
func (p *Planner) adopt(now clock.Time, w *worker, key runKey) *run {
	t := p.findTask(key.task)
	r := p.attach(w, t, key)
	r.phase = runStarted
	r.orderedAt = now
	r.confirmedAt = w.workerTime
	if t == nil || t.done || t.job().state.Final() {
		p.stop(now, r, "not wanted")
		return r
	}
	if len(t.runs) > 1 && !t.step.spec.Speculative {
		p.stop(now, r, "runs elsewhere")
		return r
	}
	p.log(LogEntry{
		Event:   "task-adopted",
		Job:     key.task.Job,
		Task:    key.task.String(),
		Attempt: key.attempt,
		Worker:  w.info.ID,
	})
	t.job().markStarted(p)
	return r
}

// unseenMargin is how much longer than a stop takes a run may be missing from a
// worker's lists before it counts as over.
const missingMargin = 150 * clock.Millisecond

// unseen draws the consequences of a run that the worker lists neither as
// running nor as ended.
func (p *Planner) handleMissing(now clock.Time, r *run, report Report) {
	if r.phase == runPlanned || r.phase == runStartSent || len(report.Ended) >= maxEndsPerReport {
		return
	}
	if r.startedAt == 0 {
		p.resolveStart(now, r, report)
		return
	}
	// It has run, so its end will be listed; while it is being stopped it may be
	// in neither list.
	if !report.WorkerTime.After(r.confirmedAt) {
		return
	}
	if r.missingSince == 0 {
		r.missingSince = report.WorkerTime
	}
	if report.WorkerTime.Sub(r.missingSince) >= p.opts.StopGrace+missingMargin {
		p.endRun(now, r, EndLapsed, r.checkpoint)
	}
}

// unbegun settles a start that was not answered and has not been listed. It may
// still be carried out, until its deadline has passed on the worker's clock or
// a stop has come first.
func (p *Planner) resolveStart(now clock.Time, r *run, report Report) {
	refused := r.stopAckedAt != 0 && !report.WorkerTime.Before(r.stopAckedAt)
	if refused || report.WorkerTime.After(r.startDeadline) {
		p.endRun(now, r, EndLapsed, r.checkpoint)
		return
	}
	if r.phase == runStartUnknown {
		p.stop(now, r, "the start was not answered and is not listed")
	}
}

// startEnded takes the outcome of a start.
func (p *Planner) startEnded(now clock.Time, m StartEnded) {
	w := p.workers[m.Worker]
	if w == nil {
		return
	}
	r := w.runs[runKey{task: m.Task, attempt: m.Attempt}]
	if m.Outcome != OutcomeTaken {
		p.log(LogEntry{
			Event:   "start-refused",
			Job:     m.Task.Job,
			Task:    m.Task.String(),
			Attempt: m.Attempt,
			Worker:  m.Worker,
			Reason:  m.Outcome.String(),
		})
	}
	if !m.Late {
		p.startsInFlight--
	}
	if r == nil {
		return
	}
	switch m.Outcome {
	case OutcomeTaken:
		if r.incarnation != w.incarnation {
			p.startUnanswered(now, r) // by which life it was taken is not known
			return
		}
		r.confirmedAt = max(r.confirmedAt, m.WorkerTime)
		if r.phase == runStartSent || r.phase == runStartUnknown {
			r.phase = runStarted
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

// doubt asks for the worker's lists at once, since the start may have been taken.
func (p *Planner) startUnanswered(now clock.Time, r *run) {
	if r.phase != runStartSent {
		return
	}
	r.phase = runStartUnknown
	r.worker.addUnanswered(now, r)
	r.worker.health.startUnanswered(now)
	p.poll(r.worker)
}

// Waits after a start that was refused.
const (
	busyPause      = 500 * clock.Millisecond
	fullPause      = 300 * clock.Millisecond
	malformedPause = 1000 * clock.Millisecond
)

// startFailed ends an attempt that the worker has certainly not started.
func (p *Planner) startFailed(now clock.Time, r *run, outcome Outcome) {
	switch outcome {
	case OutcomeBusy:
		r.worker.backoffUntil = now.Add(busyPause)
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
		return // a list has overtaken this answer
	}
	p.detach(now, r)
}

// stopEnded takes the outcome of a stop.
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
		r.stopAckedAt = m.WorkerTime
		if r.confirmedAt == 0 {
			// Nothing may be listed at all; the next list tells.
			p.poll(w)
		}
	case OutcomeFenced:
		p.fenced = true
	}
}

// repeatStops sends stops again that have had no effect.
func (p *Planner) resendStops(now clock.Time) {
	for _, w := range p.fleet {
		for _, r := range w.sortedRuns() {
			if r.phase != runStopping || r.stopInFlight || now.Sub(r.stopSentAt) < p.opts.StopGrace+stopRetryDelay {
				continue
			}
			p.sendStop(now, r)
		}
	}
}
