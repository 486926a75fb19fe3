package planner

import (
	"marjoramstack/pkg/clock"
	"marjoramstack/pkg/document"
)

const (
	// driftPermille is how much slower than the owner's a worker's clock may run.
	driftPermille = 25
	// driftMargin covers the rounding of clock values.
	driftMargin = 50 * clock.Millisecond
	// leaseMargin keeps a requested lease below the longest that the worker grants.
	leaseMargin = 100 * clock.Millisecond
	// startWindow is how long after it was ordered a worker may accept a start.
	startWindow = 2 * clock.Second

	// Times for which a renewal may wait at a worker without attempts, with
	// long-running ones only, and with some that end by themselves.
	waitIdle        = 2000 * clock.Millisecond
	waitLongRunning = 1000 * clock.Millisecond
	waitBusy        = 500 * clock.Millisecond
	// waitUncommitted is how soon a worker is asked again while ends that it reported
	// are not durable.
	waitUncommitted = 250 * clock.Millisecond
	// retryMin and retryMax bound the backoff after failed renewals; it grows by
	// retryMin with each failure in a row.
	retryMin = 100 * clock.Millisecond
	retryMax = 500 * clock.Millisecond
	// answerMargin is how long after the requested wait a reachable worker answers a
	// renewal.
	answerMargin = 300 * clock.Millisecond
	// unlistedGrace is how long a worker that is no longer listed may still get starts:
	// entries expire while the platform's store is unavailable.
	unlistedGrace = 3 * clock.Second
)

type runKey struct {
	task    TaskID
	attempt int
}

type unansweredStart struct {
	key       runKey
	orderedAt clock.Time
}

type worker struct {
	id         string
	info       Worker
	listed     bool
	unlistedAt clock.Time
	// inherited is true if an earlier owner's record named the worker.
	inherited bool
	// record is the state of the worker's durable record. plannedStarts counts the
	// runs in runPlanned, unrecordedStarts those that no write includes yet.
	// possibleTasks are the tasks listed by an earlier owner's record, nil if that
	// was not exact.
	record           recordState
	plannedStarts    int
	unrecordedStarts int
	possibleTasks    map[TaskID]bool
	// recordOutdated is true if the record lists a task that ended without being done and
	// is not on the worker any more. recordedAt is when the record was last written.
	recordOutdated bool
	recordedAt     clock.Time
	// silentRecorded is true if the record states the rest of the worker's lease, or may.
	// lastOfTenure is true if that has been written for the next owner.
	silentRecorded bool
	lastOfTenure   bool
	// inheritedLeft is the rest of the lease at Options.LeaseBase according to an earlier
	// owner's record; leftKnown is false if there is none.
	inheritedLeft clock.Span
	leftKnown     bool

	// reachedAt is the address at which the worker last answered this owner, or else an
	// earlier one; its row may name another since.
	reachedAt string
	// synced is true once the worker has answered this owner.
	incarnation int64
	synced      bool
	// endsRead is true once a report has listed all ends that were there before, not only
	// the first of them.
	endsRead bool
	// workerTime is the worker's clock in its latest report, receivedAt the owner's
	// when that arrived.
	workerTime clock.Time
	receivedAt clock.Time
	// grantedUntil is the latest time, by the worker's clock, up to which a lease may
	// have been granted.
	grantedUntil clock.Time

	renewInFlight bool
	renewAt       clock.Time
	renewSentAt   clock.Time
	renewAddress  string // where the latest renewal was sent
	renewWait     clock.Span
	// deadlineSentAt is when the latest order with a lease's end was sent.
	deadlineSentAt clock.Time
	// leaseWithheld is true if the last renewal grants the worker no lease: the rest of the
	// earlier one is recorded, or the worker has restarted since.
	leaseWithheld bool
	renewFailures int

	// appliedEnd and ackedEnd are the numbers of the latest end that was processed and
	// of the latest one that may be acknowledged.
	appliedEnd uint64
	ackedEnd   uint64

	runs map[runKey]*run
	// unrecordedEnds are tasks that ended here since the worker's record was last written,
	// without those whose end was durable by then.
	unrecordedEnds []*task
	// ordered holds the runs sorted by key, so that decisions are deterministic.
	// stoppingRuns, pausedRuns and unknownRuns count those in runStopping, those with
	// speed 0 and those of unknown tasks.
	ordered      []*run
	stoppingRuns int
	pausedRuns   int
	unknownRuns  int
	// unclaimedEnds are recent ends here of jobs that were not known then, in order.
	unclaimedEnds []heldEnd
	// unansweredStarts are recent starts without an answer.
	unansweredStarts []unansweredStart
	// allocated sums the allocations of the runs. Best-effort tasks count without
	// processors.
	allocated document.Size
	// bestEffortProcessors sums the processors that best-effort tasks could use, in
	// thousandths.
	bestEffortProcessors int

	// guaranteedUse estimates the processors that other tasks use, in thousandths.
	guaranteedUse float64
	// servedImages summarizes the serving tasks by image; bestEffortEndedAt is when a
	// best-effort task last ended.
	servedImages map[string]*servedImage
	lowestMargin float64 // of the serving tasks in the latest report, at most maxMargin
	// servingTasks counts the tasks with a tail target by image. reservations hold
	// capacity for tasks that are moved here or will be restarted.
	servingTasks map[string]int
	// masks caches what the method servingMasks returns, as of masksAt; nil if outdated.
	masks             []imageMask
	masksAt           clock.Time
	reservations      []reservation
	bestEffortEndedAt clock.Time
	// forecast caches the expected margin of each serving image, nil if outdated.
	forecast []imageMargin

	// backoffUntil is until when the worker gets no starts after it refused one.
	backoffUntil clock.Time
	// plannedGang holds the step of each gang member provisionally placed here.
	plannedGang []*step
	health      health
}

func newWorker(now clock.Time, id string) *worker {
	return &worker{
		id:           id,
		runs:         map[runKey]*run{},
		servedImages: map[string]*servedImage{},
		lowestMargin: maxMargin,
		servingTasks: map[string]int{},
		renewAt:      now,
	}
}

func (p *Planner) workerListed(now clock.Time, info Worker) {
	w := p.workers[info.ID]
	if w == nil {
		w = newWorker(now, info.ID)
		p.addWorker(info.ID, w)
	}
	if w.listed && !info.Leaving && w.info.equal(info) {
		return // workers write their rows every second or two
	}
	if w.listed && info.Leaving && !w.info.Leaving {
		p.log(LogEntry{
			Event:  "worker-leaving",
			Worker: info.ID,
		})
	}
	w.info = info
	p.recordsCurrent = false
	p.recordCapacity(info)
	w.listed = true
	p.passNeeded = true
	if info.Leaving {
		p.evacuate(now, w)
	}
}

// workerInherited adds a worker that an earlier owner used. It is polled for its
// attempts even if the platform does not list it at present.
func (p *Planner) workerInherited(now clock.Time, m WorkerInherited) {
	info := m.Worker
	w := p.workers[info.ID]
	if w == nil {
		w = newWorker(now, info.ID)
		w.info = info
		p.recordCapacity(info)
		w.unlistedAt = now
		p.addWorker(info.ID, w)
	}
	w.inherited = true
	p.allKnown = false
	p.allRead = false
	w.reachedAt = info.Address
	w.record = recordInexact
	p.recordsCurrent = false
	p.inheritLease(w, m)
	p.watchExpiry(w)
	if !m.Exact {
		return
	}
	w.record = recordFrozen
	w.possibleTasks = map[TaskID]bool{}
	for _, id := range m.Held {
		w.possibleTasks[id] = true
	}
}

func (p *Planner) workerUnlisted(now clock.Time, id string) {
	w := p.workers[id]
	if w == nil || !w.listed {
		return
	}
	w.listed = false
	w.unlistedAt = now
	p.watchExpiry(w)
	p.log(LogEntry{
		Event:  "worker-unlisted",
		Worker: id,
	})
}

// usable reports whether the worker may get starts now.
func (p *Planner) usable(now clock.Time, w *worker) bool {
	if !w.synced || (w.record != recordInexact && w.record != recordExact) || w.info.Leaving || p.ops.LeavingZones[w.info.Zone] {
		return false
	}
	if !w.listed && now.Sub(w.unlistedAt) > unlistedGrace {
		return false
	}
	if w.renewFailures > 0 || w.backoffUntil.After(now) {
		return false
	}
	return !w.renewInFlight || !w.leaseWithheld && now.Sub(w.renewSentAt) < w.renewWait+answerMargin
}

// workerTimeAt estimates the worker's clock at the given owner's time.
func (w *worker) workerTimeAt(now clock.Time) clock.Time {
	return w.workerTime.Add(now.Sub(w.receivedAt))
}

// grant records that the worker may hold a lease until the given time, by its own
// clock.
func (w *worker) grant(until clock.Time) { w.grantedUntil = max(w.grantedUntil, until) }

// leaseExpiry returns the owner's time by which every lease granted to the worker has
// expired, even if the worker's clock is as slow as allowed.
func (p *Planner) leaseExpiry(w *worker) clock.Time {
	if !w.synced {
		return p.inheritedExpiry(w)
	}
	span := max(w.grantedUntil.Sub(w.workerTime), 0)
	return max(w.receivedAt.Add(span+span*driftPermille/milliScale+driftMargin), p.unnoticedExpiry(w))
}

// withoutRecord notes that the worker has no record any more, or that it must not count.
func (w *worker) withoutRecord() {
	w.record = recordNone
	w.recordOutdated = false
}

func (w *worker) target() Target {
	return Target{
		Worker:      w.info.ID,
		Address:     w.info.Address,
		Incarnation: w.incarnation,
	}
}
