package planner

import (
	"slices"
	"strings"

	"marjoramstack/pkg/clock"
)

// inheritedUntil returns when every lease granted by an earlier owner has expired.
func (p *Planner) inheritedUntil() clock.Time {
	span := p.longestLease
	return p.opts.Takeover.Add(span + span*driftPermille/1000 + 2*driftMargin)
}

// Takeover returns the time from which no earlier owner sends orders.
func (p *Planner) Takeover() clock.Time { return p.opts.Takeover }

// inheritanceKnown reports whether every attempt that an earlier owner started is known
// or has ended. An earlier owner started none on workers without a record.
func (p *Planner) inheritanceKnown(now clock.Time) bool {
	for _, w := range p.fleet {
		if w.inherited && w.possibleTasks == nil && p.unread(now, w) {
			return false
		}
	}
	return true
}

// unread reports whether a worker may run attempts of earlier owners, or list ends of such,
// that this owner has not read. Nothing counts any more once its lease has expired, but a
// worker is asked at least once: an owner may have taken longer to read the jobs.
func (p *Planner) unread(now clock.Time, w *worker) bool {
	unasked := !w.synced && w.renewFailures == 0
	return !w.endsRead && (unasked || !now.After(p.leaseExpiry(w)))
}

// unansweredWorkers lists the workers that have not answered this owner, for the log.
func (p *Planner) unansweredWorkers() string {
	var ids []string
	for _, w := range p.fleet {
		if !w.synced {
			ids = append(ids, w.id)
		}
	}
	return "workers without an answer: " + strings.Join(ids, " ")
}

// updateInheritance notes when every attempt of an earlier owner is known or has ended.
func (p *Planner) updateInheritance(now clock.Time) {
	if p.allRead {
		return
	}
	p.allRead = !slices.ContainsFunc(p.fleet, func(w *worker) bool { return w.inherited && p.unread(now, w) })
	if p.allKnown || !p.inheritanceKnown(now) {
		return
	}
	p.allKnown = true
	p.log(LogEntry{
		Event:  "inheritance-known",
		Reason: p.unansweredWorkers(),
		Age:    now.Sub(p.opts.Takeover),
	})
}

// account notes that no attempt of the task runs that this owner does not know. It is called
// when the owner starts the task, and when a worker lists it as running in an answer to a call
// that was sent after earlier owners had stopped acting: they start a task again only after its
// earlier attempt has ended. Copies of a speculative step may still run elsewhere.
func (t *task) account() {
	if t.accounted || t.step.spec.Speculative {
		return
	}
	t.accounted = true
	t.step.accounted++
}

// awaitsInheritance reports whether a task must not be started yet, since an attempt of an
// earlier owner may still run.
func (p *Planner) awaitsInheritance(now clock.Time, t *task) bool {
	if !t.job().inherited || t.accounted {
		return false
	}
	return !p.allKnown || p.mayStillRun(now, t.id())
}

// stepAwaitsInheritance reports whether that holds for every task of a step because attempts
// of earlier owners are not known yet.
func (p *Planner) stepAwaitsInheritance(s *step) bool {
	return s.occurrence.job.inherited && !p.allKnown && s.accounted == 0
}

// mayStillRun reports whether a task may still run under an earlier owner, on a worker
// that has not answered this one.
func (p *Planner) mayStillRun(now clock.Time, id TaskID) bool {
	return p.possibleHolder(now, id) != nil
}

// possibleHolder returns the first worker on which a task may still run under an earlier
// owner, or whose list of ends may hold the task's, according to the worker's record, nil if
// there is none.
func (p *Planner) possibleHolder(now clock.Time, id TaskID) *worker {
	if p.allRead {
		return nil
	}
	for _, w := range p.fleet {
		if w.possibleTasks[id] && p.unread(now, w) {
			return w
		}
	}
	return nil
}
