package planner

import (
	"slices"

	"marjoramstack/pkg/clock"
	"marjoramstack/pkg/document"
)

const (
	// regroupGain is the least gain for which a serving task is moved, in
	// processors that best-effort tasks can use.
	regroupGain = 4.0
	// halfGain counts for a move after which one task of the image is left.
	halfGain = 0.4
	// regroupEvery is how often regroupLooks workers are looked at.
	regroupEvery = 100 * clock.Millisecond
	regroupLooks = 4
	// regroupMost, and a regroupShare-th of the workers, bound the moves under
	// way; regroupLeast is how long a task must have run, and regroupAgain how long
	// until it is moved again.
	regroupMost  = 6
	regroupShare = 30
	regroupLeast = 2 * clock.Second
	regroupAgain = 15 * clock.Second
	// promisedFor is how long a place is kept for a task that moves.
	promisedFor = 2 * clock.Second
	atWork      = 100 // percent
)

// promise keeps room on a worker for a task that moves there, or is to be started
// again.
type promise struct {
	task  *task
	until clock.Time
}

// holds reports whether the promise still keeps room on the worker.
func (pr promise) holds(now clock.Time, w *worker) bool {
	return pr.until.After(now) && (pr.task.destined == w || pr.task.kept == w)
}

// exchange is a move of a serving task to another worker, and of one from there in
// return if that one is full.
type exchange struct {
	moved *run
	to    *worker
	back  *run
	gain  float64
}

// regroup moves serving tasks so that those that the same best-effort tasks disturb
// share workers. Where two kinds mix, hardly any best-effort task may work.
func (p *Planner) regroup(now clock.Time) {
	if now.Sub(p.regrouped) < regroupEvery || !p.grouping.waiting || len(p.fleet) == 0 {
		return
	}
	p.regrouped = now
	most := max(regroupMost, len(p.fleet)/regroupShare) - p.movesUnderWay(now)
	for range regroupLooks {
		if most > 0 && p.regroupOne(now, p.fleet[p.random.IntN(len(p.fleet))]) {
			most--
		}
	}
}

// regroupOne moves at most one task of a worker, and reports whether it did.
func (p *Planner) regroupOne(now clock.Time, w *worker) bool {
	if len(w.serving) < 2 || !p.usable(now, w) || len(w.promises) > 0 {
		return false
	}
	best := exchange{gain: regroupGain}
	for _, r := range w.sortedRuns() {
		if w.serving[r.image()] <= 2 && p.movable(now, r) {
			p.findExchange(now, r, &best)
		}
	}
	if best.to == nil {
		return false
	}
	p.move(now, best)
	return true
}

// movesUnderWay counts the tasks that move.
func (p *Planner) movesUnderWay(now clock.Time) int {
	count := 0
	for _, w := range p.fleet {
		for _, pr := range w.promises {
			if pr.task.destined == w && pr.holds(now, w) {
				count++
			}
		}
	}
	return count
}

// dropPromises drops the promises that have ended.
func (p *Planner) dropPromises(now clock.Time) {
	for _, w := range p.fleet {
		if len(w.promises) > 0 {
			w.promises = slices.DeleteFunc(w.promises, func(pr promise) bool { return !pr.holds(now, w) })
		}
	}
}

// movable reports whether a serving task may be moved: it and all others of its
// step are at work.
func (p *Planner) movable(now clock.Time, r *run) bool {
	if r.target() == 0 || r.phase != runListed || now.Sub(r.began) < regroupLeast {
		return false
	}
	t := r.task
	if t.regrouped != 0 && now.Sub(t.regrouped) < regroupAgain {
		return false
	}
	for _, other := range t.step.tasks {
		if len(other.runs) != 1 || other.runs[0].percent < atWork || other.destined != nil {
			return false
		}
	}
	return true
}

// findExchange looks for the best place for a serving run.
func (p *Planner) findExchange(now clock.Time, r *run, best *exchange) {
	from := r.worker
	for _, to := range p.fleet {
		if to == from || len(to.promises) > 0 || !p.allowedBeside(now, r.task, to) {
			continue
		}
		if r.demand.Fits(to.info.Capacity.Minus(to.reserved)) {
			p.weigh(r, to, nil, best)
			continue
		}
		for _, back := range to.runs {
			if from.serving[back.image()] > 0 && back.image() != r.image() && p.movable(now, back) && p.fitsExchanged(now, r, back) {
				p.weigh(r, to, back, best)
			}
		}
	}
}

// allowedBeside reports whether a worker may run a task but for its room.
func (p *Planner) allowedBeside(now clock.Time, t *task, w *worker) bool {
	return p.suits(now, t.step, w) && p.permitted(now, t.step, w)
}

// suits reports whether a worker may run a task of a step but for its room and the
// adviser's word.
func (p *Planner) suits(now clock.Time, s *step, w *worker) bool {
	switch {
	case w.info.Pool != s.occurrence.job.terms.Pool || !p.usable(now, w) || w.health.until.After(now):
		return false
	case !w.labelled(s.spec.Label):
		return false
	case s.spec.MaxPerWorker > 0 && w.count(s) >= s.spec.MaxPerWorker:
		return false
	}
	return true
}

// fitsExchanged reports whether two runs may change places.
func (p *Planner) fitsExchanged(now clock.Time, r, back *run) bool {
	if r.task.step == back.task.step || !p.allowedBeside(now, back.task, r.worker) {
		return false
	}
	here := r.worker.info.Capacity.Minus(r.worker.reserved).Plus(r.demand)
	there := back.worker.info.Capacity.Minus(back.worker.reserved).Plus(back.demand)
	return back.demand.Fits(here) && r.demand.Fits(there)
}

// weigh keeps an exchange if it gains more than the best so far.
func (p *Planner) weigh(r *run, to *worker, back *run, best *exchange) {
	from := r.worker
	came, went := "", ""
	if back != nil {
		came = back.image()
		went = back.image()
	}
	before := from.fillable()*p.admissible(from, "", "") + to.fillable()*p.admissible(to, "", "")
	after := from.fillable()*p.admissible(from, came, r.image()) + to.fillable()*p.admissible(to, r.image(), went)
	gain := after - before
	if from.serving[r.image()] == 2 {
		// The other one of the image may follow.
		gain += halfGain * from.fillable() * (p.admissibleWithout(from, came, r.image()) - p.admissible(from, came, ""))
	}
	same := gain == best.gain && back != nil && best.back != nil && compareKeys(back.key, best.back.key) < 0
	if gain > best.gain || same {
		*best = exchange{
			moved: r,
			to:    to,
			back:  back,
			gain:  gain,
		}
	}
}

// move stops the tasks of an exchange and keeps their new places.
func (p *Planner) move(now clock.Time, e exchange) {
	p.destine(now, e.moved, e.to)
	if e.back != nil {
		p.destine(now, e.back, e.moved.worker)
	}
}

func (p *Planner) destine(now clock.Time, r *run, to *worker) {
	r.task.destined = to
	r.task.regrouped = now
	to.promises = append(to.promises, promise{
		task:  r.task,
		until: now.Add(promisedFor),
	})
	p.stats.Evicted++
	p.stop(now, r, "moves to "+to.id+", beside tasks of its kind")
}

// destination returns the worker that a task moves to, nil if it may go anywhere.
func (p *Planner) destination(now clock.Time, t *task) *worker {
	to := t.destined
	if to == nil {
		return nil
	}
	for _, pr := range to.promises {
		if pr.task == t && pr.until.After(now) {
			return to
		}
	}
	t.destined = nil
	return nil
}

// promised sums what is kept on a worker for tasks other than one.
func (w *worker) promised(now clock.Time, but *task) document.Size {
	var sum document.Size
	for _, pr := range w.promises {
		if pr.task != but && pr.holds(now, w) {
			sum = sum.Plus(room(pr.task.step.spec))
		}
	}
	return sum
}
