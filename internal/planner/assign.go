package planner

import (
	"slices"
	"strconv"
	"strings"

	"marjoramstack/pkg/clock"
	"marjoramstack/pkg/document"
)

// assign places waiting tasks, the most urgent first.
func (p *Planner) assign(now clock.Time) {
	p.newlyReady = nil
	p.deferred = nil
	p.dropOverduePlanned(now)
	p.resendStops(now)
	p.stopBrokenGangs(now)
	p.measurePools(now)
	p.unplaced = map[placementKey]document.Size{}
	p.lendings = map[string]*lending{}
	p.countUnread(now)
	backlog := p.backlog(now)
	defer p.noteContention(backlog)
	defer p.logWaiting(now, backlog)
	p.passInterval = passInterval(len(p.fleet), len(backlog))
	for _, s := range backlog {
		s.lastWaitReason = waitNotExamined
	}
	p.restartLongRunning(now, backlog)
	for _, s := range backlog {
		if s.occurrence.job.state.Final() {
			continue // the job ended during this pass
		}
		if p.stepAwaitsInheritance(s) {
			s.lastWaitReason = waitInherited
			continue
		}
		p.placeStep(now, s)
	}
	p.prefetchAdvice(now)
}

// passInterval returns the time between passes over a backlog of steps.
func passInterval(workers, steps int) clock.Span {
	interval := minPassInterval + clock.Span(workers/workersPerPassMillisecond+steps/stepsPerPassMillisecond)
	return min(interval, maxPassInterval+clock.Span(workers/workersPerMaxMillisecond))
}

// deferStep leaves a step until more starts may be in flight.
func (p *Planner) deferStep(s *step) {
	s.lastWaitReason = waitNotExamined
	p.passNeeded = true
	p.deferred = append(p.deferred, s)
}

// minDeferredStarts is how many more starts of best-effort tasks must be allowed for the
// steps that a pass has left to be placed before the next pass. Choosing workers for fewer
// tasks costs as much.
const minDeferredStarts = 24

// assignDeferred places the steps that the last pass left because of the start limit.
func (p *Planner) assignDeferred(now clock.Time) {
	if len(p.deferred) == 0 || p.starts.bestEffortRoom() < minDeferredStarts {
		return
	}
	steps := p.deferred
	p.deferred = nil
	for _, s := range steps {
		if !s.occurrence.job.state.Final() {
			p.placeStep(now, s)
		}
	}
}

const (
	// minPassInterval and maxPassInterval bound the time between scheduling passes.
	// The interval grows by 1 ms for each workersPerPassMillisecond workers and each
	// stepsPerPassMillisecond waiting steps, so that the cost of passes stays bounded in a
	// large pool and over a long backlog. Its maximum grows by 1 ms for each
	// workersPerMaxMillisecond workers.
	minPassInterval           = 4 * clock.Millisecond
	maxPassInterval           = 60 * clock.Millisecond
	workersPerPassMillisecond = 64
	stepsPerPassMillisecond   = 6
	workersPerMaxMillisecond  = 20
)

// placementKey groups steps that compete for the same workers.
type placementKey struct {
	pool, label string
	bestEffort  bool
	image       string
}

// placeStep starts the waiting tasks of a step.
func (p *Planner) placeStep(now clock.Time, s *step) {
	if p.starts.full(s) {
		p.deferStep(s)
		return
	}
	key := placementKey{
		pool:       s.occurrence.job.queue.Pool,
		label:      s.spec.Label,
		bestEffort: s.spec.BestEffort,
		image:      s.spec.Image,
	}
	advised := s.occurrence.job.queue.Advised
	if smallest, ok := p.unplaced[key]; ok && !advised && smallest.Fits(s.spec.Demand) {
		s.lastWaitReason = waitSimilarUnplaced
		return
	}
	if s.spec.Gang {
		if !p.placeGang(now, s) {
			p.requestAdvice(now, s)
		}
		return
	}
	ranked := p.newRanking("")
	for _, t := range s.tasks {
		if !t.waiting(now) {
			continue
		}
		if p.awaitsInheritance(now, t) {
			s.lastWaitReason = waitInherited
			continue
		}
		if p.starts.full(s) {
			p.deferStep(s)
			return
		}
		if !p.withinQuota(s, 1, t) {
			s.lastWaitReason = waitQuota
			return
		}
		if !p.lend(now, s, 1) {
			s.lastWaitReason = waitAboveRate
			return
		}
		w := p.chooseNext(now, t, ranked)
		if t.moveTarget != nil && w == nil {
			s.lastWaitReason = waitNoWorker
			continue
		}
		if t.moveTarget == nil && p.yieldsToShort(now, s, w) {
			s.lastWaitReason = waitYieldsToShort
			return
		}
		if w == nil && p.infeasible(now, s) {
			p.stats.Failed++
			p.finish(now, s.occurrence.job, StateFailed, "no worker of the pool is large enough for a task of step "+strconv.Itoa(s.number))
			return
		}
		if w == nil {
			s.lastWaitReason = waitNoWorker
			p.requestAdvice(now, s)
			if s.spec.MaxPerWorker == 0 && len(t.failedWorkers) == 0 && !advised {
				p.unplaced[key] = s.spec.Demand
			}
			return
		}
		p.start(now, t, w)
	}
	s.yielded = 0
}

// backlog returns the steps with waiting tasks in placement order: what customers submitted
// above the agreed rates last, then by priority, then by class of urgency, then by latest start
// time or, in a full pool, by shares of customers.
func (p *Planner) backlog(now clock.Time) []*step {
	var waiting []rankedStep
	p.rateArrivals()
	for _, j := range p.activeJobs {
		if j.idle == 0 {
			continue
		}
		for _, o := range j.occurrences {
			if o.open == 0 || o.scheduledAt.After(now) {
				continue
			}
			for _, s := range o.steps {
				if s.unmetDependencies == 0 && s.hasWaiting(now) {
					waiting = append(waiting, s.ranked(now))
				}
			}
		}
	}
	return p.sortSteps(waiting)
}

// rankedStep is a step with what its place in the backlog depends on.
type rankedStep struct {
	step        *step
	aboveRate   bool
	priority    int
	urgency     int
	latestStart clock.Time
}

func (s *step) ranked(now clock.Time) rankedStep {
	return rankedStep{
		step:        s,
		aboveRate:   s.occurrence.job.aboveRate,
		priority:    s.occurrence.job.queue.Priority,
		urgency:     s.urgency(now),
		latestStart: s.latestStart(),
	}
}

// sortSteps returns steps in placement order.
func (p *Planner) sortSteps(ranked []rankedStep) []*step {
	slices.SortFunc(ranked, compareRanked)
	p.shareOut(ranked)
	steps := make([]*step, len(ranked))
	for i, r := range ranked {
		steps[i] = r.step
	}
	return steps
}

func (s *step) hasWaiting(now clock.Time) bool {
	if s.idle == 0 {
		return false
	}
	for _, t := range s.tasks {
		if t.waiting(now) {
			return true
		}
	}
	return false
}

func compareRanked(a, b rankedStep) int {
	if c := compareLast(a.aboveRate, b.aboveRate); c != 0 {
		return c
	}
	if c := a.priority - b.priority; c != 0 {
		return c
	}
	if c := a.urgency - b.urgency; c != 0 {
		return c
	}
	if c := a.latestStart.Sub(b.latestStart); c != 0 {
		return int(c)
	}
	if c := strings.Compare(a.step.occurrence.job.spec.ID, b.step.occurrence.job.spec.ID); c != 0 {
		return c
	}
	if c := a.step.occurrence.number - b.step.occurrence.number; c != 0 {
		return c
	}
	return a.step.number - b.step.number
}

// sameRank reports whether the steps differ in nothing but their latest starts.
func (r rankedStep) sameRank(other rankedStep) bool {
	return r.aboveRate == other.aboveRate && r.priority == other.priority && r.urgency == other.urgency
}

// compareLast orders what is true behind what is false.
func compareLast(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	default:
		return -1
	}
}

// deadline returns the time by which the occurrence should be complete.
func (o *occurrence) deadline() clock.Time {
	return o.scheduledAt.Add(o.job.deadline.Sub(o.job.accepted))
}

// latestStart returns the latest time at which the step can start for the
// occurrence to meet its deadline.
func (s *step) latestStart() clock.Time { return s.occurrence.deadline().Add(-s.criticalPath) }

// Classes of urgency, in placement order.
const (
	urgencyBegun = iota // the occurrence has begun
	urgencyOnTime
	urgencyLongRunning
	urgencyLate
	urgencyNoValue // the job would end too late to have any value
)

// beginMarginPermille is the share of its critical path that an occurrence must have to spare
// to be begun as one that can be on time. With less, most would be late, by errors in
// estimates and waits between steps.
const beginMarginPermille = 400

// urgency returns the class of the step. What has begun is ended first, also if it is late:
// if it were given up for others whose deadlines are near, under overload most jobs would
// be begun and few ended.
func (s *step) urgency(now clock.Time) int {
	o := s.occurrence
	margin := s.criticalPath * beginMarginPermille / milliScale
	valueEnd := o.scheduledAt.Add(lateFactor * o.deadline().Sub(o.scheduledAt))
	switch {
	case s.spec.LongRunning:
		return urgencyLongRunning
	case now.Add(s.criticalPath).After(valueEnd):
		return urgencyNoValue
	case o.begun:
		return urgencyBegun
	case !now.Add(margin).After(s.latestStart()):
		return urgencyOnTime
	default:
		return urgencyLate
	}
}

// start starts a new attempt of a task on a worker.
func (p *Planner) start(now clock.Time, t *task, w *worker) *run {
	return p.startAttempt(now, t, w, t.nextAttempt(p.opts.Epoch))
}

// startAttempt starts an attempt with the given number. If the worker's record must
// name a task before it may run there, the start waits for that write.
func (p *Planner) startAttempt(now clock.Time, t *task, w *worker, attempt int) *run {
	r := p.attach(w, t, runKey{
		task:    t.id(),
		attempt: attempt,
	})
	r.orderedAt = now
	t.account()
	p.recordShortStart(now, t.step)
	p.hastenRenewal(now, w, t)
	if w.record == recordExact {
		r.setPhase(runPlanned)
		w.plannedStarts++
		w.unrecordedStarts++
		p.recordsCurrent = false
		return r
	}
	p.sendStart(now, r)
	return r
}

// sendStart sends the order to start an attempt.
func (p *Planner) sendStart(now clock.Time, r *run) {
	t, w := r.task, r.worker
	r.setPhase(runStartSent)
	r.orderedAt = now
	r.startIncarnation = w.incarnation
	p.starts.sent()
	r.startDeadline = w.workerTimeAt(now).Add(startWindow)
	w.grant(r.startDeadline)
	w.deadlineSentAt = now
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
	p.log(LogEntry{
		Event:   "task-start",
		Job:     r.key.task.Job,
		Task:    r.key.task.String(),
		Attempt: r.key.attempt,
		Worker:  w.info.ID,
		Age:     now.Sub(t.step.occurrence.scheduledAt),
	})
}
