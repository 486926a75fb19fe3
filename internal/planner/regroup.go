package planner

import (
	"slices"

	"marjoramstack/pkg/clock"
	"marjoramstack/pkg/document"
)

const (
	// minRegroupGain is the least gain for which a serving task is moved, in
	// processors that become usable by best-effort tasks.
	minRegroupGain = 4.0
	// followUpGainFactor weights the gain that a second move would bring, if the
	// move leaves one task of the image on the worker.
	followUpGainFactor = 0.4
	// Every regroupInterval, workersPerRegroup random workers are examined.
	regroupInterval   = 100 * clock.Millisecond
	workersPerRegroup = 4
	// maxMoveTargets bounds the workers to which moves from one worker are considered, so
	// that the search costs the same in pools of any larger size.
	maxMoveTargets = 128
	// Moves in flight are limited to minRegroupMoves or one per
	// workersPerRegroupMove workers, whichever is more. A task is moved only after it
	// has run for minRegroupRuntime, and again only after regroupCooldown.
	minRegroupMoves       = 6
	workersPerRegroupMove = 30
	minRegroupRuntime     = 2 * clock.Second
	regroupCooldown       = 15 * clock.Second
	// moveReservationTTL is how long capacity stays reserved for a task that moves.
	moveReservationTTL = 2 * clock.Second
	// readyPercent is the progress that a serving task reports once it is ready.
	readyPercent = 100
)

// reservation reserves capacity on a worker for a task that moves there or is to be
// restarted.
type reservation struct {
	task  *task
	until clock.Time
}

// active reports whether the reservation still applies to the worker.
func (res reservation) active(now clock.Time, w *worker) bool {
	return res.until.After(now) && !res.task.job().state.Final() && (res.task.moveTarget == w || res.task.reservedWorker == w)
}

// relocation moves a serving run to another worker and, if that worker is full, a run
// from there in return.
type relocation struct {
	run  *run
	to   *worker
	swap *run
	gain float64
}

// regroup moves serving tasks so that images that are sensitive to the same best-effort
// images share workers. A worker that runs a mix of images can admit hardly any
// best-effort task.
func (p *Planner) regroup(now clock.Time) {
	if now.Sub(p.regroupedAt) < regroupInterval || !p.colocation.waiting || len(p.fleet) == 0 {
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

// regroupWorker moves at most one task off a worker, or swaps it, and reports whether it
// did.
func (p *Planner) regroupWorker(now clock.Time, w *worker) bool {
	if len(w.servingTasks) < 2 || !p.usable(now, w) || len(w.reservations) > 0 {
		return false
	}
	best := relocation{gain: minRegroupGain}
	targets := p.moveTargets()
	for _, r := range w.ordered {
		if w.servingTasks[r.image()] <= 2 && p.movable(now, r) {
			p.findRelocation(now, r, targets, &best)
		}
	}
	if best.to == nil {
		return false
	}
	p.relocate(now, best)
	return true
}

// moveTargets returns the workers to which moves are considered: all, or a random section
// of them.
func (p *Planner) moveTargets() []*worker {
	if len(p.fleet) <= maxMoveTargets {
		return p.fleet
	}
	at := p.random.IntN(len(p.fleet) - maxMoveTargets + 1)
	return p.fleet[at : at+maxMoveTargets]
}

// movesInFlight counts the tasks that are being moved.
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

// dropReservations drops the reservations that no longer apply.
func (p *Planner) dropReservations(now clock.Time) {
	for _, w := range p.fleet {
		if len(w.reservations) > 0 {
			w.reservations = slices.DeleteFunc(w.reservations, func(res reservation) bool {
				p.logLapsed(now, w, res)
				return !res.active(now, w)
			})
		}
	}
}

// logLapsed logs that a reservation ran out before its task was started.
func (p *Planner) logLapsed(now clock.Time, w *worker, res reservation) {
	t := res.task
	wanted := t.moveTarget == w || t.reservedWorker == w
	if res.until.After(now) || !wanted || len(t.runs) > 0 || t.job().state.Final() {
		return
	}
	p.log(LogEntry{
		Event:   "reservation-lapsed",
		Job:     t.job().spec.ID,
		Task:    t.id().String(),
		Attempt: t.lastAttempt,
		Worker:  w.id,
		Age:     now.Sub(t.waitingSince()),
	})
}

// movable reports whether a serving task may be moved: all tasks of its step must be
// ready, so that at most one of them is down at a time.
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

// findRelocation replaces best if moving a serving run gains more. The gain depends on
// images only and rules most moves out, so it comes before what depends on single runs.
func (p *Planner) findRelocation(now clock.Time, r *run, targets []*worker, best *relocation) {
	from := p.newDeparture(r)
	for _, to := range targets {
		if to == r.worker || len(to.reservations) > 0 {
			continue
		}
		if r.demand.Fits(to.info.Capacity.Minus(to.allocated)) {
			if gain := from.gain(to, ""); gain > best.gain && p.eligible(now, r.task, to) {
				best.replace(r, to, nil, gain)
			}
			continue
		}
		for _, swap := range to.ordered {
			if r.worker.servingTasks[swap.image()] == 0 || swap.image() == r.image() {
				continue
			}
			gain := from.gain(to, swap.image())
			if best.yieldsTo(gain, swap) && p.eligible(now, r.task, to) && p.movable(now, swap) && p.canSwap(now, r, swap) {
				best.replace(r, to, swap, gain)
			}
		}
	}
}

// departure is the effect of moving a run off its worker on the best-effort demand that can
// run there. The effects depend on the image of the run that comes in return, if any.
type departure struct {
	planner *Planner
	run     *run
	before  float64 // processors that best-effort tasks can use on the worker now
	returns []departureEffect
	// to is the worker of the last call of gain, toBefore what best-effort tasks can use
	// there now.
	to       *worker
	toBefore float64
}

// departureEffect is what best-effort tasks can use on the worker after a run left it and one
// of the image came in return. followUp is what the next move would add.
type departureEffect struct {
	image    string
	after    float64
	followUp float64
}

func (p *Planner) newDeparture(r *run) *departure {
	return &departure{
		planner: p,
		run:     r,
		before:  r.worker.idleForBestEffort() * p.admissibleShare(r.worker, "", ""),
	}
}

// effect returns the effect of the departure if a run of image comes in return, of none if
// image is empty.
func (d *departure) effect(image string) departureEffect {
	for _, e := range d.returns {
		if e.image == image {
			return e
		}
	}
	from := d.run.worker
	e := departureEffect{
		image: image,
		after: from.idleForBestEffort() * d.planner.admissibleShare(from, image, d.run.image()),
	}
	if from.servingTasks[d.run.image()] == 2 {
		// The image's other task may be moved off the worker next.
		e.followUp = followUpGainFactor * from.idleForBestEffort() * (d.planner.admissibleShareWithout(from, image, d.run.image()) - d.planner.admissibleShare(from, image, ""))
	}
	d.returns = append(d.returns, e)
	return e
}

// gain returns the processors that become usable by best-effort tasks if the run moves to a
// worker and one of image comes from there in return, none if image is empty.
func (d *departure) gain(to *worker, image string) float64 {
	if d.to != to {
		d.to = to
		d.toBefore = to.idleForBestEffort() * d.planner.admissibleShare(to, "", "")
	}
	effect := d.effect(image)
	after := effect.after + to.idleForBestEffort()*d.planner.admissibleShare(to, d.run.image(), image)
	return after - (d.before + d.toBefore) + effect.followUp
}

// yieldsTo reports whether a swap with the given gain is preferred: it gains more, or as
// much with a run that is sorted first.
func (rel *relocation) yieldsTo(gain float64, swap *run) bool {
	return gain > rel.gain || gain == rel.gain && rel.swap != nil && compareKeys(swap.key, rel.swap.key) < 0
}

func (rel *relocation) replace(r *run, to *worker, swap *run, gain float64) {
	*rel = relocation{
		run:  r,
		to:   to,
		swap: swap,
		gain: gain,
	}
}

// eligible reports whether a worker may run a task, regardless of its free capacity.
func (p *Planner) eligible(now clock.Time, t *task, w *worker) bool {
	return p.suitable(now, t.step, w) && p.permitted(now, t.step, w)
}

// suitable reports whether a worker may run a task of a step, regardless of its free
// capacity and of the adviser.
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

// canSwap reports whether two runs can swap workers.
func (p *Planner) canSwap(now clock.Time, r, swap *run) bool {
	if r.task.step == swap.task.step || !p.eligible(now, swap.task, r.worker) {
		return false
	}
	freeHere := r.worker.info.Capacity.Minus(r.worker.allocated).Plus(r.demand)
	freeThere := swap.worker.info.Capacity.Minus(swap.worker.allocated).Plus(swap.demand)
	return swap.demand.Fits(freeHere) && r.demand.Fits(freeThere)
}

// relocate stops the runs of a relocation and reserves capacity on their new workers.
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
	p.stop(now, r, "moves to worker "+to.id+", next to tasks of the same kind")
}

// destination returns the worker to which a task moves, nil if any worker will do.
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

// reservedForOthers sums the active reservations on a worker for tasks other than except.
func (w *worker) reservedForOthers(now clock.Time, except *task) document.Size {
	var sum document.Size
	for _, res := range w.reservations {
		if res.task != except && res.active(now, w) {
			sum = sum.Plus(allocation(res.task.step.spec))
		}
	}
	return sum
}
