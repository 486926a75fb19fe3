package planner

import (
	"maps"
	"slices"

	"marjoramstack/pkg/clock"
)

// useState is what the record of workers in use says of a worker. The record is
// what a new owner knows of a worker that it does not reach.
type recordState int

const (
	// useNone: not named. Nothing may be started on it.
	recordNone recordState = iota
	// useReached: anything may have been started on it.
	recordInexact
	// useExact: the record names all tasks that may be on it, and names a task
	// before it is started there.
	recordExact
	// useUnreached: as useExact, and nothing is started on it, since it does not
	// answer, is leaving, or the cell is about to be given up.
	recordFrozen
	// useChanging: the record is being written. Nothing may be started on it.
	recordWriting
)

const (
	// unreachedAfter is how many renewals in a row must fail for a worker to be
	// recorded as unreached.
	unreachableFailures = 2
	// plannedMost is how long a task may wait for the record to name it before it
	// is placed anew.
	maxPlannedWait = 1500 * clock.Millisecond
)

// wantedUse returns what the record should say. Workers of the owner's own zone
// are recorded exactly: a cut of the zone takes them and the owner away at once,
// and the next owner can ask all others.
func (p *Planner) wantedRecord(w *worker) recordState {
	switch {
	case !w.synced:
		return w.record
	case p.handingOver, w.info.Leaving, p.ops.LeavingZones[w.info.Zone]:
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

// HandOver makes the record name all that may be on any worker, so that the next
// owner need not wait for one that does not answer. Nothing may be decided any
// more after it.
func (p *Planner) HandOver() { p.handingOver = true }

// pendingUse is a record of a worker that is being written, and the planned runs
// that it names. It counts for the worker's life in which the write began.
type pendingRecord struct {
	worker      *worker
	incarnation int64
	state       recordState
	starts      []*run
}

// useRecord is the worker's record in a state.
func (w *worker) recordAs(state recordState) WorkerRecord {
	use := WorkerRecord{Worker: w.info}
	if state == recordInexact {
		return use
	}
	use.Exact = true
	for _, r := range w.sortedRuns() {
		use.Held = append(use.Held, r.key.task)
	}
	return use
}

// takeUse adds the changes of the record of workers in use.
func (p *Planner) takeWorkerRecords(batch *Batch, pending *pendingBatch, most int) {
	for _, id := range slices.Sorted(maps.Keys(p.recordsToDrop)) {
		if len(batch.Unused) < most {
			batch.Unused = append(batch.Unused, id)
			delete(p.recordsToDrop, id)
		}
	}
	most -= len(batch.Unused)
	for _, w := range p.fleet {
		want := p.wantedRecord(w)
		if (want == w.record && w.unrecordedStarts == 0) || slices.Contains(batch.Unused, w.id) || len(batch.Used) >= most {
			continue
		}
		delete(p.recordsToDrop, w.id)
		pending.records = append(pending.records, p.beginRecordWrite(w, want))
		batch.Used = append(batch.Used, w.recordAs(want))
	}
}

// changeUse begins a change of the record. An exact record may replace any other
// at once, since what is started from now on waits for a later write.
func (p *Planner) beginRecordWrite(w *worker, want recordState) pendingRecord {
	change := pendingRecord{
		worker:      w,
		incarnation: w.incarnation,
		state:       want,
	}
	switch {
	case want == recordExact || want == recordFrozen:
		w.record = want
	case w.record != recordExact:
		w.record = recordWriting
	}
	if want == recordFrozen {
		p.dropPlanned(p.lastPass, w)
		return change
	}
	for _, r := range w.sortedRuns() {
		if r.phase == runPlanned {
			r.inRecordWrite = true
			w.unrecordedStarts--
			change.starts = append(change.starts, r)
		}
	}
	return change
}

// recorded takes note that a record is durable, and starts what it names.
func (p *Planner) recordDurable(now clock.Time, change pendingRecord) {
	w := change.worker
	p.passNeeded = true
	sameLife := change.incarnation == w.incarnation
	if sameLife && change.state == recordInexact && (w.record == recordWriting || w.record == recordExact) {
		w.record = recordInexact
	}
	for _, r := range change.starts {
		if r.phase != runPlanned || w.runs[r.key] != r {
			continue
		}
		if sameLife && p.usable(now, w) && p.permitted(now, r.task.step, w) {
			w.plannedStarts--
			p.sendStart(now, r)
		} else {
			p.detach(now, r)
		}
	}
}

// dropPlanned ends the planned starts on a worker.
func (p *Planner) dropPlanned(now clock.Time, w *worker) {
	for _, r := range w.sortedRuns() {
		if r.phase == runPlanned {
			p.detach(now, r)
		}
	}
}

// giveBack ends planned starts that the record has not named for long, so that
// their tasks can be placed elsewhere.
func (p *Planner) dropOverduePlanned(now clock.Time) {
	for _, w := range p.fleet {
		if w.plannedStarts == 0 {
			continue
		}
		for _, r := range w.runs {
			if r.phase == runPlanned && now.Sub(r.orderedAt) > maxPlannedWait {
				p.detach(now, r)
			}
		}
	}
}
