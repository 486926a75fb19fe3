package planner

import (
	"maps"
	"slices"

	"marjoramstack/pkg/clock"
)

// recordState is the state of a worker's durable record. The record is all that a new
// owner knows about a worker that it cannot reach.
type recordState int

const (
	// recordNone: there is no record. The worker gets no starts.
	recordNone recordState = iota
	// recordInexact: any task may have been started on the worker.
	recordInexact
	// recordExact: the record lists every task that may be on the worker, and a task is
	// added before it is started there.
	recordExact
	// recordFrozen: the record is exact, and the worker gets no starts because it does
	// not answer, it is leaving, or the owner is about to give up the cell.
	recordFrozen
	// recordWriting: the record is being written. The worker gets no starts.
	recordWriting
)

const (
	// unreachableFailures is how many renewals in a row must fail for a worker's record
	// to be frozen.
	unreachableFailures = 2
	// recordFollowInterval is the least time after which a worker's record is written again
	// only because it lists tasks that have ended without being done.
	recordFollowInterval = 500 * clock.Millisecond
	// maxPlannedWait is how long a planned start may wait for the record to name its
	// task. After that the task is placed again.
	maxPlannedWait = 1500 * clock.Millisecond
)

// wantedRecord returns the state that a worker's record should have. Workers of the
// owner's own zone have exact records: a partition of that zone makes them and the
// owner unreachable at the same time, whereas the next owner can poll all others. A worker
// that gets no more starts needs no record once it holds nothing.
func (p *Planner) wantedRecord(w *worker) recordState {
	leaving := w.info.Leaving || p.ops.LeavingZones[w.info.Zone]
	switch {
	case !w.synced, !w.endsRead:
		return w.record // what is there is not known yet
	case leaving && p.holdsNothing(w):
		return recordNone
	case p.handingOver, leaving:
		return recordFrozen
	case w.renewFailures == 0 && w.info.Zone == p.opts.Zone && p.opts.Zone != "":
		return recordExact
	case w.renewFailures == 0:
		return recordInexact
	case (w.record == recordInexact || w.record == recordExact) && w.renewFailures >= unreachableFailures:
		return recordFrozen
	}
	return w.record
}

// holdsNothing reports whether no task may be on a worker and all ends there are durable, or
// will be with the batch that is being put together.
func (p *Planner) holdsNothing(w *worker) bool {
	unrecorded := func(t *task) bool { return p.dirty[t.job().spec.ID] != nil }
	return len(w.runs) == 0 && len(w.unclaimedEnds) == 0 && !slices.ContainsFunc(w.unrecordedEnds, unrecorded)
}

// outdateRecord makes a worker's record be written again soon, because a task that it lists
// is not on the worker and may be started elsewhere.
func (p *Planner) outdateRecord(w *worker) {
	if p.handingOver {
		return // the record is being written for the next owner
	}
	w.recordOutdated = w.record == recordExact || w.record == recordFrozen
	p.recordsCurrent = false
}

// recordDue reports whether a worker's record has to be written now.
func (p *Planner) recordDue(w *worker) bool {
	follow := w.recordOutdated && w.endsRead && (p.handingOver || p.ticked.Sub(w.recordedAt) >= recordFollowInterval)
	return w.unrecordedStarts > 0 || p.wantedRecord(w) != w.record || follow || p.silenceDue(w)
}

// HandOver makes the records of all workers list every task that may be there, so that
// the next owner need not wait for a worker that does not answer. Decide must not be
// called after it.
func (p *Planner) HandOver() {
	p.handingOver = true
	p.recordsCurrent = false
}

// pendingRecord is a write of a worker's record in flight, with the planned runs that
// it adds. writeIncarnation is the worker's incarnation when the write began; if the
// worker restarts before the write is durable, the write does not make it usable and
// starts nothing.
type pendingRecord struct {
	worker           *worker
	writeIncarnation int64
	state            recordState
	silent           bool // the record states the rest of the lease
	starts           []*run
}

// maxUnrecordedEnds is from how many ends on a worker the durable ones are dropped, also if
// its record is not written.
const maxUnrecordedEnds = 64

// addUnrecordedEnd remembers that a task ended on a worker, until the end is durable.
func (p *Planner) addUnrecordedEnd(w *worker, t *task) {
	if len(w.unrecordedEnds) >= maxUnrecordedEnds {
		p.dropRecordedEnds(w)
	}
	w.unrecordedEnds = append(w.unrecordedEnds, t)
}

// dropRecordedEnds forgets the ends on a worker that are durable, or will be with the batch
// that is being put together.
func (p *Planner) dropRecordedEnds(w *worker) {
	w.unrecordedEnds = slices.DeleteFunc(w.unrecordedEnds, func(t *task) bool { return p.dirty[t.job().spec.ID] == nil })
}

// recordAs returns the contents of the worker's record in a state. An exact record also
// lists the tasks whose ends are not durable with this batch: a new owner that cannot reach
// the worker must not start them again.
func (p *Planner) recordAs(w *worker, state recordState) WorkerRecord {
	record := WorkerRecord{Worker: w.info}
	p.dropRecordedEnds(w)
	record.Worker.Address = w.reachedAt
	if state == recordInexact {
		return record
	}
	record.Exact = true
	for _, r := range w.ordered {
		record.Held = append(record.Held, r.key.task)
	}
	for _, t := range w.unrecordedEnds {
		record.Held = append(record.Held, t.id())
	}
	for _, h := range w.unclaimedEnds {
		record.Held = append(record.Held, h.task)
	}
	return record
}

// dropEmptyRecords drops the records of workers that get no more starts and hold nothing.
func (p *Planner) dropEmptyRecords() {
	for _, w := range p.fleet {
		if w.record != recordNone && p.wantedRecord(w) == recordNone {
			w.withoutRecord()
			p.recordsToDrop[w.id] = true
		}
	}
}

// takeWorkerRecords adds at most limit changes of worker records to the batch.
func (p *Planner) takeWorkerRecords(batch *Batch, pending *pendingBatch, limit int) {
	p.dropEmptyRecords()
	for _, id := range slices.Sorted(maps.Keys(p.recordsToDrop)) {
		if len(batch.Unused) < limit {
			batch.Unused = append(batch.Unused, id)
			delete(p.recordsToDrop, id)
		}
	}
	limit -= len(batch.Unused)
	p.silentWorkers = 0
	for _, w := range p.fleet {
		if p.silent(w) {
			p.silentWorkers++
		}
		if !p.recordDue(w) || slices.Contains(batch.Unused, w.id) || len(batch.Used) >= limit {
			continue
		}
		want := p.wantedRecord(w)
		delete(p.recordsToDrop, w.id)
		if p.silent(w) {
			w.silentRecorded = true
			w.lastOfTenure = p.handingOver
			change := p.beginRecordWrite(w, recordFrozen)
			change.silent = true
			pending.records = append(pending.records, change)
			batch.Used = append(batch.Used, p.silentRecord(w))
			continue
		}
		pending.records = append(pending.records, p.beginRecordWrite(w, want))
		batch.Used = append(batch.Used, p.recordAs(w, want))
	}
}

// beginRecordWrite begins a write of a worker's record. An exact state takes effect at
// once, since later starts wait for a later write.
func (p *Planner) beginRecordWrite(w *worker, want recordState) pendingRecord {
	change := pendingRecord{
		worker:           w,
		writeIncarnation: w.incarnation,
		state:            want,
	}
	switch {
	case want == recordExact || want == recordFrozen:
		w.record = want
	case w.record != recordExact:
		w.record = recordWriting
	}
	w.recordOutdated = false
	w.recordedAt = p.ticked
	p.recordsCurrent = false
	p.watchExpiry(w)
	if want == recordFrozen {
		p.dropPlanned(p.lastPass, w)
		return change
	}
	for _, r := range w.ordered {
		if r.phase == runPlanned {
			r.inRecordWrite = true
			w.unrecordedStarts--
			change.starts = append(change.starts, r)
		}
	}
	return change
}

// recordDurable handles a record that has become durable, and sends the planned
// starts that it added.
func (p *Planner) recordDurable(now clock.Time, change pendingRecord) {
	w := change.worker
	p.passNeeded = true
	sameIncarnation := change.writeIncarnation == w.incarnation
	restarted := change.writeIncarnation != 0 && !sameIncarnation
	answered := w.silentRecorded && !change.silent
	w.silentRecorded = change.silent && !restarted
	if answered && !w.renewInFlight {
		p.scheduleRenewal(w, now) // its lease may be nearly over
	}
	if sameIncarnation && change.state == recordInexact && (w.record == recordWriting || w.record == recordExact) {
		w.record = recordInexact
	}
	p.recordsCurrent = false
	p.watchExpiry(w)
	for _, r := range change.starts {
		if r.phase != runPlanned || w.runs[r.key] != r {
			continue
		}
		if sameIncarnation && p.usable(now, w) && p.permitted(now, r.task.step, w) {
			w.plannedStarts--
			p.sendStart(now, r)
		} else {
			p.dropPlannedRun(now, r)
		}
	}
}

// dropPlannedRun removes a planned start, so that its task can be placed again.
func (p *Planner) dropPlannedRun(now clock.Time, r *run) {
	p.detach(now, r)
	p.outdateRecord(r.worker)
	p.keepPlace(now, r, OutcomeNotSent)
}

// dropPlanned removes the planned starts on a worker.
func (p *Planner) dropPlanned(now clock.Time, w *worker) {
	if w.plannedStarts == 0 {
		return
	}
	for _, r := range w.sortedRuns() {
		if r.phase == runPlanned {
			p.dropPlannedRun(now, r)
		}
	}
}

// dropOverduePlanned removes planned starts that have waited too long for a durable
// record, so that their tasks can be placed elsewhere.
func (p *Planner) dropOverduePlanned(now clock.Time) {
	for _, w := range p.fleet {
		if w.plannedStarts == 0 {
			continue
		}
		for _, r := range w.sortedRuns() {
			if r.phase == runPlanned && now.Sub(r.orderedAt) > maxPlannedWait {
				p.dropPlannedRun(now, r)
			}
		}
	}
}
