package planner

import (
	"slices"

	"marjoramstack/pkg/clock"
)

// renewLeases orders the renewals that are due. It examines workers only once
// nextRenewal has come.
func (p *Planner) renewLeases(now clock.Time) {
	if p.nextRenewal.After(now) {
		return
	}
	p.nextRenewal = never
	p.toRenew = slices.DeleteFunc(p.toRenew, func(w *worker) bool {
		switch {
		case w.renewInFlight:
		case w.renewAt.After(now):
			p.nextRenewal = min(p.nextRenewal, w.renewAt)
			return false
		default:
			p.renewLease(now, w)
		}
		return true
	})
}

// scheduleRenewal sets when the lease of a worker without a renewal in flight is renewed.
func (p *Planner) scheduleRenewal(w *worker, at clock.Time) {
	w.renewAt = at
	p.nextRenewal = min(p.nextRenewal, at)
	if i, found := findWorker(p.toRenew, w.id); !found {
		p.toRenew = slices.Insert(p.toRenew, i, w)
	}
}

// endRenewal handles the end of the renewal in flight. The next one is due at once unless
// it is scheduled for later.
func (p *Planner) endRenewal(w *worker) {
	w.renewInFlight = false
	p.scheduleRenewal(w, w.renewAt)
}

func (p *Planner) renewLease(now clock.Time, w *worker) {
	if len(p.dirty) == 0 && p.inFlight == nil {
		w.ackedEnd = p.acknowledgeable(w)
	}
	r := Renew{
		Target:  w.target(),
		Ordered: now,
	}
	if w.synced && w.renewFailures == 0 && !w.silentRecorded {
		// A worker that does not answer is only polled. An unanswered renewal may
		// have been carried out, so with a deadline its lease would never expire.
		r.Deadline = w.workerTimeAt(now).Add(p.opts.LeaseMax - leaseMargin)
		r.Acked = w.ackedEnd
		r.Wait = p.renewalWait(w)
		w.grant(r.Deadline)
		w.deadlineSentAt = now
	}
	w.renewInFlight = true
	w.renewSentAt = now
	w.renewAddress = r.Address
	w.renewWait = r.Wait
	w.leaseWithheld = w.synced && r.Deadline == 0 && w.renewFailures == 0
	p.watchExpiry(w)
	p.order(r)
}

// poll asks for a worker's report in addition to the renewal in flight. It acknowledges
// no ends: a delayed poll may reach the worker's next incarnation, which numbers its
// ends from the beginning again.
func (p *Planner) poll(w *worker) {
	p.order(Renew{
		Target:  w.target(),
		Extra:   true,
		Ordered: p.latest,
	})
}

// workersPerRenewalMillisecond is by how many workers of the cell the least time from a
// worker's report until its next renewal grows by 1 ms. In a large pool several tasks of a
// worker end in that time, which then need one call instead of one each.
const workersPerRenewalMillisecond = 10

// earliestRenewal returns when the next renewal of a worker that has just reported, or whose
// ends have become durable, may be sent. The ends of short tasks are not waited for.
func (p *Planner) earliestRenewal(now clock.Time, w *worker) clock.Time {
	if w.hasShortTask() {
		return now
	}
	return max(now, w.receivedAt.Add(clock.Span(len(p.fleet)/workersPerRenewalMillisecond)))
}

// hastenRenewal makes the renewal of a worker that gets a short task due now.
func (p *Planner) hastenRenewal(now clock.Time, w *worker, t *task) {
	if t.step.short() && w.synced && w.renewFailures == 0 && !w.renewInFlight && w.renewAt.After(now) {
		p.scheduleRenewal(w, now)
	}
}

// hasShortTask reports whether the worker runs a short task.
func (w *worker) hasShortTask() bool {
	return slices.ContainsFunc(w.ordered, func(r *run) bool { return r.task != nil && r.task.step.short() })
}

func (p *Planner) renewalWait(w *worker) clock.Span {
	switch {
	case w.appliedEnd > w.ackedEnd:
		return 0
	case len(w.runs) == 0:
		return waitIdle
	case w.hasFiniteTask():
		return waitBusy + clock.Span(len(p.fleet)/workersPerWaitMillisecond)
	default:
		return waitLongRunning
	}
}

// workersPerWaitMillisecond is by how many workers of the cell waitBusy grows by 1 ms.
const workersPerWaitMillisecond = 4

// hasFiniteTask reports whether the worker runs a task that ends by itself.
func (w *worker) hasFiniteTask() bool {
	for _, r := range w.ordered {
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
	if m.Outcome == OutcomeReplaced && m.Address == w.info.Address && m.Address == w.reachedAt {
		p.workerReplaced(now, w)
	}
	if m.Extra {
		return
	}
	p.endRenewal(w)
	switch m.Outcome {
	case OutcomeNotSent:
		p.scheduleRenewal(w, now.Add(retryMin))
		return
	}
	w.renewFailures++
	p.recordsCurrent = false
	p.watchExpiry(w)
	if w.renewFailures == 1 {
		p.log(LogEntry{
			Event:  "worker-unreached",
			Worker: m.Worker,
			Reason: m.Outcome.String(),
		})
	}
	p.scheduleRenewal(w, now.Add(min(retryMin*clock.Span(w.renewFailures), retryMax)))
}
