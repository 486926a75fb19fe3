package planner

import (
	"math"
	"slices"

	"marjoramstack/pkg/clock"
)

const (
	// Logarithms of shares of the target: above hotTail best-effort tasks beside
	// are slowed until coolTail is expected; up to placeTail they are placed.
	hotTail   = -0.05
	coolTail  = -0.4
	placeTail = -0.1
	// swingMargin and trendMargin allow for the swing of a serving task's load.
	swingMargin = 0.35
	trendMargin = 0.2
	// leastHarm is the least effect for which a task is slowed.
	leastHarm = 0.04
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
		if r == nil {
			continue
		}
		tail := logTail(r)
		if tail < hotTail {
			continue
		}
		all := r.overSince != 0 && now.Sub(r.overSince) > slowAllAfter
		p.coolImage(now, w, image, tail, all)
	}
}

// coolImage slows the tasks with the greatest effect on an image until its tail
// can be expected to be low.
func (p *Planner) coolImage(now clock.Time, w *worker, image string, tail float64, all bool) {
	fillers := w.fillers()
	slices.SortStableFunc(fillers, func(a, b *run) int {
		return compareFloat(p.harm(b, image), p.harm(a, image))
	})
	for _, r := range fillers {
		harm := p.harm(r, image)
		if !all && (tail < coolTail || harm < leastHarm) {
			return
		}
		if r.speed == 0 {
			continue
		}
		tail -= harm
		if r.phase == runListed {
			p.throttle(now, r, 0)
		}
	}
}

// harm is what a best-effort run adds to the logarithm of an image's tail.
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
		if s.hottest != nil && s.hottest.overSince != 0 {
			return false
		}
		if p.expected(w, image, demanded) > placeTail {
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

// logTail returns the logarithm of a run's tail as a share of its target.
func logTail(r *run) float64 {
	return math.Log(float64(max(r.figure, 1)) / float64(r.target()))
}

func (w *worker) fillers() []*run {
	return slices.DeleteFunc(w.sortedRuns(), func(r *run) bool { return !r.bestEffort() })
}

func (p *Planner) throttle(now clock.Time, r *run, speed int) {
	p.note(Note{
		Event:   "task-throttle",
		Job:     r.key.task.Job,
		Task:    r.key.task.String(),
		Attempt: r.key.attempt,
		Worker:  r.worker.info.ID,
	})
	p.stats.Throttled++
	r.speed = speed
	r.throttled = now
	r.worker.mixChanged = now
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
	worst := -tailRange
	var raise, sensitivity float64
	for image, tail := range p.forecastOf(w) {
		raise = max(raise, share*p.images.effect(spec.Image, image))
		worst = max(worst, tail+share*p.images.effect(spec.Image, image))
		sensitivity = max(sensitivity, p.images.sensitivity(image))
	}
	if worst > placeTail {
		return 0, false
	}
	return idle/thousandth - weightHarm*raise + weightSensitive*sensitivity, true
}

// forecastOf returns, for each image that serves on the worker, the logarithm of
// the tail that is expected beside what is placed there.
func (p *Planner) forecastOf(w *worker) map[string]float64 {
	if w.forecast != nil {
		return w.forecast
	}
	w.forecast = map[string]float64{}
	demanded := w.demanded()
	for _, r := range w.runs {
		if r.target() == 0 {
			continue
		}
		if _, ok := w.forecast[r.image()]; !ok {
			w.forecast[r.image()] = p.expected(w, r.image(), demanded)
		}
		if r.overSince != 0 {
			w.forecast[r.image()] = 0
		}
	}
	return w.forecast
}
