package planner

import "marjoramstack/pkg/clock"

// renew orders the renewals that are due.
func (p *Planner) renew(now clock.Time) {
	for _, w := range p.fleet {
		if w.renewing || w.renewAt.After(now) {
			continue
		}
		p.renewOne(now, w)
	}
}

func (p *Planner) renewOne(now clock.Time, w *worker) {
	if len(p.dirty) == 0 && p.inFlight == nil {
		w.acked = w.applied
	}
	r := Renew{Target: w.target()}
	if w.synced && w.failures == 0 {
		// A worker that does not answer is only looked at: an unanswered renewal
		// may have been carried out, so its lease would never run out.
		r.Deadline = w.readingAt(now).Add(p.opts.LeaseMax - leaseMargin)
		r.Acked = w.acked
		r.Wait = p.waitFor(w)
		w.grant(r.Deadline)
	}
	w.renewing = true
	w.sentAt = now
	w.wait = r.Wait
	p.order(r)
}

// look asks for a worker's lists beside the renewal that is under way. It
// acknowledges nothing: a look that is carried out late may reach the worker's
// next life, whose ends have the same numbers.
func (p *Planner) look(w *worker) {
	p.order(Renew{
		Target: w.target(),
		Extra:  true,
	})
}

func (p *Planner) waitFor(w *worker) clock.Span {
	switch {
	case w.applied > w.acked:
		return 0
	case len(w.runs) == 0:
		return waitIdle
	case w.ending():
		return waitBusy
	default:
		return waitLasting
	}
}

// ending reports whether a task that ends by itself runs on the worker.
func (w *worker) ending() bool {
	for _, r := range w.runs {
		if r.task != nil && !r.task.step.spec.LongRunning {
			return true
		}
	}
	return false
}

func (p *Planner) unrenewed(now clock.Time, m RenewFailed) {
	w := p.workers[m.Worker]
	if w == nil {
		return
	}
	if m.Outcome == OutcomeFenced {
		p.fenced = true
		return
	}
	if m.Outcome == OutcomeReplaced && m.Address == w.info.Address {
		p.replaced(now, w)
	}
	if m.Extra {
		return
	}
	w.renewing = false
	switch m.Outcome {
	case OutcomeNotSent:
		w.renewAt = now.Add(retryFirst)
		return
	}
	w.failures++
	if w.failures == 1 {
		p.note(LogEntry{
			Event:  "worker-unreached",
			Worker: m.Worker,
			Reason: m.Outcome.String(),
		})
	}
	w.renewAt = now.Add(min(retryFirst*clock.Span(w.failures), retryMost))
}
