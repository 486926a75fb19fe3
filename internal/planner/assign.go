package planner

import (
	"slices"
	"strconv"
	"strings"

	"marjoramstack/pkg/clock"
	"marjoramstack/pkg/document"
)

// assign places the tasks that wait, the most urgent first.
func (p *Planner) assign(now clock.Time) {
	p.newlyReady = nil
	p.dropOverduePlanned(now)
	p.resendStops(now)
	p.stopBrokenGangs(now)
	known := p.inheritanceKnown(now)
	if known && !p.inheritanceLogged {
		p.inheritanceLogged = true
		p.log(LogEntry{
			Event:  "inheritance-known",
			Reason: p.unansweredWorkers(),
			Age:    now.Sub(p.opts.Takeover),
		})
	}
	p.measurePools(now)
	unplaced := map[placementKey]document.Size{}
	backlog := p.backlog(now)
	defer p.noteWaiting(now, backlog)
	p.passGap = min(minPassInterval+clock.Span(len(backlog))/stepsPerPassMillisecond, maxPassInterval)
	for _, s := range backlog {
		s.holdReason = waitNotExamined
	}
	p.restartLongRunning(now, backlog, known)
	for _, s := range backlog {
		if s.occurrence.job.state.Final() {
			continue // ended in this pass
		}
		if s.occurrence.job.inherited && !known {
			s.holdReason = waitInherited
			continue
		}
		if p.startsInFlight >= maxStartsInFlight {
			p.passNeeded = true
			return
		}
		p.placeStep(now, s, unplaced)
	}
	p.prefetchAdvice(now)
}

const (
	// Passes over a long backlog are made less often, so that their cost stays
	// bounded.
	minPassInterval         = 4 * clock.Millisecond
	maxPassInterval         = 60 * clock.Millisecond
	stepsPerPassMillisecond = 6
	// startsMost bounds the starts under way, so that none waits for long after
	// its deadline was worked out.
	maxStartsInFlight = 96
)

// fullKey groups the steps that compete for the same workers.
type placementKey struct {
	pool, label string
	bestEffort  bool
	image       string
}

// placeStep starts the waiting tasks of a step. In full are the least demands
// that had no room in this pass.
func (p *Planner) placeStep(now clock.Time, s *step, unplaced map[placementKey]document.Size) {
	key := placementKey{
		pool:       s.occurrence.job.queue.Pool,
		label:      s.spec.Label,
		bestEffort: s.spec.BestEffort,
		image:      s.spec.Image,
	}
	advised := s.occurrence.job.queue.Advised
	if smallest, ok := unplaced[key]; ok && !advised && smallest.Fits(s.spec.Demand) {
		s.holdReason = waitSimilarUnplaced
		return
	}
	if s.spec.Gang {
		if !p.placeGang(now, s) {
			p.requestAdvice(now, s)
		}
		return
	}
	for _, t := range s.tasks {
		if !t.waiting(now) || s.occurrence.job.inherited && p.mayStillRun(now, t.id()) {
			s.holdReason = waitInherited
			continue
		}
		w := p.choose(now, t, "")
		if t.moveTarget != nil && w == nil {
			s.holdReason = waitNoWorker
			continue
		}
		if t.moveTarget == nil && p.yieldsToShort(now, s, w) {
			s.holdReason = waitYieldsToShort
			return
		}
		if w == nil && p.infeasible(now, s) {
			p.stats.Failed++
			p.finish(now, s.occurrence.job, StateFailed, "no worker of the pool could ever hold a task of step "+strconv.Itoa(s.number))
			return
		}
		if w == nil {
			s.holdReason = waitNoWorker
			p.requestAdvice(now, s)
			if s.spec.MaxPerWorker == 0 && len(t.failedWorkers) == 0 && !advised {
				unplaced[key] = s.spec.Demand
			}
			return
		}
		p.start(now, t, w)
	}
	s.yielded = 0
}

// backlog returns the steps with tasks that wait, in the order in which they
// are placed: by priority, then what can still be on time before what is late,
// then by the time by which it has to begin.
func (p *Planner) backlog(now clock.Time) []*step {
	var steps []*step
	for _, j := range p.active {
		for _, o := range j.occurrences {
			if o.open == 0 || o.scheduledAt.After(now) {
				continue
			}
			for _, s := range o.steps {
				if s.unmetDependencies == 0 && s.open > 0 && s.hasWaiting(now) {
					steps = append(steps, s)
				}
			}
		}
	}
	slices.SortFunc(steps, func(a, b *step) int { return compareSteps(now, a, b) })
	return steps
}

func (s *step) hasWaiting(now clock.Time) bool {
	for _, t := range s.tasks {
		if t.waiting(now) {
			return true
		}
	}
	return false
}

func compareSteps(now clock.Time, a, b *step) int {
	if c := a.occurrence.job.queue.Priority - b.occurrence.job.queue.Priority; c != 0 {
		return c
	}
	if c := a.urgency(now) - b.urgency(now); c != 0 {
		return c
	}
	if c := a.latestStart().Sub(b.latestStart()); c != 0 {
		return int(c)
	}
	if c := strings.Compare(a.occurrence.job.spec.ID, b.occurrence.job.spec.ID); c != 0 {
		return c
	}
	if c := a.occurrence.number - b.occurrence.number; c != 0 {
		return c
	}
	return a.number - b.number
}

// deadline is when the occurrence should be complete.
func (o *occurrence) deadline() clock.Time {
	return o.scheduledAt.Add(o.job.deadline.Sub(o.job.accepted))
}

// startBy is when the step has to begin for the occurrence to be complete in
// time.
func (s *step) latestStart() clock.Time { return s.occurrence.deadline().Add(-s.criticalPath) }

// Classes of urgency.
const (
	urgencyOnTime = iota
	urgencyLongRunning
	urgencyLate
	urgencyNoValue
)

// lateSlack is by how much an estimate may be off before a job that seems late
// is put behind those that can be on time.
const lateSlack = 300 * clock.Millisecond

func (s *step) urgency(now clock.Time) int {
	o := s.occurrence
	valueEnd := o.scheduledAt.Add(lateFactor * o.deadline().Sub(o.scheduledAt))
	switch {
	case s.spec.LongRunning:
		return urgencyLongRunning
	case !now.After(s.latestStart().Add(lateSlack)) && !now.After(o.deadline()):
		return urgencyOnTime
	case !now.Add(s.criticalPath).After(valueEnd):
		return urgencyLate
	default:
		return urgencyNoValue
	}
}

// start orders a further attempt of a task.
func (p *Planner) start(now clock.Time, t *task, w *worker) *run {
	return p.startAttempt(now, t, w, t.nextAttempt(p.opts.Epoch))
}

func (p *Planner) startAttempt(now clock.Time, t *task, w *worker, attempt int) *run {
	r := p.attach(w, t, runKey{
		task:    t.id(),
		attempt: attempt,
	})
	r.orderedAt = now
	p.noteShortStart(now, t.step)
	if w.record == recordExact {
		r.phase = runPlanned
		w.plannedStarts++
		w.unrecordedStarts++
		return r
	}
	p.sendStart(now, r)
	return r
}

// sendStart orders the start of an attempt.
func (p *Planner) sendStart(now clock.Time, r *run) {
	t, w := r.task, r.worker
	r.phase = runStartSent
	r.orderedAt = now
	r.incarnation = w.incarnation
	p.startsInFlight++
	r.startDeadline = w.workerTimeAt(now).Add(startWindow)
	w.grant(r.startDeadline)
	p.order(Start{
		Target:     w.target(),
		Task:       r.key.task,
		Attempt:    r.key.attempt,
		Payload:    t.job().spec.Payload,
		Deadline:   r.startDeadline,
		Checkpoint: t.checkpoint,
		Ticket:     t.step.ticketFor(now, w),
	})
	p.stats.Started++
	t.job().markStarted(p)
	p.log(LogEntry{
		Event:   "task-start",
		Job:     r.key.task.Job,
		Task:    r.key.task.String(),
		Attempt: r.key.attempt,
		Worker:  w.info.ID,
		Age:     now.Sub(t.step.occurrence.scheduledAt),
	})
}
