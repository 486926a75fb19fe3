package planner

import (
	"slices"

	"marjoramstack/pkg/clock"
	"marjoramstack/pkg/document"
)

const (
	// regroupGain is the least gain for which a serving task is moved, in
	// processors that best-effort tasks can use.
	minRegroupGain = 4.0
	// halfGain counts for a move after which one task of the image is left.
	followUpGainFactor = 0.4
	// regroupEvery is how often regroupLooks workers are looked at.
	regroupInterval   = 100 * clock.Millisecond
	workersPerRegroup = 4
	// regroupMost, and a regroupShare-th of the workers, bound the moves under
	// way; regroupLeast is how long a task must have run, and regroupAgain how long
	// until it is moved again.
	minRegroupMoves       = 6
	workersPerRegroupMove = 30
	minRegroupRuntime     = 2 * clock.Second
	regroupCooldown       = 15 * clock.Second
	// promisedFor is how long a place is kept for a task that moves.
	moveReservationTTL = 2 * clock.Second
	readyPercent       = 100 // percent
)

// promise keeps room on a worker for a task that moves there, or is to be started
// again.
type reservation struct {
	task  *task
	until clock.Time
}

// holds reports whether the promise still keeps room on the worker.
func (res reservation) active(now clock.Time, w *worker) bool {
	return res.until.After(now) && !res.task.job().state.Final() && (res.task.moveTarget == w || res.task.reservedWorker == w)
}

// exchange is a move of a serving task to another worker, and of one from there in
// return if that one is full.
type relocation struct {
	run  *run
	to   *worker
	swap *run
	gain float64
}

// regroup moves serving tasks so that those that the same best-effort tasks disturb
// share workers. Where two kinds mix, hardly any best-effort task may work.
func (p *Planner) regroup(now clock.Time) {
	if now.Sub(p.regroupedAt) < regroupInterval || !p.grouping.waiting || len(p.fleet) == 0 {
		return
	}
	p.regroupedAt = now
	budget := max(minRegroupMoves, len(p.fleet)/workersPerRegroupMove) - p.movesInFlight(now)
	for range workersPerRegroup {
		if budget > 0 && p.regroupWorker(now, p.fleet[p.random.IntN(len(p.fleet))]) {
			budget--
		}
	}
}

// regroupOne moves at most one task of a worker, and reports whether it did.
func (p *Planner) regroupWorker(now clock.Time, w *worker) bool {
	if len(w.servingTasks) < 2 || !p.usable(now, w) || len(w.reservations) > 0 {
		return false
	}
	best := relocation{gain: minRegroupGain}
	for _, r := range w.sortedRuns() {
		if w.servingTasks[r.image()] <= 2 && p.movable(now, r) {
			p.findRelocation(now, r, &best)
		}
	}
	if best.to == nil {
		return false
	}
	p.relocate(now, best)
	return true
}

// movesUnderWay counts the tasks that move.
func (p *Planner) movesInFlight(now clock.Time) int {
	count := 0
	for _, w := range p.fleet {
		for _, res := range w.reservations {
			if res.task.moveTarget == w && res.active(now, w) {
				count++
			}
		}
	}
	return count
}

// dropPromises drops the promises that have ended.
func (p *Planner) dropReservations(now clock.Time) {
	for _, w := range p.fleet {
		if len(w.reservations) > 0 {
			w.reservations = slices.DeleteFunc(w.reservations, func(res reservation) bool { return !res.active(now, w) })
		}
	}
}

// movable reports whether a serving task may be moved: it and all others of its
// step are at work.
func (p *Planner) movable(now clock.Time, r *run) bool {
	if r.target() == 0 || r.phase != runStarted || now.Sub(r.startedAt) < minRegroupRuntime {
		return false
	}
	t := r.task
	if t.regroupedAt != 0 && now.Sub(t.regroupedAt) < regroupCooldown {
		return false
	}
	for _, other := range t.step.tasks {
		if len(other.runs) != 1 || other.runs[0].percent < readyPercent || other.moveTarget != nil {
			return false
		}
	}
	return true
}

// findExchange looks for the best place for a serving run.
func (p *Planner) findRelocation(now clock.Time, r *run, best *relocation) {
	from := r.worker
	for _, to := range p.fleet {
		if to == from || len(to.reservations) > 0 || !p.eligible(now, r.task, to) {
			continue
		}
		if r.demand.Fits(to.info.Capacity.Minus(to.reserved)) {
			p.considerRelocation(r, to, nil, best)
			continue
		}
		for _, swap := range to.runs {
			if from.servingTasks[swap.image()] > 0 && swap.image() != r.image() && p.movable(now, swap) && p.canSwap(now, r, swap) {
				p.considerRelocation(r, to, swap, best)
			}
		}
	}
}

// allowedBeside reports whether a worker may run a task but for its room.
func (p *Planner) eligible(now clock.Time, t *task, w *worker) bool {
	return p.suitable(now, t.step, w) && p.permitted(now, t.step, w)
}

// suits reports whether a worker may run a task of a step but for its room and the
// adviser's word.
func (p *Planner) suitable(now clock.Time, s *step, w *worker) bool {
	switch {
	case w.info.Pool != s.occurrence.job.queue.Pool || !p.usable(now, w) || w.health.quarantinedUntil.After(now):
		return false
	case !w.hasLabel(s.spec.Label):
		return false
	case s.spec.MaxPerWorker > 0 && w.countStep(s) >= s.spec.MaxPerWorker:
		return false
	}
	return true
}

// fitsExchanged reports whether two runs may change places.
func (p *Planner) canSwap(now clock.Time, r, swap *run) bool {
	if r.task.step == swap.task.step || !p.eligible(now, swap.task, r.worker) {
		return false
	}
	freeHere := r.worker.info.Capacity.Minus(r.worker.reserved).Plus(r.demand)
	freeThere := swap.worker.info.Capacity.Minus(swap.worker.reserved).Plus(swap.demand)
	return swap.demand.Fits(freeHere) && r.demand.Fits(freeThere)
}

// weigh keeps an exchange if it gains more than the best so far.
func (p *Planner) considerRelocation(r *run, to *worker, swap *run, best *relocation) {
	from := r.worker
	incoming, outgoing := "", ""
	if swap != nil {
		incoming = swap.image()
		outgoing = swap.image()
	}
	before := from.idleForBestEffort()*p.admissibleShare(from, "", "") + to.idleForBestEffort()*p.admissibleShare(to, "", "")
	after := from.idleForBestEffort()*p.admissibleShare(from, incoming, r.image()) + to.idleForBestEffort()*p.admissibleShare(to, r.image(), outgoing)
	gain := after - before
	if from.servingTasks[r.image()] == 2 {
		// The other one of the image may follow.
		gain += followUpGainFactor * from.idleForBestEffort() * (p.admissibleShareWithout(from, incoming, r.image()) - p.admissibleShare(from, incoming, ""))
	}
	same := gain == best.gain && swap != nil && best.swap != nil && compareKeys(swap.key, best.swap.key) < 0
	if gain > best.gain || same {
		*best = relocation{
			run:  r,
			to:   to,
			swap: swap,
			gain: gain,
		}
	}
}

// move stops the tasks of an exchange and keeps their new places.
func (p *Planner) relocate(now clock.Time, rel relocation) {
	p.startMove(now, rel.run, rel.to)
	if rel.swap != nil {
		p.startMove(now, rel.swap, rel.run.worker)
	}
}

func (p *Planner) startMove(now clock.Time, r *run, to *worker) {
	r.task.moveTarget = to
	r.task.regroupedAt = now
	to.reservations = append(to.reservations, reservation{
		task:  r.task,
		until: now.Add(moveReservationTTL),
	})
	p.stats.Evicted++
	p.stop(now, r, "moves to "+to.id+", beside tasks of its kind")
}

// destination returns the worker that a task moves to, nil if it may go anywhere.
func (p *Planner) destination(now clock.Time, t *task) *worker {
	to := t.moveTarget
	if to == nil {
		return nil
	}
	for _, res := range to.reservations {
		if res.task == t && res.until.After(now) {
			return to
		}
	}
	t.moveTarget = nil
	return nil
}

// promised sums what is kept on a worker for tasks other than one.
func (w *worker) reservedForOthers(now clock.Time, except *task) document.Size {
	var sum document.Size
	for _, res := range w.reservations {
		if res.task != except && res.active(now, w) {
			sum = sum.Plus(allocation(res.task.step.spec))
		}
	}
	return sum
}
