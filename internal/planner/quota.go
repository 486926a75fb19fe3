package planner

import (
	"fmt"

	"marjoramstack/pkg/clock"
	"marjoramstack/pkg/document"
)

// customer is what the planner keeps of a customer.
type customer struct {
	terms      document.Customer
	configured bool
	// used is the demand of all attempts that may be running on any worker: those that are
	// planned, not answered or being stopped too. Best-effort tasks count with their processors.
	used document.Size
	// held is the demand of long-running tasks that wait to run again.
	held document.Size
	// unread is the demand of tasks that an earlier owner may have started on workers that
	// this owner has not read.
	unread document.Size
	// finite is the part of used that ends by itself.
	finite   document.Size
	arrivals arrivalBucket
	// lastArrival is when a job was last accepted from the customer.
	lastArrival clock.Time
}

// customerFor returns the customer of a submitted job, nil if it has none.
func (p *Planner) customerFor(m Submitted) *customer {
	name := m.Job.Customer
	if name == "" {
		return nil
	}
	c := p.customers[name]
	if c == nil {
		c = &customer{}
		p.customers[name] = c
		p.customerOrder = append(p.customerOrder, c)
		c.terms, c.configured = p.ops.Customers[name]
	}
	if !c.configured && m.Customer != nil {
		c.terms = *m.Customer
	}
	return c
}

// configureCustomers takes the terms of the current configuration. A customer that it no longer
// has keeps its last terms for the jobs that have been accepted.
func (p *Planner) configureCustomers() {
	for name, c := range p.customers {
		terms, ok := p.ops.Customers[name]
		c.configured = ok
		if ok {
			c.terms = terms
		}
	}
}

// withinQuota reports whether the customer's quota has room for n more attempts of a step. The
// quota that is held for t, which may be nil, counts as free. If nothing else of the customer
// runs, one attempt may: the limit can have been lowered below it after the job was accepted.
func (p *Planner) withinQuota(s *step, n int, t *task) bool {
	c := s.occurrence.job.customer
	if c == nil || !c.terms.Limited() {
		return true
	}
	used := c.used.Plus(c.unread).Plus(c.held)
	if t != nil && t.quotaHeld {
		used = used.Minus(s.spec.Demand)
	}
	if n == 1 && used == (document.Size{}) {
		return true
	}
	return c.terms.Allows(used.Plus(s.spec.Demand.Times(n)))
}

// useQuota counts an attempt that has been added to the task.
func (t *task) useQuota() {
	c := t.job().customer
	if c == nil {
		return
	}
	t.releaseHeldQuota()
	c.used = c.used.Plus(t.step.spec.Demand)
	if !t.step.spec.LongRunning {
		c.finite = c.finite.Plus(t.step.spec.Demand)
	}
}

// freeQuota stops counting an attempt that has been removed from the task. If the task is to
// run again for as long as its job lasts, its quota is held, so that nothing new takes it.
func (t *task) freeQuota(r *run) {
	c := t.job().customer
	if c == nil {
		return
	}
	c.used = c.used.Minus(t.step.spec.Demand)
	if !t.step.spec.LongRunning {
		c.finite = c.finite.Minus(t.step.spec.Demand)
		return
	}
	neverSent := r.phase == runPlanned && t.lastEnd == 0
	if len(t.runs) == 0 && !t.done && !t.job().state.Final() && !neverSent && !t.quotaHeld {
		t.quotaHeld = true
		c.held = c.held.Plus(t.step.spec.Demand)
	}
}

// releaseHeldQuota ends the hold of the task's quota, if there is one.
func (t *task) releaseHeldQuota() {
	if !t.quotaHeld {
		return
	}
	t.quotaHeld = false
	c := t.job().customer
	c.held = c.held.Minus(t.step.spec.Demand)
}

// countUnread sums up, for each customer, what earlier owners may have started on workers that
// this owner has not read.
func (p *Planner) countUnread(now clock.Time) {
	for _, c := range p.customerOrder {
		c.unread = document.Size{}
	}
	if len(p.customers) == 0 || p.allRead {
		return
	}
	if p.allKnown {
		p.countRecordedUnread(now)
		return
	}
	for _, j := range p.jobs {
		if j.customer == nil || !p.mayHaveUnread(j) {
			continue
		}
		for _, o := range j.occurrences {
			for _, s := range o.steps {
				j.customer.unread = j.customer.unread.Plus(s.unread())
			}
		}
	}
}

// mayHaveUnread reports whether attempts of the job by an earlier owner may still run. Those of a
// job that has ended were stopped; what could not be stopped lasts for one lease.
func (p *Planner) mayHaveUnread(j *job) bool {
	if !j.inherited {
		return false
	}
	return !j.state.Final() || p.opts.Takeover.Sub(j.ended) <= p.longestLease+p.longestLease*driftPermille/1000
}

// unread returns the demand of the attempts of the step that may run without the owner's
// knowledge. An earlier owner may have started it on ends that it did not record any more.
func (s *step) unread() document.Size {
	if s.accounted == len(s.tasks) {
		return document.Size{}
	}
	count := 0
	for _, t := range s.tasks {
		switch {
		case t.done || t.accounted:
		case s.spec.Speculative:
			count += max(maxConcurrentAttempts-len(t.runs), 0)
		case len(t.runs) == 0:
			count++
		}
	}
	return s.spec.Demand.Times(count)
}

// countRecordedUnread counts the tasks that the records of unread workers list. One that is done
// may run there still, if a replaced owner started it before it knew.
func (p *Planner) countRecordedUnread(now clock.Time) {
	counted := map[TaskID]bool{}
	for _, w := range p.fleet {
		if len(w.possibleTasks) == 0 || !p.unread(now, w) {
			continue
		}
		for id := range w.possibleTasks {
			t := p.findTask(id)
			if t == nil || t.job().customer == nil || len(t.runs) > 0 || counted[id] {
				continue
			}
			counted[id] = true
			t.job().customer.unread = t.job().customer.unread.Plus(t.step.spec.Demand)
		}
	}
}

// describe states the quota and its use for the log: processors in thousandths, memory in MB.
func (c *customer) describe() string {
	limit, used, unread := c.terms.Cap, c.used.Plus(c.held), c.unread
	return fmt.Sprintf("limit %d/%d/%d processors/memory/accelerators, used %d/%d/%d, perhaps by an earlier owner %d/%d/%d",
		limit.Processors, limit.Memory, limit.Accelerators, used.Processors, used.Memory, used.Accelerators,
		unread.Processors, unread.Memory, unread.Accelerators)
}
