package planner

import (
	"maps"
	"slices"

	"marjoramstack/pkg/clock"
)

// useState is what the record of workers in use says of a worker. The record is
// what a new owner knows of a worker that it does not reach.
type useState int

const (
	// useNone: not named. Nothing may be started on it.
	useNone useState = iota
	// useReached: anything may have been started on it.
	useReached
	// useExact: the record names all tasks that may be on it, and names a task
	// before it is started there.
	useExact
	// useUnreached: as useExact, and nothing is started on it, since it does not
	// answer, is leaving, or the cell is about to be given up.
	useUnreached
	// useChanging: the record is being written. Nothing may be started on it.
	useChanging
)

const (
	// unreachedAfter is how many renewals in a row must fail for a worker to be
	// recorded as unreached.
	unreachedAfter = 2
	// plannedMost is how long a task may wait for the record to name it before it
	// is placed anew.
	plannedMost = 1500 * clock.Millisecond
)

// wantedUse returns what the record should say. Workers of the owner's own zone
// are recorded exactly: a cut of the zone takes them and the owner away at once,
// and the next owner can ask all others.
func (p *Planner) wantedUse(w *worker) useState {
	switch {
	case !w.synced:
		return w.use
	case p.handingOver, w.info.Leaving, p.ops.LeavingZones[w.info.Zone]:
		return useUnreached
	case w.failures == 0 && w.info.Zone == p.opts.Zone && p.opts.Zone != "":
		return useExact
	case w.failures == 0:
		return useReached
	case (w.use == useReached || w.use == useExact) && w.failures >= unreachedAfter:
		return useUnreached
	}
	return w.use
}

// HandOver makes the record name all that may be on any worker, so that the next
// owner need not wait for one that does not answer. Nothing may be decided any
// more after it.
func (p *Planner) HandOver() { p.handingOver = true }

// pendingUse is a record of a worker that is being written, and the planned runs
// that it names. It counts for the worker's life in which the write began.
type pendingUse struct {
	worker *worker
	life   int64
	state  useState
	named  []*run
}

// useRecord is the worker's record in a state.
func (w *worker) useRecord(state useState) WorkerRecord {
	use := WorkerRecord{Worker: w.info}
	if state == useReached {
		return use
	}
	use.Exact = true
	for _, r := range w.sortedRuns() {
		use.Held = append(use.Held, r.key.task)
	}
	return use
}

// takeUse adds the changes of the record of workers in use.
func (p *Planner) takeUse(batch *Batch, pending *pendingBatch, most int) {
	for _, id := range slices.Sorted(maps.Keys(p.gone)) {
		if len(batch.Unused) < most {
			batch.Unused = append(batch.Unused, id)
			delete(p.gone, id)
		}
	}
	most -= len(batch.Unused)
	for _, w := range p.fleet {
		want := p.wantedUse(w)
		if (want == w.use && w.unnamed == 0) || slices.Contains(batch.Unused, w.id) || len(batch.Used) >= most {
			continue
		}
		delete(p.gone, w.id)
		pending.used = append(pending.used, p.changeUse(w, want))
		batch.Used = append(batch.Used, w.useRecord(want))
	}
}

// changeUse begins a change of the record. An exact record may replace any other
// at once, since what is started from now on waits for a later write.
func (p *Planner) changeUse(w *worker, want useState) pendingUse {
	change := pendingUse{
		worker: w,
		life:   w.incarnation,
		state:  want,
	}
	switch {
	case want == useExact || want == useUnreached:
		w.use = want
	case w.use != useExact:
		w.use = useChanging
	}
	if want == useUnreached {
		p.dropPlanned(p.decided, w)
		return change
	}
	for _, r := range w.sortedRuns() {
		if r.phase == runPlanned {
			r.named = true
			w.unnamed--
			change.named = append(change.named, r)
		}
	}
	return change
}

// recorded takes note that a record is durable, and starts what it names.
func (p *Planner) recorded(now clock.Time, change pendingUse) {
	w := change.worker
	p.stirred = true
	sameLife := change.life == w.incarnation
	if sameLife && change.state == useReached && (w.use == useChanging || w.use == useExact) {
		w.use = useReached
	}
	for _, r := range change.named {
		if r.phase != runPlanned || w.runs[r.key] != r {
			continue
		}
		if sameLife && p.usable(now, w) && p.permitted(now, r.task.step, w) {
			w.awaiting--
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
func (p *Planner) giveBack(now clock.Time) {
	for _, w := range p.fleet {
		if w.awaiting == 0 {
			continue
		}
		for _, r := range w.runs {
			if r.phase == runPlanned && now.Sub(r.ordered) > plannedMost {
				p.detach(now, r)
			}
		}
	}
}
