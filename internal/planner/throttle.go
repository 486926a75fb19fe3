package planner

import (
	"slices"

	"marjoramstack/pkg/clock"
)

const (
	// Below hotMargin best-effort tasks beside a serving task are slowed until
	// coolMargin is expected; they are placed, or go on, where bearableMargin is.
	throttleMargin  = 1.1
	recoveryMargin  = 1.4
	placementMargin = 1.2
	// leastHarm is the least loss of margin that counts.
	minLoss = 0.12
	// slowAllAfter is how long a tail may be over its target before everything
	// that may disturb it is stopped, whatever its learnt effect.
	throttleAllAfter = 1500 * clock.Millisecond
	// throttleEvery is how long a change of speed takes to show.
	throttleSettleTime = 700 * clock.Millisecond
	// moveAfter is how long a task may stand still before it is moved.
	movePausedAfter = 300 * clock.Millisecond
	// keepAfter is the progress from which a task that saves none is not moved.
	maxMoveProgress = 60 // percent
	// spareLeast is the share of its processors that a best-effort task must
	// find to be placed.
	minIdleShare = 0.8
)

// relieve slows best-effort tasks that keep serving tasks from their targets,
// and lets them go on when there is room again.
func (p *Planner) throttleBestEffort(now clock.Time) {
	for _, w := range p.fleet {
		if w.bestEffortProcessors == 0 || w.renewFailures > 0 {
			continue
		}
		p.throttleWorker(now, w)
		p.resumePaused(now, w)
	}
}

// cool slows what disturbs serving tasks that miss their targets or are about
// to.
func (p *Planner) throttleWorker(now clock.Time, w *worker) {
	for image, s := range w.servedImages {
		r := s.lowestMargin
		if r.margin() > throttleMargin {
			continue
		}
		throttleAll := r.overTargetSince != 0 && now.Sub(r.overTargetSince) > throttleAllAfter
		p.throttleForImage(now, w, image, r.margin(), throttleAll)
	}
}

// coolImage slows the tasks with the greatest effect on an image until its margin
// can be expected to be high enough.
func (p *Planner) throttleForImage(now clock.Time, w *worker, image string, margin float64, throttleAll bool) {
	runs := w.bestEffortRuns()
	slices.SortStableFunc(runs, func(a, b *run) int {
		return compareFloat(p.marginLoss(b, image), p.marginLoss(a, image))
	})
	for _, r := range runs {
		loss := p.marginLoss(r, image)
		if !throttleAll && (margin > recoveryMargin || loss < minLoss) {
			return
		}
		if r.speed == 0 {
			continue
		}
		margin += loss
		if r.phase == runStarted {
			p.setSpeed(now, r, 0)
		}
	}
}

// harm is the margin that a best-effort run takes from an image.
func (p *Planner) marginLoss(r *run, image string) float64 {
	share := r.worker.share(r.task.step.spec.Demand.Processors) * float64(r.speed) / fullSpeed
	return share * p.interference.effect(r.image(), image)
}

// resume lets tasks that stand still go on, here or elsewhere.
func (p *Planner) resumePaused(now clock.Time, w *worker) {
	for _, r := range w.bestEffortRuns() {
		if r.speed != 0 || r.phase != runStarted || now.Sub(r.throttledAt) < movePausedAfter {
			continue
		}
		if now.Sub(r.throttledAt) >= throttleSettleTime && p.canResume(now, w, r) {
			p.setSpeed(now, r, fullSpeed)
			continue
		}
		if (r.task.step.spec.Checkpoints || r.percent < maxMoveProgress) && p.choose(now, r.task, "") != nil {
			p.stats.Evicted++
			p.stop(now, r, "stands still beside a serving task; moves")
		}
	}
}

// bearable reports whether the worker's serving tasks would keep their targets
// if a task that stands still went on.
func (p *Planner) canResume(now clock.Time, w *worker, r *run) bool {
	demanded := w.bestEffortDemand()
	demanded[r.image()] += w.share(r.task.step.spec.Demand.Processors)
	for image, s := range w.servedImages {
		l := s.lowestMargin.task.step.load
		if s.lowestMargin.overTargetSince != 0 || !l.known {
			return false
		}
		if l.margin-p.interference.loss(demanded, image) < placementMargin {
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

func (w *worker) bestEffortRuns() []*run {
	return slices.DeleteFunc(w.sortedRuns(), func(r *run) bool { return !r.bestEffort() })
}

func (p *Planner) setSpeed(now clock.Time, r *run, speed int) {
	p.log(LogEntry{
		Event:   "task-throttle",
		Job:     r.key.task.Job,
		Task:    r.key.task.String(),
		Attempt: r.key.attempt,
		Worker:  r.worker.info.ID,
	})
	p.stats.Throttled++
	r.speed = speed
	r.throttledAt = now
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
	idle := p.idleProcessors(w)
	if idle < minIdleShare*float64(spec.Demand.Processors) {
		return 0, false
	}
	share := w.share(spec.Demand.Processors)
	var maxLoss, sensitivity, probePenalty float64
	for image, margin := range p.forecastMargins(w) {
		loss := share * p.interference.effect(spec.Image, image)
		if loss > minLoss && margin-loss < placementMargin {
			if !p.mayProbe(spec.Image, image, margin) {
				return 0, false
			}
			probePenalty = weightProbe
		}
		maxLoss = max(maxLoss, loss)
		sensitivity = max(sensitivity, p.interference.sensitivity(image))
	}
	return idle/milliScale - weightMarginLoss*maxLoss + weightSensitivity*sensitivity - probePenalty, true
}

// mayTry reports whether a task may be placed beside an image only to learn whether
// it disturbs it: nothing is known of the pair, and no other task tries it now.
func (p *Planner) mayProbe(filler, served string, margin float64) bool {
	return margin >= placementMargin && p.interference.unknown(filler, served) && !p.colocation.colocated[imagePair{
		bestEffort: filler,
		serving:    served,
	}]
}
