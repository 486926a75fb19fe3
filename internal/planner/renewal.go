package planner

import "marjoramstack/pkg/clock"

// renewLeases orders the renewals that are due.
func (p *Planner) renewLeases(now clock.Time) {
	for _, w := range p.fleet {
		if w.renewInFlight || w.renewAt.After(now) {
			continue
		}
		p.renewLease(now, w)
	}
}

func (p *Planner) renewLease(now clock.Time, w *worker) {
	if len(p.dirty) == 0 && p.inFlight == nil {
		w.ackedEnd = p.acknowledgeable(w)
	}
	r := Renew{Target: w.target()}
	if w.synced && w.renewFailures == 0 {
		// A worker that does not answer is only polled. An unanswered renewal may
		// have been carried out, so with a deadline its lease would never expire.
		r.Deadline = w.workerTimeAt(now).Add(p.opts.LeaseMax - leaseMargin)
		r.Acked = w.ackedEnd
		r.Wait = p.renewalWait(w)
		w.grant(r.Deadline)
	}
	w.renewInFlight = true
	w.renewSentAt = now
	w.renewWait = r.Wait
	p.order(r)
}

// poll asks for a worker's report in addition to the renewal in flight. It acknowledges
// no ends: a delayed poll may reach the worker's next incarnation, which numbers its
// ends from the beginning again.
func (p *Planner) poll(w *worker) {
	p.order(Renew{
		Target: w.target(),
		Extra:  true,
	})
}

func (p *Planner) renewalWait(w *worker) clock.Span {
	switch {
	case w.appliedEnd > w.ackedEnd:
		return 0
	case len(w.runs) == 0:
		return waitIdle
	case w.hasFiniteTask():
		return waitBusy
	default:
		return waitLongRunning
	}
}

// hasFiniteTask reports whether the worker runs a task that ends by itself.
func (w *worker) hasFiniteTask() bool {
	for _, r := range w.runs {
		if r.task != nil && !r.task.step.spec.LongRunning {
			return true
		}
	}
	return false
}

func (p *Planner) renewFailed(now clock.Time, m RenewFailed) {
	w := p.workers[m.Worker]
	if w == nil {
		return
	}
	if m.Outcome == OutcomeFenced {
		p.fenced = true
		return
	}
	if m.Outcome == OutcomeReplaced && m.Address == w.info.Address {
		p.workerReplaced(now, w)
	}
	if m.Extra {
		return
	}
	w.renewInFlight = false
	switch m.Outcome {
	case OutcomeNotSent:
		w.renewAt = now.Add(retryMin)
		return
	}
	w.renewFailures++
	if w.renewFailures == 1 {
		p.log(LogEntry{
			Event:  "worker-unreached",
			Worker: m.Worker,
			Reason: m.Outcome.String(),
		})
	}
	w.renewAt = now.Add(min(retryMin*clock.Span(w.renewFailures), retryMax))
}
