package planner

import (
	"slices"

	"marjoramstack/pkg/clock"
)

const (
	// Below hotMargin best-effort tasks beside a serving task are slowed until
	// coolMargin is expected; they are placed, or go on, where bearableMargin is.
	hotMargin      = 1.1
	coolMargin     = 1.4
	bearableMargin = 1.2
	// leastHarm is the least loss of margin that counts.
	leastHarm = 0.12
	// slowAllAfter is how long a tail may be over its target before everything
	// that may disturb it is stopped, whatever its learnt effect.
	slowAllAfter = 1500 * clock.Millisecond
	// throttleEvery is how long a change of speed takes to show.
	throttleEvery = 700 * clock.Millisecond
	// moveAfter is how long a task may stand still before it is moved.
	moveAfter = 300 * clock.Millisecond
	// keepAfter is the progress from which a task that saves none is not moved.
	keepAfter = 60 // percent
	// spareLeast is the share of its processors that a best-effort task must
	// find to be placed.
	spareLeast = 0.8
)

// relieve slows best-effort tasks that keep serving tasks from their targets,
// and lets them go on when there is room again.
func (p *Planner) relieve(now clock.Time) {
	for _, w := range p.fleet {
		if w.filling == 0 || w.failures > 0 {
			continue
		}
		p.cool(now, w)
		p.resume(now, w)
	}
}

// cool slows what disturbs serving tasks that miss their targets or are about
// to.
func (p *Planner) cool(now clock.Time, w *worker) {
	for image, s := range w.served {
		r := s.hottest
		if r.margin() > hotMargin {
			continue
		}
		all := r.overSince != 0 && now.Sub(r.overSince) > slowAllAfter
		p.coolImage(now, w, image, r.margin(), all)
	}
}

// coolImage slows the tasks with the greatest effect on an image until its margin
// can be expected to be high enough.
func (p *Planner) coolImage(now clock.Time, w *worker, image string, margin float64, all bool) {
	fillers := w.fillers()
	slices.SortStableFunc(fillers, func(a, b *run) int {
		return compareFloat(p.harm(b, image), p.harm(a, image))
	})
	for _, r := range fillers {
		harm := p.harm(r, image)
		if !all && (margin > coolMargin || harm < leastHarm) {
			return
		}
		if r.speed == 0 {
			continue
		}
		margin += harm
		if r.phase == runListed {
			p.throttle(now, r, 0)
		}
	}
}

// harm is the margin that a best-effort run takes from an image.
func (p *Planner) harm(r *run, image string) float64 {
	share := r.worker.share(r.task.step.spec.Demand.Processors) * float64(r.speed) / fullSpeed
	return share * p.images.effect(r.image(), image)
}

// resume lets tasks that stand still go on, here or elsewhere.
func (p *Planner) resume(now clock.Time, w *worker) {
	for _, r := range w.fillers() {
		if r.speed != 0 || r.phase != runListed || now.Sub(r.throttled) < moveAfter {
			continue
		}
		if now.Sub(r.throttled) >= throttleEvery && p.bearable(now, w, r) {
			p.throttle(now, r, fullSpeed)
			continue
		}
		if (r.task.step.spec.Checkpoints || r.percent < keepAfter) && p.choose(now, r.task, "") != nil {
			p.stats.Evicted++
			p.stop(now, r, "stands still beside a serving task; moves")
		}
	}
}

// bearable reports whether the worker's serving tasks would keep their targets
// if a task that stands still went on.
func (p *Planner) bearable(now clock.Time, w *worker, r *run) bool {
	demanded := w.demanded()
	demanded[r.image()] += w.share(r.task.step.spec.Demand.Processors)
	for image, s := range w.served {
		l := s.hottest.task.step.load
		if s.hottest.overSince != 0 || !l.known {
			return false
		}
		if l.margin-p.images.loss(demanded, image) < bearableMargin {
			return false
		}
	}
	return true
}

func compareFloat(a, b float64) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

func (w *worker) fillers() []*run {
	return slices.DeleteFunc(w.sortedRuns(), func(r *run) bool { return !r.bestEffort() })
}

func (p *Planner) throttle(now clock.Time, r *run, speed int) {
	p.note(LogEntry{
		Event:   "task-throttle",
		Job:     r.key.task.Job,
		Task:    r.key.task.String(),
		Attempt: r.key.attempt,
		Worker:  r.worker.info.ID,
	})
	p.stats.Throttled++
	r.speed = speed
	r.throttled = now
	r.worker.forecast = nil
	p.order(Throttle{
		Target:  r.worker.target(),
		Task:    r.key.task,
		Attempt: r.key.attempt,
		Percent: speed,
	})
}

// scoreBestEffort rates a worker for a best-effort task: the most processors
// left over, the least disturbance of what serves there.
func (p *Planner) scoreBestEffort(t *task, w *worker) (float64, bool) {
	spec := t.step.spec
	idle := p.idle(w)
	if idle < spareLeast*float64(spec.Demand.Processors) {
		return 0, false
	}
	share := w.share(spec.Demand.Processors)
	var raise, sensitivity, trial float64
	for image, margin := range p.forecastOf(w) {
		loss := share * p.images.effect(spec.Image, image)
		if loss > leastHarm && margin-loss < bearableMargin {
			if !p.mayTry(spec.Image, image, margin) {
				return 0, false
			}
			trial = weightTrial
		}
		raise = max(raise, loss)
		sensitivity = max(sensitivity, p.images.sensitivity(image))
	}
	return idle/thousandth - weightHarm*raise + weightSensitive*sensitivity - trial, true
}

// mayTry reports whether a task may be placed beside an image only to learn whether
// it disturbs it: nothing is known of the pair, and no other task tries it now.
func (p *Planner) mayTry(filler, served string, margin float64) bool {
	return margin >= bearableMargin && p.images.unknown(filler, served) && !p.grouping.beside[pair{
		filler: filler,
		served: served,
	}]
}
