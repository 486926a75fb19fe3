package planner

import "marjoramstack/pkg/clock"

// endsPerReport is how many ends a worker lists at most at once.
const endsPerReport = 500

// renewed takes a worker's lists.
func (p *Planner) renewed(now clock.Time, m Renewed) {
	w := p.workers[m.Worker]
	if w == nil {
		return
	}
	if !m.Extra {
		w.renewing = false
	}
	if w.synced && m.Report.Incarnation < w.incarnation {
		return // an earlier life's answer came late
	}
	if m.Report.Incarnation != w.incarnation {
		p.reborn(now, w, m.Report.Incarnation)
	} else if w.synced && m.Report.WorkerTime.Before(w.reading) {
		return // an answer that was overtaken
	}
	if w.failures > 0 {
		p.note(LogEntry{
			Event:  "worker-reached",
			Worker: m.Worker,
		})
	}
	first := !w.synced
	if first {
		// An earlier owner may have granted a lease just before.
		w.granted = m.Report.WorkerTime.Add(p.opts.LeaseMax)
	}
	w.failures = 0
	w.synced = true
	w.reading = m.Report.WorkerTime
	w.received = m.Received
	p.takeEnds(now, w, m.Report.Ended)
	p.takeRunning(now, w, m.Report)
	w.forecast = nil
	p.observe(now, w)
	if !m.Extra {
		w.renewAt = now
		if w.applied > w.acked && (len(p.dirty) > 0 || p.inFlight != nil) && !first {
			w.renewAt = now.Add(waitUncommitted)
		}
	}
	if first || w.filling > 0 {
		p.stirred = true
	}
}

func (p *Planner) takeEnds(now clock.Time, w *worker, ended []Ended) {
	for _, e := range ended {
		if e.Number <= w.applied {
			continue
		}
		w.applied = e.Number
		r := w.runs[runKey{task: e.Task, attempt: e.Attempt}]
		if r != nil && r.task != nil {
			p.end(now, r, e.How, e.Checkpoint)
			continue
		}
		if r != nil {
			p.detach(now, r)
		}
		if t := p.find(e.Task); t != nil {
			p.endUnknown(now, t, w, e)
			continue
		}
		p.strays[e.Task.Job] = append(p.strays[e.Task.Job], stray{
			worker: w,
			ended:  e,
		})
	}
}

func (p *Planner) takeRunning(now clock.Time, w *worker, report Report) {
	for _, row := range report.Running {
		key := runKey{
			task:    row.Task,
			attempt: row.Attempt,
		}
		r := w.runs[key]
		if r == nil {
			r = p.adopt(now, w, key)
		}
		r.take(now, row)
	}
	for _, r := range w.sortedRuns() {
		if r.seen != now {
			p.unseen(now, r, report)
		}
	}
}

// take notes what a worker lists of a run.
func (r *run) take(now clock.Time, row Running) {
	if r.phase == runOrdered || r.phase == runDoubtful {
		r.phase = runListed
	}
	if r.began == 0 {
		r.began = now
	}
	r.seen = now
	r.missing = 0
	r.updateProgress(now, row.Percent)
	r.figure = row.Metric
	if row.Checkpoint != "" {
		r.checkpoint = row.Checkpoint
	}
}

// adopt takes over a run that an earlier owner started, and stops one that must
// not be.
func (p *Planner) adopt(now clock.Time, w *worker, key runKey) *run {
	t := p.find(key.task)
	r := p.attach(w, t, key)
	r.phase = runListed
	r.ordered = now
	r.confirmed = w.reading
	if t == nil || t.done || t.job().state.Final() {
		p.stop(now, r, "not wanted")
		return r
	}
	if len(t.runs) > 1 && !t.step.spec.Speculative {
		p.stop(now, r, "runs elsewhere")
		return r
	}
	p.note(LogEntry{
		Event:   "task-adopted",
		Job:     key.task.Job,
		Task:    key.task.String(),
		Attempt: key.attempt,
		Worker:  w.info.ID,
	})
	t.job().begin(p)
	return r
}

// unseenMargin is how much longer than a stop takes a run may be missing from a
// worker's lists before it counts as over.
const unseenMargin = 150 * clock.Millisecond

// unseen draws the consequences of a run that the worker lists neither as
// running nor as ended.
func (p *Planner) unseen(now clock.Time, r *run, report Report) {
	if r.phase == runPlanned || r.phase == runOrdered || len(report.Ended) >= endsPerReport {
		return
	}
	if r.began == 0 {
		p.unbegun(now, r, report)
		return
	}
	// It has run, so its end will be listed; while it is being stopped it may be
	// in neither list.
	if !report.WorkerTime.After(r.confirmed) {
		return
	}
	if r.missing == 0 {
		r.missing = report.WorkerTime
	}
	if report.WorkerTime.Sub(r.missing) >= p.opts.StopGrace+unseenMargin {
		p.end(now, r, EndLapsed, r.checkpoint)
	}
}

// unbegun settles a start that was not answered and has not been listed. It may
// still be carried out, until its deadline has passed on the worker's clock or
// a stop has come first.
func (p *Planner) unbegun(now clock.Time, r *run, report Report) {
	refused := r.refused != 0 && !report.WorkerTime.Before(r.refused)
	if refused || report.WorkerTime.After(r.deadline) {
		p.end(now, r, EndLapsed, r.checkpoint)
		return
	}
	if r.phase == runDoubtful {
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
		p.note(LogEntry{
			Event:   "start-refused",
			Job:     m.Task.Job,
			Task:    m.Task.String(),
			Attempt: m.Attempt,
			Worker:  m.Worker,
			Reason:  m.Outcome.String(),
		})
	}
	if !m.Late {
		p.starting--
	}
	if r == nil {
		return
	}
	switch m.Outcome {
	case OutcomeTaken:
		if r.life != w.incarnation {
			p.doubt(now, r) // by which life it was taken is not known
			return
		}
		r.confirmed = max(r.confirmed, m.WorkerTime)
		if r.phase == runOrdered || r.phase == runDoubtful {
			r.phase = runListed
			r.began = now
		}
		return
	case OutcomeUnknown:
		p.doubt(now, r)
		return
	case OutcomeFenced:
		p.fenced = true
		return
	}
	p.startFailed(now, r, m.Outcome)
}

// doubt asks for the worker's lists at once, since the start may have been taken.
func (p *Planner) doubt(now clock.Time, r *run) {
	if r.phase != runOrdered {
		return
	}
	r.phase = runDoubtful
	r.worker.leftUnanswered(now, r)
	r.worker.health.unanswered(now)
	p.look(r.worker)
}

// Waits after a start that was refused.
const (
	busyPause = 500 * clock.Millisecond
	fullPause = 300 * clock.Millisecond
	badPause  = 1000 * clock.Millisecond
)

// startFailed ends an attempt that the worker has certainly not started.
func (p *Planner) startFailed(now clock.Time, r *run, outcome Outcome) {
	switch outcome {
	case OutcomeBusy:
		r.worker.holdOff = now.Add(busyPause)
	case OutcomeFull:
		r.worker.holdOff = now.Add(fullPause)
	case OutcomeTicket:
		if r.task != nil {
			delete(r.task.step.advice.tickets, r.worker.id)
		}
	case OutcomeMalformed:
		if r.task != nil {
			r.task.notBefore = now.Add(badPause)
		}
	}
	if r.phase == runListed {
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
	r.stopFlying = false
	switch m.Outcome {
	case OutcomeTaken:
		r.refused = m.WorkerTime
		if r.confirmed == 0 {
			// Nothing may be listed at all; the next list tells.
			p.look(w)
		}
	case OutcomeFenced:
		p.fenced = true
	}
}

// repeatStops sends stops again that have had no effect.
func (p *Planner) repeatStops(now clock.Time) {
	for _, w := range p.fleet {
		for _, r := range w.sortedRuns() {
			if r.phase != runStopping || r.stopFlying || now.Sub(r.stopSent) < p.opts.StopGrace+stopAgain {
				continue
			}
			p.sendStop(now, r)
		}
	}
}
