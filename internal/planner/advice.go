package planner

import (
	"slices"
	"strconv"

	"marjoramstack/pkg/clock"
)

// StepID names a step of an occurrence of a job.
type StepID struct {
	Job        string
	Occurrence int
	Step       int
}

// String formats the identifier for logs.
func (id StepID) String() string {
	return id.Job + "/" + strconv.Itoa(id.Occurrence) + "/" + strconv.Itoa(id.Step)
}

// Advise asks the adviser which workers may run a step.
type Advise struct {
	Step    StepID
	Workers []string
}

func (Advise) order() {}

// Permit allows the tasks of a step to start on a worker.
type Permit struct {
	Worker string
	Ticket string
}

// Advised ends an Advise order. Workers are those that were asked about, Good
// those that may run the step, for the span Valid. Answered is false if no answer
// came.
type Advised struct {
	Step     StepID
	Workers  []string
	Good     []Permit
	Valid    clock.Span
	Answered bool
}

func (Advised) message() {}

// AdviserSlots tells how many questions can be asked at a time.
type AdviserSlots struct {
	Count int
}

func (AdviserSlots) message() {}

const (
	// adviceWorkers is how many workers are asked about at once, or workersPerTask
	// for each task if that is more, at most adviceMost: the adviser takes longer
	// for more.
	minAdviceWorkers     = 30
	adviceWorkersPerTask = 5
	maxAdviceWorkers     = 100
	// adviceAgain is how long a step waits after a call without an answer.
	adviceRetryDelay = 300 * clock.Millisecond
	// ticketMargin is how long before its end a ticket is no longer used.
	ticketMargin = 400 * clock.Millisecond
)

// advice is what the adviser has said of a step. What it allows does not change,
// but a ticket holds only for a while and for one life of the worker.
type advice struct {
	inFlight bool
	askedAt  clock.Time
	retryAt  clock.Time // no further call before
	refused  map[string]bool
	tickets  map[string]ticket
}

type ticket struct {
	text        string
	until       clock.Time
	incarnation int64
}

func (s *step) id() StepID {
	return StepID{
		Job:        s.occurrence.job.spec.ID,
		Occurrence: s.occurrence.number,
		Step:       s.number,
	}
}

// permitted reports whether the adviser, if the queue has one, allows the step on
// a worker now.
func (p *Planner) permitted(now clock.Time, s *step, w *worker) bool {
	return !s.occurrence.job.queue.Advised || s.ticketFor(now, w) != ""
}

func (s *step) ticketFor(now clock.Time, w *worker) string {
	t, ok := s.advice.tickets[w.id]
	if !ok || t.incarnation != w.incarnation || !t.until.Add(-ticketMargin).After(now) {
		return ""
	}
	return t.text
}

// seekAdvice asks about workers that could hold a task of the step and are not
// known to be refused.
func (p *Planner) requestAdvice(now clock.Time, s *step) {
	a := &s.advice
	if !s.occurrence.job.queue.Advised || a.inFlight || a.retryAt.After(now) || p.adviceInFlight >= p.adviceLimit {
		return
	}
	var names []string
	for _, w := range p.adviceCandidates(now, s) {
		if len(names) < min(max(minAdviceWorkers, adviceWorkersPerTask*s.open), maxAdviceWorkers) {
			names = append(names, w.id)
		}
	}
	if len(names) == 0 {
		return
	}
	a.inFlight = true
	a.askedAt = now
	p.adviceInFlight++
	p.order(Advise{
		Step:    s.id(),
		Workers: names,
	})
}

// foreseeAdvice asks for steps whose turn comes next, while those before them run.
func (p *Planner) prefetchAdvice(now clock.Time) {
	if p.adviceInFlight >= p.adviceLimit {
		return
	}
	for _, j := range p.sortedActive() {
		if !j.queue.Advised {
			continue
		}
		for _, o := range j.occurrences {
			for _, s := range o.steps {
				if s.unmetDependencies > 0 && len(s.advice.tickets) == 0 && s.predecessorsRunning(now) {
					p.requestAdvice(now, s)
				}
			}
		}
	}
}

// comesNext reports whether all tasks run that the step waits for.
func (s *step) predecessorsRunning(now clock.Time) bool {
	for _, number := range s.spec.After {
		predecessor := s.occurrence.steps[number]
		if predecessor.unmetDependencies > 0 || predecessor.hasWaiting(now) {
			return false
		}
	}
	return true
}

// candidates returns the workers that the adviser may be asked about, those with
// the most room first.
func (p *Planner) adviceCandidates(now clock.Time, s *step) []*worker {
	var found []*worker
	for _, w := range p.fleet {
		fits := allocation(s.spec).Fits(w.info.Capacity.Minus(w.allocated))
		if fits && !s.advice.refused[w.id] && s.ticketFor(now, w) == "" && p.suitable(now, s, w) {
			found = append(found, w)
		}
	}
	slices.SortStableFunc(found, func(a, b *worker) int { return compareFloat(p.idleProcessors(b), p.idleProcessors(a)) })
	return found
}

// advised takes the adviser's answer.
func (p *Planner) advised(now clock.Time, m Advised) {
	p.adviceInFlight--
	p.passNeeded = true
	j := p.jobs[m.Step.Job]
	if j == nil {
		return
	}
	s := j.step(m.Step.Occurrence, m.Step.Step)
	if s == nil {
		return
	}
	a := &s.advice
	a.inFlight = false
	p.log(LogEntry{
		Event:  "step-advised",
		Job:    m.Step.Job,
		Task:   m.Step.String(),
		Reason: strconv.Itoa(len(m.Good)) + " of " + strconv.Itoa(len(m.Workers)) + " workers, answered " + strconv.FormatBool(m.Answered),
		Age:    now.Sub(a.askedAt),
	})
	if !m.Answered {
		a.retryAt = now.Add(adviceRetryDelay)
		return
	}
	a.store(p, m)
}

func (a *advice) store(p *Planner, m Advised) {
	if a.tickets == nil {
		a.tickets = map[string]ticket{}
		a.refused = map[string]bool{}
	}
	for _, id := range m.Workers {
		a.refused[id] = true
	}
	for _, good := range m.Good {
		delete(a.refused, good.Worker)
		if w := p.workers[good.Worker]; w != nil {
			a.tickets[good.Worker] = ticket{
				text:        good.Ticket,
				until:       a.askedAt.Add(m.Valid),
				incarnation: w.incarnation,
			}
		}
	}
}
