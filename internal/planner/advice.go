package planner

import (
	"slices"
	"strconv"

	"marjoramstack/pkg/clock"
)

// StepID identifies a step of an occurrence of a job.
type StepID struct {
	Job        string
	Occurrence int
	Step       int
}

// String formats the identifier as job/occurrence/step.
func (id StepID) String() string {
	return id.Job + "/" + strconv.Itoa(id.Occurrence) + "/" + strconv.Itoa(id.Step)
}

// Advise is an order to ask the adviser which of the workers may run a step. Handling is how
// long the adviser takes for the call, 0 if unknown.
type Advise struct {
	Step     StepID
	Workers  []string
	Handling clock.Span
}

func (Advise) order() {}

// Permit allows the tasks of a step to start on a worker. Starts carry its ticket.
type Permit struct {
	Worker string
	Ticket string
}

// Advised reports the result of an Advise order. Workers are those that were asked about,
// and Good the permits for those that may run the step. Permits are valid for the span
// Valid. Answered is false if the adviser did not answer.
type Advised struct {
	Step     StepID
	Workers  []string
	Good     []Permit
	Valid    clock.Span
	Answered bool
}

func (Advised) message() {}

// AdviserSlots sets how many Advise orders can be in flight at a time.
type AdviserSlots struct {
	Count int
}

func (AdviserSlots) message() {}

const (
	// A call asks about minAdviceWorkers workers, or adviceWorkersPerTask for each task
	// if that is more, but at most maxAdviceWorkers, since the adviser takes longer for
	// more workers.
	minAdviceWorkers     = 30
	adviceWorkersPerTask = 5
	maxAdviceWorkers     = 100
	// maxAdviceHandling is how long the adviser may take for the workers of a call. If the
	// call takes as long without any, it may take as long again for its workers.
	maxAdviceHandling = 1 * clock.Second
	// adviceRetryDelay is how long a step waits after a call that was not answered.
	adviceRetryDelay = 300 * clock.Millisecond
	// ticketMargin is how long before its expiry a ticket is no longer used, at most a quarter
	// of its validity.
	ticketMargin = 400 * clock.Millisecond
)

// advice caches the adviser's answers for a step. The adviser's choice of workers never
// changes, but a ticket expires and is valid for only one incarnation of the worker.
type advice struct {
	inFlight bool
	askedAt  clock.Time
	handling clock.Span // of the latest call
	retryAt  clock.Time // no call before this time
	refused  map[string]bool
	tickets  map[string]ticket
}

type ticket struct {
	text        string
	until       clock.Time // the last time at which it is used
	incarnation int64
}

func (s *step) id() StepID {
	return StepID{
		Job:        s.occurrence.job.spec.ID,
		Occurrence: s.occurrence.number,
		Step:       s.number,
	}
}

// NeedsAdvice reports whether a job that has not ended needs advice. Its queue may not be
// configured any more.
func (p *Planner) NeedsAdvice() bool {
	return slices.ContainsFunc(p.activeJobs, func(j *job) bool { return j.queue.Advised })
}

// permitted reports whether the step may start on a worker now: its queue needs no advice,
// or there is a valid ticket.
func (p *Planner) permitted(now clock.Time, s *step, w *worker) bool {
	return !s.occurrence.job.queue.Advised || s.ticketFor(now, w) != ""
}

// ticketFor returns the step's valid ticket for a worker, or "" if there is none.
func (s *step) ticketFor(now clock.Time, w *worker) string {
	t, ok := s.advice.tickets[w.id]
	if !ok || t.incarnation != w.incarnation || !t.until.After(now) {
		return ""
	}
	return t.text
}

// requestAdvice asks the adviser about workers that have room for a task of the step and
// are not known to be refused.
func (p *Planner) requestAdvice(now clock.Time, s *step) {
	a := &s.advice
	if !s.occurrence.job.queue.Advised || a.inFlight || a.retryAt.After(now) || p.adviceInFlight >= p.adviceLimit {
		return
	}
	var names []string
	limit := s.adviceWorkers()
	for _, w := range p.adviceCandidates(now, s) {
		if len(names) < limit {
			names = append(names, w.id)
		}
	}
	if len(names) == 0 {
		return
	}
	q := s.occurrence.job.queue
	a.inFlight = true
	a.askedAt = now
	a.handling = q.AdviceTime + q.AdviceTimePerWorker*clock.Span(len(names))
	p.adviceInFlight++
	p.order(Advise{
		Step:     s.id(),
		Workers:  names,
		Handling: a.handling,
	})
}

// adviceWorkers returns about how many workers a call for the step asks at most: as many as
// its tasks need, if the adviser does not take too long for them, and at least one.
func (s *step) adviceWorkers() int {
	workers := min(max(minAdviceWorkers, adviceWorkersPerTask*s.open), maxAdviceWorkers)
	q := s.occurrence.job.queue
	if q.AdviceTimePerWorker == 0 {
		return workers
	}
	span := max(maxAdviceHandling-q.AdviceTime, q.AdviceTime)
	return min(workers, max(int(span/q.AdviceTimePerWorker), 1))
}

// validUntil returns the last time at which a ticket of the latest call is used. Its validity
// counts from the call, since it is not known when the adviser issued it; but a call that took
// most of that time leaves half of it.
func (a *advice) validUntil(valid clock.Span) clock.Time {
	span := max(valid, a.handling+valid/2)
	return a.askedAt.Add(span - min(ticketMargin, valid/4))
}

// prefetchAdvice asks about steps that are still blocked, while the last of their
// predecessors run.
func (p *Planner) prefetchAdvice(now clock.Time) {
	if p.adviceInFlight >= p.adviceLimit {
		return
	}
	for _, j := range p.activeJobs {
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

// predecessorsRunning reports whether no task of the steps that the step waits for is
// waiting to start.
func (s *step) predecessorsRunning(now clock.Time) bool {
	for _, number := range s.spec.After {
		predecessor := s.occurrence.steps[number]
		if predecessor.unmetDependencies > 0 || predecessor.hasWaiting(now) {
			return false
		}
	}
	return true
}

// adviceCandidates returns the workers to ask the adviser about, those with the most idle
// processors first.
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

// advised handles the result of an Advise order.
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
				until:       a.validUntil(m.Valid),
				incarnation: w.incarnation,
			}
		}
	}
}
