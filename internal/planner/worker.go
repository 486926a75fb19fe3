package planner

import (
	"slices"

	"marjoramstack/pkg/clock"
	"marjoramstack/pkg/document"
)

const (
	// driftPermille is how much slower a worker's clock may be.
	driftPermille = 25
	// driftMargin covers the rounding of readings.
	driftMargin = 50 * clock.Millisecond
	// leaseMargin keeps a lease within what the worker grants.
	leaseMargin = 100 * clock.Millisecond
	// startWindow is how long a worker may take a start after it was ordered.
	startWindow = 2 * clock.Second

	waitIdle        = 2000 * clock.Millisecond
	waitLongRunning = 1000 * clock.Millisecond
	waitBusy        = 500 * clock.Millisecond
	// waitUncommitted is how soon a worker is asked again while ends that it
	// lists are not durable.
	waitUncommitted = 250 * clock.Millisecond
	retryMin        = 100 * clock.Millisecond
	retryMax        = 500 * clock.Millisecond
	// answerWithin is how long after the wait asked for a renewal is answered
	// by a worker that is reached.
	answerMargin = 300 * clock.Millisecond
	// unlistedFor is how long a worker that is not listed may still get starts:
	// entries lapse while the platform's store is away.
	unlistedGrace = 3 * clock.Second
)

type runKey struct {
	task    TaskID
	attempt int
}

type unansweredStart struct {
	key     runKey
	ordered clock.Time
}

type worker struct {
	id         string
	info       Worker
	listed     bool
	unlistedAt clock.Time
	// remembered tells that an earlier owner's record named the worker.
	inherited bool
	// use is what the record says of the worker; awaiting counts the planned
	// starts, unnamed those of them that no write names yet; suspects are the
	// tasks that an earlier owner's record named, nil if that was not exact.
	record           recordState
	plannedStarts    int
	unrecordedStarts int
	possibleTasks    map[TaskID]bool

	incarnation int64
	synced      bool
	// reading and received relate the worker's clock to the owner's.
	workerTime clock.Time
	receivedAt clock.Time
	// granted is the highest reading up to which a lease was asked for.
	grantedUntil clock.Time

	renewInFlight bool
	renewAt       clock.Time
	renewSentAt   clock.Time
	renewWait     clock.Span
	renewFailures int

	appliedEnd uint64
	ackedEnd   uint64

	runs map[runKey]*run
	// unanswered are the latest starts that got no answer.
	unansweredStarts []unansweredStart
	// reserved counts what runs here, best-effort tasks without processors.
	reserved document.Size
	// filling counts the processors that best-effort tasks could use.
	bestEffortProcessors int

	// used estimates the processors that best-effort tasks don't get.
	guaranteedUse float64
	// served sums up by image what serves here; mixLost is when a best-effort
	// task last ended.
	servedImages map[string]*servedImage
	// serving counts the tasks with a tail target by image; promises keep room for
	// such tasks that move here.
	servingTasks      map[string]int
	reservations      []reservation
	bestEffortEndedAt clock.Time
	forecast          map[string]float64

	backoffUntil clock.Time
	// planned are the steps of gang members being placed.
	plannedGang []*step
	health      health
}

func newWorker(now clock.Time, id string) *worker {
	return &worker{
		id:           id,
		runs:         map[runKey]*run{},
		servedImages: map[string]*servedImage{},
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
	if w.listed && info.Leaving && !w.info.Leaving {
		p.log(LogEntry{
			Event:  "worker-leaving",
			Worker: info.ID,
		})
	}
	w.info = info
	p.recordCapacity(info)
	w.listed = true
	p.passNeeded = true
	if info.Leaving {
		p.evacuate(now, w)
	}
}

// remember takes a worker that an earlier owner used: what runs there is asked
// for although the platform may not list it at present.
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
	w.record = recordInexact
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
	p.log(LogEntry{
		Event:  "worker-unlisted",
		Worker: id,
	})
}

// usable reports whether a worker may be given a start.
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
	return !w.renewInFlight || now.Sub(w.renewSentAt) < w.renewWait+answerMargin
}

// readingAt estimates the worker's clock at the owner's time.
func (w *worker) workerTimeAt(now clock.Time) clock.Time {
	return w.workerTime.Add(now.Sub(w.receivedAt))
}

// grant notes that the worker may hold a lease up to a reading.
func (w *worker) grant(until clock.Time) { w.grantedUntil = max(w.grantedUntil, until) }

// lapse returns the owner's time by which every lease granted to the worker has
// run out on the slowest admissible clock.
func (p *Planner) leaseExpiry(w *worker) clock.Time {
	if !w.synced {
		return p.inheritedUntil()
	}
	span := max(w.grantedUntil.Sub(w.workerTime), 0)
	return w.receivedAt.Add(span + span*driftPermille/1000 + driftMargin)
}

func (w *worker) target() Target {
	return Target{
		Worker:      w.info.ID,
		Address:     w.info.Address,
		Incarnation: w.incarnation,
	}
}

// expire ends what ran on workers whose leases have run out, and forgets
// workers that are gone.
func (p *Planner) expireLeases(now clock.Time) {
	for _, w := range slices.Clone(p.fleet) {
		id := w.id
		if w.renewFailures == 0 && !w.renewInFlight {
			continue
		}
		if len(w.runs) > 0 && now.After(p.leaseExpiry(w)) {
			p.endAllRuns(now, w, "the worker's lease ran out")
		}
		if w.record != recordNone && w.renewFailures > 0 && now.After(p.leaseExpiry(w)) {
			// Nothing of it runs any more; it is recorded anew before it is used.
			w.record = recordNone
			p.recordsToDrop[id] = true
		}
		if !w.listed && len(w.runs) == 0 && w.renewFailures > 0 && now.Sub(w.unlistedAt) > unlistedGrace && now.After(p.leaseExpiry(w)) {
			p.log(LogEntry{
				Event:  "worker-gone",
				Worker: id,
			})
			p.dropWorker(id)
		}
	}
}

// loseAll ends every attempt on a worker.
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
