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
	p.fresh = nil
	p.giveBack(now)
	p.repeatStops(now)
	p.mendGangs(now)
	known := p.inheritanceKnown(now)
	if known && !p.inheritanceNoted {
		p.inheritanceNoted = true
		p.note(LogEntry{
			Event:  "inheritance-known",
			Reason: p.unanswered(),
			Age:    now.Sub(p.opts.Takeover),
		})
	}
	p.measureHeadroom(now)
	full := map[fullKey]document.Size{}
	backlog := p.backlog(now)
	defer p.noteWaiting(now, backlog)
	p.passGap = min(passGapLeast+clock.Span(len(backlog))/stepsPerGap, passGapMost)
	for _, s := range backlog {
		s.held = holdUnseen
	}
	p.restart(now, backlog, known)
	for _, s := range backlog {
		if s.occurrence.job.state.Final() {
			continue // ended in this pass
		}
		if s.occurrence.job.inherited && !known {
			s.held = holdInherited
			continue
		}
		if p.starting >= startsMost {
			p.stirred = true
			return
		}
		p.placeStep(now, s, full)
	}
	p.foreseeAdvice(now)
}

const (
	// Passes over a long backlog are made less often, so that their cost stays
	// bounded.
	passGapLeast = 4 * clock.Millisecond
	passGapMost  = 60 * clock.Millisecond
	stepsPerGap  = 6
	// startsMost bounds the starts under way, so that none waits for long after
	// its deadline was worked out.
	startsMost = 96
)

// fullKey groups the steps that compete for the same workers.
type fullKey struct {
	pool, label string
	bestEffort  bool
	image       string
}

// placeStep starts the waiting tasks of a step. In full are the least demands
// that had no room in this pass.
func (p *Planner) placeStep(now clock.Time, s *step, full map[fullKey]document.Size) {
	key := fullKey{
		pool:       s.occurrence.job.terms.Pool,
		label:      s.spec.Label,
		bestEffort: s.spec.BestEffort,
		image:      s.spec.Image,
	}
	advised := s.occurrence.job.terms.Advised
	if least, ok := full[key]; ok && !advised && least.Fits(s.spec.Demand) {
		s.held = holdLike
		return
	}
	if s.spec.Gang {
		if !p.placeGang(now, s) {
			p.seekAdvice(now, s)
		}
		return
	}
	for _, t := range s.tasks {
		if !t.waiting(now) || s.occurrence.job.inherited && p.suspected(now, t.id()) {
			s.held = holdInherited
			continue
		}
		w := p.choose(now, t, "")
		if t.destined != nil && w == nil {
			s.held = holdPlace
			continue
		}
		if t.destined == nil && p.leavesRoom(now, s, w) {
			s.held = holdShort
			return
		}
		if w == nil && p.hopeless(now, s) {
			p.stats.Failed++
			p.finish(now, s.occurrence.job, StateFailed, "no worker of the pool could ever hold a task of step "+strconv.Itoa(s.number))
			return
		}
		if w == nil {
			s.held = holdPlace
			p.seekAdvice(now, s)
			if s.spec.MaxPerWorker == 0 && len(t.badWorkers) == 0 && !advised {
				full[key] = s.spec.Demand
			}
			return
		}
		p.start(now, t, w)
	}
	s.left = 0
}

// backlog returns the steps with tasks that wait, in the order in which they
// are placed: by priority, then what can still be on time before what is late,
// then by the time by which it has to begin.
func (p *Planner) backlog(now clock.Time) []*step {
	var steps []*step
	for _, j := range p.active {
		for _, o := range j.occurrences {
			if o.open == 0 || o.due.After(now) {
				continue
			}
			for _, s := range o.steps {
				if s.blocked == 0 && s.open > 0 && s.anyWaiting(now) {
					steps = append(steps, s)
				}
			}
		}
	}
	slices.SortFunc(steps, func(a, b *step) int { return compare(now, a, b) })
	return steps
}

func (s *step) anyWaiting(now clock.Time) bool {
	for _, t := range s.tasks {
		if t.waiting(now) {
			return true
		}
	}
	return false
}

func compare(now clock.Time, a, b *step) int {
	if c := a.occurrence.job.terms.Priority - b.occurrence.job.terms.Priority; c != 0 {
		return c
	}
	if c := a.urgency(now) - b.urgency(now); c != 0 {
		return c
	}
	if c := a.startBy().Sub(b.startBy()); c != 0 {
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
	return o.due.Add(o.job.deadline.Sub(o.job.accepted))
}

// startBy is when the step has to begin for the occurrence to be complete in
// time.
func (s *step) startBy() clock.Time { return s.occurrence.deadline().Add(-s.tail) }

// Classes of urgency.
const (
	urgencyOnTime = iota
	urgencyLasting
	urgencyLate
	urgencyWorthless
)

// lateSlack is by how much an estimate may be off before a job that seems late
// is put behind those that can be on time.
const lateSlack = 300 * clock.Millisecond

func (s *step) urgency(now clock.Time) int {
	o := s.occurrence
	worthless := o.due.Add(lateFactor * o.deadline().Sub(o.due))
	switch {
	case s.spec.LongRunning:
		return urgencyLasting
	case !now.After(s.startBy().Add(lateSlack)) && !now.After(o.deadline()):
		return urgencyOnTime
	case !now.Add(s.tail).After(worthless):
		return urgencyLate
	default:
		return urgencyWorthless
	}
}

// start orders a further attempt of a task.
func (p *Planner) start(now clock.Time, t *task, w *worker) *run {
	return p.startNumbered(now, t, w, t.nextAttempt(p.opts.Epoch))
}

func (p *Planner) startNumbered(now clock.Time, t *task, w *worker, attempt int) *run {
	r := p.attach(w, t, runKey{
		task:    t.id(),
		attempt: attempt,
	})
	r.ordered = now
	p.noteShort(now, t.step)
	if w.use == useExact {
		r.phase = runPlanned
		w.awaiting++
		w.unnamed++
		return r
	}
	p.sendStart(now, r)
	return r
}

// sendStart orders the start of an attempt.
func (p *Planner) sendStart(now clock.Time, r *run) {
	t, w := r.task, r.worker
	r.phase = runOrdered
	r.ordered = now
	r.life = w.incarnation
	p.starting++
	r.deadline = w.readingAt(now).Add(startWindow)
	w.grant(r.deadline)
	p.order(Start{
		Target:     w.target(),
		Task:       r.key.task,
		Attempt:    r.key.attempt,
		Payload:    t.job().spec.Payload,
		Deadline:   r.deadline,
		Checkpoint: t.checkpoint,
		Ticket:     t.step.ticketFor(now, w),
	})
	p.stats.Started++
	t.job().begin(p)
	p.note(LogEntry{
		Event:   "task-start",
		Job:     r.key.task.Job,
		Task:    r.key.task.String(),
		Attempt: r.key.attempt,
		Worker:  w.info.ID,
		Age:     now.Sub(t.step.occurrence.due),
	})
}
