package planner

import (
	"slices"

	"marjoramstack/pkg/clock"
	"marjoramstack/pkg/document"
)

const (
	// If the margin of a serving task falls to throttleMargin, best-effort tasks on its
	// worker are paused until a margin above recoveryMargin is expected. They are placed
	// or resumed where the expected margin is at least placementMargin.
	throttleMargin  = 1.1
	recoveryMargin  = 1.4
	placementMargin = 1.2
	// minLoss is the loss of margin up to which an effect is ignored.
	minLoss = 0.12
	// throttleAllAfter is how long a tail latency may be over its target before all
	// best-effort tasks on the worker are paused, whatever their learned effect.
	throttleAllAfter = 1500 * clock.Millisecond
	// throttleSettleTime is how long a change of speed takes to show in the metrics.
	throttleSettleTime = 700 * clock.Millisecond
	// movePausedAfter is how long a task may be paused before it is moved.
	movePausedAfter = 300 * clock.Millisecond
	// workersPerSearchMillisecond is by how many workers of the cell the time between two
	// searches of a paused or slow task for another worker grows by 1 ms, which bounds the
	// workers that are examined for it in a second.
	workersPerSearchMillisecond = 5
	// maxMoveProgress is the progress from which a task without checkpoints is not moved.
	maxMoveProgress = 60 // percent
	// minIdleShare is the share of its processors that must be idle on a worker for a
	// best-effort task to be placed there.
	minIdleShare = 0.8
)

// throttleBestEffort pauses best-effort tasks that make serving tasks miss their targets,
// and resumes or moves them later.
func (p *Planner) throttleBestEffort(now clock.Time) {
	for _, w := range p.fleet {
		if w.bestEffortProcessors == 0 || w.renewFailures > 0 {
			continue
		}
		p.throttleWorker(now, w)
		p.resumePaused(now, w)
	}
}

// throttleWorker pauses best-effort tasks of a worker if its serving tasks miss their
// targets or are about to.
func (p *Planner) throttleWorker(now clock.Time, w *worker) {
	if w.lowestMargin > throttleMargin {
		return
	}
	for image, s := range w.servedImages {
		r := s.lowestMargin
		if r.margin() > throttleMargin {
			continue
		}
		throttleAll := r.overTargetSince != 0 && now.Sub(r.overTargetSince) > throttleAllAfter
		p.throttleForImage(now, w, p.interferenceModel.id(image), r.margin(), throttleAll)
	}
}

// updateLowestMargin sets the lowest margin of the worker's serving tasks after a report.
func (w *worker) updateLowestMargin() {
	w.lowestMargin = maxMargin
	for _, s := range w.servedImages {
		w.lowestMargin = min(w.lowestMargin, s.lowestMargin.margin())
	}
}

// throttleForImage pauses the tasks with the greatest effect on an image until its
// expected margin is above recoveryMargin.
func (p *Planner) throttleForImage(now clock.Time, w *worker, image imageID, margin float64, throttleAll bool) {
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

// marginLoss returns the margin that an image loses to a best-effort run.
func (p *Planner) marginLoss(r *run, image imageID) float64 {
	share := r.worker.share(r.task.step.spec.Demand.Processors) * float64(r.speed) / fullSpeed
	return share * p.interferenceModel.effect(p.imageOf(r.task.step), image)
}

// resumePaused resumes paused tasks on the worker, or stops those that can run elsewhere.
func (p *Planner) resumePaused(now clock.Time, w *worker) {
	if w.pausedRuns == 0 {
		return
	}
	for _, r := range w.ordered {
		if r.speed != 0 || r.phase != runStarted || now.Sub(r.throttledAt) < movePausedAfter {
			continue
		}
		if now.Sub(r.throttledAt) >= throttleSettleTime && p.canResume(now, w, r) {
			p.setSpeed(now, r, fullSpeed)
			continue
		}
		if !r.mayMove() || !p.searchDue(now, r) {
			continue
		}
		if p.placeable(now, r.task) {
			p.stats.Evicted++
			p.stop(now, r, "paused for a serving task; moves to another worker")
		}
	}
}

// searchDue reports whether another worker may be looked for now for a run. If so, the next
// search is not due for a while, which is the longer the more workers there are.
func (p *Planner) searchDue(now clock.Time, r *run) bool {
	if now.Sub(r.searchedAt) < clock.Span(len(p.fleet)/workersPerSearchMillisecond) {
		return false
	}
	r.searchedAt = now
	return true
}

// mayMove reports whether a paused run loses little if it is stopped to move.
func (r *run) mayMove() bool {
	return r.task.step.spec.Checkpoints || r.percent < maxMoveProgress
}

// canResume reports whether the worker's serving tasks would keep their targets if a
// paused task resumed.
func (p *Planner) canResume(now clock.Time, w *worker, r *run) bool {
	demand := p.bestEffortDemand(w)
	demand.add(p.imageOf(r.task.step), w.share(r.task.step.spec.Demand.Processors))
	for image, s := range w.servedImages {
		l := s.lowestMargin.task.step.load
		if s.lowestMargin.overTargetSince != 0 || !l.known {
			return false
		}
		if l.margin-p.interferenceModel.loss(demand, p.interferenceModel.id(image)) < placementMargin {
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

func (p *Planner) setSpeed(now clock.Time, r *run, speed int) {
	p.log(LogEntry{
		Event:   "task-throttle",
		Job:     r.key.task.Job,
		Task:    r.key.task.String(),
		Attempt: r.key.attempt,
		Worker:  r.worker.info.ID,
	})
	p.stats.Throttled++
	r.limitSpeed(speed)
	r.throttledAt = now
	r.worker.forecast = nil
	p.orderSpeed(now, r)
}

// scoreBestEffort rates a worker for a best-effort task. It favours idle processors and
// little interference with the serving tasks there. The second result is false if the
// worker lacks idle processors or a serving task would be likely to miss its target.
func (p *Planner) scoreBestEffort(t *task, w *worker) (float64, bool) {
	spec := t.step.spec
	if !p.hasIdle(w, spec) {
		return 0, false
	}
	share := w.share(spec.Demand.Processors)
	var maxLoss, sensitivity, probePenalty float64
	bestEffort := p.imageOf(t.step)
	for _, forecast := range p.forecastMargins(w) {
		loss := share * p.interferenceModel.effect(bestEffort, forecast.image)
		if loss > minLoss && forecast.margin-loss < placementMargin {
			if !p.mayProbe(bestEffort, forecast.image, forecast.margin) {
				return 0, false
			}
			probePenalty = weightProbe
		}
		maxLoss = max(maxLoss, loss)
		sensitivity = max(sensitivity, p.interferenceModel.sensitivity(forecast.image))
	}
	return p.idleProcessors(w)/milliScale - weightMarginLoss*maxLoss + weightSensitivity*sensitivity - probePenalty, true
}

// hasIdle reports whether a worker has enough idle processors for a best-effort task.
func (p *Planner) hasIdle(w *worker, spec *document.Step) bool {
	return p.idleProcessors(w) >= minIdleShare*float64(spec.Demand.Processors)
}

// mayProbe reports whether a best-effort task may be placed next to a serving image to
// learn its effect: the margin is high enough without the task, the pair has hardly been
// observed, and it shares no worker now.
func (p *Planner) mayProbe(bestEffort, serving imageID, margin float64) bool {
	return margin >= placementMargin && p.interferenceModel.unknown(bestEffort, serving) && !p.colocation.colocated[imagePair{
		bestEffort: bestEffort,
		serving:    serving,
	}]
}
