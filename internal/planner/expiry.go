package planner

import (
	"math"
	"slices"

	"marjoramstack/pkg/clock"
)

// never is later than any time.
const never = clock.Time(math.MaxInt64)

// expireLeases ends the runs of workers whose leases have expired, and drops workers
// that are unlisted and unreachable. It examines the workers only once nextExpiry has
// passed.
func (p *Planner) expireLeases(now clock.Time) {
	if !now.After(p.nextExpiry) {
		return
	}
	for _, w := range slices.Clone(p.fleet) {
		p.expireLease(now, w)
	}
	p.nextExpiry = never
	for _, w := range p.fleet {
		p.watchExpiry(w)
	}
}

func (p *Planner) expireLease(now clock.Time, w *worker) {
	if !w.leaseMayExpire() {
		return
	}
	if len(w.runs) > 0 && now.After(p.leaseExpiry(w)) {
		p.endAllRuns(now, w, "the worker's lease ran out")
	}
	if w.record != recordNone && w.renewFailures > 0 && now.After(p.leaseExpiry(w)) {
		// Nothing runs there any more. It is recorded again before it gets a start.
		w.withoutRecord()
		p.recordsCurrent = false
		p.recordsToDrop[w.id] = true
	}
	if !w.listed && len(w.runs) == 0 && w.renewFailures > 0 && now.Sub(w.unlistedAt) > unlistedGrace && now.After(p.leaseExpiry(w)) {
		p.log(LogEntry{
			Event:  "worker-gone",
			Worker: w.id,
		})
		p.dropWorker(w.id)
	}
}

// leaseMayExpire reports whether the worker's lease may expire before the next renewal is sent.
func (w *worker) leaseMayExpire() bool {
	return w.renewFailures > 0 || w.renewInFlight || w.silentRecorded
}

// watchExpiry makes expireLeases examine the worker in time. It is called after any
// change through which expireLease may have something to do earlier than before.
func (p *Planner) watchExpiry(w *worker) { p.nextExpiry = min(p.nextExpiry, p.expiryDue(w)) }

// expiryDue returns the time after which expireLease has something to do, never if that
// takes another change of the worker first.
func (p *Planner) expiryDue(w *worker) clock.Time {
	switch {
	case !w.leaseMayExpire():
		return never
	case len(w.runs) > 0, w.record != recordNone && w.renewFailures > 0:
		return p.leaseExpiry(w)
	case !w.listed && w.renewFailures > 0:
		return max(p.leaseExpiry(w), w.unlistedAt.Add(unlistedGrace))
	default:
		return never
	}
}

// endAllRuns ends every attempt on a worker that no longer runs any.
func (p *Planner) endAllRuns(now clock.Time, w *worker, reason string) {
	p.log(LogEntry{
		Event:  "worker-lost",
		Worker: w.info.ID,
		Reason: reason,
		Age:    now.Sub(w.receivedAt),
	})
	for _, r := range w.sortedRuns() {
		p.stats.Lapsed++
		p.endRun(now, r, EndLapsed, r.checkpoint)
	}
}
