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

	waitIdle    = 2000 * clock.Millisecond
	waitLasting = 1000 * clock.Millisecond
	waitBusy    = 500 * clock.Millisecond
	// waitUncommitted is how soon a worker is asked again while ends that it
	// lists are not durable.
	waitUncommitted = 250 * clock.Millisecond
	retryFirst      = 100 * clock.Millisecond
	retryMost       = 500 * clock.Millisecond
	// answerWithin is how long after the wait asked for a renewal is answered
	// by a worker that is reached.
	answerWithin = 300 * clock.Millisecond
	// unlistedFor is how long a worker that is not listed may still get starts:
	// entries lapse while the platform's store is away.
	unlistedFor = 3 * clock.Second
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
	id       string
	info     Worker
	listed   bool
	unlisted clock.Time
	// remembered tells that an earlier owner's record named the worker.
	remembered bool
	// use is what the record says of the worker; awaiting counts the planned
	// starts, unnamed those of them that no write names yet; suspects are the
	// tasks that an earlier owner's record named, nil if that was not exact.
	use      useState
	awaiting int
	unnamed  int
	suspects map[TaskID]bool

	incarnation int64
	synced      bool
	// reading and received relate the worker's clock to the owner's.
	reading  clock.Time
	received clock.Time
	// granted is the highest reading up to which a lease was asked for.
	granted clock.Time

	renewing bool
	renewAt  clock.Time
	sentAt   clock.Time
	wait     clock.Span
	failures int

	applied uint64
	acked   uint64

	runs map[runKey]*run
	// unanswered are the latest starts that got no answer.
	unanswered []unansweredStart
	// reserved counts what runs here, best-effort tasks without processors.
	reserved document.Size
	// filling counts the processors that best-effort tasks could use.
	filling int

	// used estimates the processors that best-effort tasks don't get.
	used float64
	// served sums up by image what serves here; mixLost is when a best-effort
	// task last ended.
	served map[string]*servedImage
	// serving counts the tasks with a tail target by image; promises keep room for
	// such tasks that move here.
	serving  map[string]int
	promises []reservation
	mixLost  clock.Time
	forecast map[string]float64

	holdOff clock.Time
	// planned are the steps of gang members being placed.
	planned []*step
	health  health
}

func newWorker(now clock.Time, id string) *worker {
	return &worker{
		id:      id,
		runs:    map[runKey]*run{},
		served:  map[string]*servedImage{},
		serving: map[string]int{},
		renewAt: now,
	}
}

func (p *Planner) list(now clock.Time, info Worker) {
	w := p.workers[info.ID]
	if w == nil {
		w = newWorker(now, info.ID)
		p.addWorker(info.ID, w)
	}
	if w.listed && info.Leaving && !w.info.Leaving {
		p.note(LogEntry{
			Event:  "worker-leaving",
			Worker: info.ID,
		})
	}
	w.info = info
	p.recordCapacity(info)
	w.listed = true
	p.stirred = true
	if info.Leaving {
		p.evacuate(now, w)
	}
}

// remember takes a worker that an earlier owner used: what runs there is asked
// for although the platform may not list it at present.
func (p *Planner) remember(now clock.Time, m WorkerInherited) {
	info := m.Worker
	w := p.workers[info.ID]
	if w == nil {
		w = newWorker(now, info.ID)
		w.info = info
		p.recordCapacity(info)
		w.unlisted = now
		p.addWorker(info.ID, w)
	}
	w.remembered = true
	w.use = useReached
	if !m.Exact {
		return
	}
	w.use = useUnreached
	w.suspects = map[TaskID]bool{}
	for _, id := range m.Held {
		w.suspects[id] = true
	}
}

func (p *Planner) unlist(now clock.Time, id string) {
	w := p.workers[id]
	if w == nil || !w.listed {
		return
	}
	w.listed = false
	w.unlisted = now
	p.note(LogEntry{
		Event:  "worker-unlisted",
		Worker: id,
	})
}

// usable reports whether a worker may be given a start.
func (p *Planner) usable(now clock.Time, w *worker) bool {
	if !w.synced || (w.use != useReached && w.use != useExact) || w.info.Leaving || p.ops.LeavingZones[w.info.Zone] {
		return false
	}
	if !w.listed && now.Sub(w.unlisted) > unlistedFor {
		return false
	}
	if w.failures > 0 || w.holdOff.After(now) {
		return false
	}
	return !w.renewing || now.Sub(w.sentAt) < w.wait+answerWithin
}

// readingAt estimates the worker's clock at the owner's time.
func (w *worker) readingAt(now clock.Time) clock.Time {
	return w.reading.Add(now.Sub(w.received))
}

// grant notes that the worker may hold a lease up to a reading.
func (w *worker) grant(until clock.Time) { w.granted = max(w.granted, until) }

// lapse returns the owner's time by which every lease granted to the worker has
// run out on the slowest admissible clock.
func (p *Planner) lapse(w *worker) clock.Time {
	if !w.synced {
		return p.inheritedUntil()
	}
	span := max(w.granted.Sub(w.reading), 0)
	return w.received.Add(span + span*driftPermille/1000 + driftMargin)
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
func (p *Planner) expire(now clock.Time) {
	for _, w := range slices.Clone(p.fleet) {
		id := w.id
		if w.failures == 0 && !w.renewing {
			continue
		}
		if len(w.runs) > 0 && now.After(p.lapse(w)) {
			p.loseAll(now, w, "the worker's lease ran out")
		}
		if w.use != useNone && w.failures > 0 && now.After(p.lapse(w)) {
			// Nothing of it runs any more; it is recorded anew before it is used.
			w.use = useNone
			p.gone[id] = true
		}
		if !w.listed && len(w.runs) == 0 && w.failures > 0 && now.Sub(w.unlisted) > unlistedFor && now.After(p.lapse(w)) {
			p.note(LogEntry{
				Event:  "worker-gone",
				Worker: id,
			})
			p.dropWorker(id)
		}
	}
}

// loseAll ends every attempt on a worker.
func (p *Planner) loseAll(now clock.Time, w *worker, reason string) {
	p.note(LogEntry{
		Event:  "worker-lost",
		Worker: w.info.ID,
		Reason: reason,
		Age:    now.Sub(w.received),
	})
	for _, r := range w.sortedRuns() {
		p.stats.Lapsed++
		p.end(now, r, EndLapsed, r.checkpoint)
	}
}
