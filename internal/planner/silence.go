package planner

import (
	"maps"
	"slices"

	"marjoramstack/pkg/clock"
)

const (
	// silentRefresh is how often the rest of a silent worker's lease is recorded again, for
	// an owner that is lost before it can hand over. It grows by silentRefreshPerWorker with
	// each silent worker, so that the rows of a zone that is cut off stay few.
	silentRefresh          = 250 * clock.Millisecond
	silentRefreshPerWorker = 2 * clock.Millisecond
	// ownerDriftPermille is how much the steady clocks of two VMs may differ in rate.
	ownerDriftPermille = 10
)

// inheritLease takes over what an earlier owner recorded of the lease of a silent worker. The
// worker gets neither starts nor leases before the row has been replaced.
func (p *Planner) inheritLease(w *worker, m WorkerInherited) {
	if m.SilentEpoch == 0 {
		return
	}
	w.record = recordFrozen
	w.silentRecorded = true
	kept := p.opts.LeasesSince != 0 && m.SilentEpoch >= p.opts.LeasesSince && m.SilentEpoch < p.opts.Epoch
	if !kept || m.LeaseLeft < 0 {
		return
	}
	w.inheritedLeft = m.LeaseLeft
	w.leftKnown = true
}

// inheritedExpiry returns when every lease on a worker that has not answered this owner has
// expired.
func (p *Planner) inheritedExpiry(w *worker) clock.Time {
	if !w.leftKnown {
		return p.inheritedUntil()
	}
	left := w.inheritedLeft + w.inheritedLeft*ownerDriftPermille/milliScale + 1
	return min(p.recordedUntil(), p.opts.LeaseBase.Add(left))
}

// recordedUntil returns the latest time at which a lease can end that an earlier owner knew
// of: after a restart of the worker it reckons with calls that are under way.
func (p *Planner) recordedUntil() clock.Time { return p.inheritedUntil().Add(maxCallTime) }

// silent reports whether the rest of a worker's lease is to be recorded. At a hand-over that
// holds for each worker that has not answered the last call, or none yet.
func (p *Planner) silent(w *worker) bool {
	silent := w.renewFailures >= unreachableFailures || p.handingOver && (w.renewFailures > 0 || !w.synced)
	return silent && w.record != recordNone && w.record != recordWriting && !p.latest.After(p.leaseExpiry(w))
}

// silenceDue reports whether a worker's record has to be written because the worker has become
// silent, is still so, or answers again.
func (p *Planner) silenceDue(w *worker) bool {
	if !p.silent(w) {
		return w.silentRecorded && w.synced && w.renewFailures == 0
	}
	refresh := p.ticked.Sub(w.recordedAt) >= silentRefresh+silentRefreshPerWorker*clock.Span(p.silentWorkers)
	return !w.silentRecorded || refresh || p.handingOver && !w.lastOfTenure
}

// leaseLeft returns the longest that any lease on a worker may still last. Of a rest that an
// earlier owner recorded, the time since then is subtracted; only that time is subject to the
// difference between the owners' clocks.
func (p *Planner) leaseLeft(w *worker) clock.Span {
	if w.synced || !w.leftKnown {
		return max(p.leaseExpiry(w).Sub(p.latest), 0)
	}
	passed := p.latest.Sub(p.opts.LeaseBase)
	left := w.inheritedLeft - passed*(milliScale-ownerDriftPermille)/milliScale + 1
	return max(min(left, p.recordedUntil().Sub(p.latest)), 0)
}

// silentRecord returns the record of a silent worker. What an earlier owner's record says of its
// tasks is handed on if the worker has not told this owner.
func (p *Planner) silentRecord(w *worker) WorkerRecord {
	record := p.recordAs(w, recordFrozen)
	if !w.synced || !w.endsRead {
		record.Exact = w.possibleTasks != nil
		record.Held = slices.SortedFunc(maps.Keys(w.possibleTasks), compareTasks)
	}
	record.SilentEpoch = p.opts.Epoch
	record.LeaseLeft = p.leaseLeft(w)
	return record
}

func compareTasks(a, b TaskID) int {
	return compareKeys(runKey{task: a}, runKey{task: b})
}
