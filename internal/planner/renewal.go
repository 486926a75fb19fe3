package planner

import "marjoramstack/pkg/clock"

// renew orders the renewals that are due.
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
		w.ackedEnd = w.appliedEnd
	}
	r := Renew{Target: w.target()}
	if w.synced && w.renewFailures == 0 {
		// A worker that does not answer is only looked at: an unanswered renewal
		// may have been carried out, so its lease would never run out.
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

// look asks for a worker's lists beside the renewal that is under way. It
// acknowledges nothing: a look that is carried out late may reach the worker's
// next life, whose ends have the same numbers.
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

// ending reports whether a task that ends by itself runs on the worker.
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
