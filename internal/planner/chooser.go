package planner

import (
	"slices"

	"marjoramstack/pkg/clock"
	"marjoramstack/pkg/document"
)

// choose returns the worker with the highest score for a task, or nil if none can run
// it. A non-empty rack restricts the choice to workers of that rack.
func (p *Planner) choose(now clock.Time, t *task, rack string) *worker {
	if to := p.destination(now, t); to != nil {
		if p.canRun(now, t, to) {
			return to
		}
		return nil
	}
	var best candidate
	for _, w := range p.fleet {
		if rack != "" && w.info.Rack != rack {
			continue
		}
		score, ok := p.examine(now, t, w)
		if !ok {
			continue
		}
		next := candidate{
			worker: w,
			score:  score,
		}
		if best.worker == nil || next.before(best) {
			best = next
		}
	}
	return best.worker
}

// placeable reports whether any worker can run a task.
func (p *Planner) placeable(now clock.Time, t *task) bool {
	if to := p.destination(now, t); to != nil {
		return p.canRun(now, t, to)
	}
	return slices.ContainsFunc(p.fleet, func(w *worker) bool {
		_, ok := p.examine(now, t, w)
		return ok
	})
}

// examine rates a worker for a task; higher is better. The second result is false if
// the task must not be placed on the worker now.
func (p *Planner) examine(now clock.Time, t *task, w *worker) (float64, bool) {
	p.examinations++
	switch {
	case t.step.spec.BestEffort:
		return p.examineBestEffort(now, t, w)
	case !p.canRun(now, t, w):
		return 0, false
	default:
		return p.score(now, t, w), true
	}
}

// examineBestEffort examines a worker for a best-effort task. Idle processors and
// expected margins exclude most workers, so they are tested first. The margins are
// computed only for a worker that can run the task, since they are cached.
func (p *Planner) examineBestEffort(now clock.Time, t *task, w *worker) (float64, bool) {
	if !p.hasIdle(w, t.step.spec) || w.forecast == nil && !p.canRun(now, t, w) {
		return 0, false
	}
	fit, ok := p.scoreBestEffort(t, w)
	if !ok || !p.canRun(now, t, w) {
		return 0, false
	}
	return p.penalties(now, t, w) + fit, true
}

// canRun reports whether a worker has room for a task and is eligible to run it.
func (p *Planner) canRun(now clock.Time, t *task, w *worker) bool {
	free := w.info.Capacity.Minus(w.allocated)
	if len(w.reservations) > 0 {
		free = free.Minus(w.reservedForOthers(now, t))
	}
	if !allocation(t.step.spec).Fits(free) || t.avoids(now, w) || !p.eligible(now, t, w) {
		return false
	}
	for _, r := range t.runs {
		if r.worker == w {
			return false
		}
	}
	return true
}

// hasLabel reports whether a worker has the label. Every worker has the empty label.
func (w *worker) hasLabel(label string) bool {
	return label == "" || slices.Contains(w.info.Labels, label)
}

// countStep returns how many tasks of a step the worker runs or is planned to run.
func (w *worker) countStep(s *step) int {
	n := 0
	for _, r := range w.ordered {
		if r.task != nil && r.task.step == s {
			n++
		}
	}
	for _, planned := range w.plannedGang {
		if planned == s {
			n++
		}
	}
	return n
}

// Weights of the terms of a placement score, in processors.
const (
	weightAwayFromData  = 200  // the task's data is on another rack
	weightFailedWorker  = 500  // an attempt of the task failed there
	weightFailing       = 300  // tasks failed there recently
	weightUnresponsive  = 100  // a start was not answered
	weightSlow          = 100  // times the excess slowdown of its tasks
	weightSameImage     = 64   // times the share of serving tasks of the same image
	weightOtherImages   = 32   // times the share of other serving tasks
	weightMarginLoss    = 40   // times the loss of margin
	weightSensitivity   = 2    // times the sensitivity of the serving images
	weightBlockedDemand = 60   // times the best-effort demand that the worker could no longer admit
	weightProbe         = 100  // the effect of the task is still unknown
	weightRecordFirst   = 10   // the start is delayed until a record names the task
	milliScale          = 1000 // thousandths in a whole
)

// score rates a worker for a task that is not best-effort.
func (p *Planner) score(now clock.Time, t *task, w *worker) float64 {
	score := p.penalties(now, t, w)
	if t.step.spec.TailTarget > 0 {
		return score + p.scoreServing(t, w)
	}
	if w.record == recordExact {
		score -= weightRecordFirst
	}
	return score + p.idleProcessors(w)/milliScale
}

// penalties rates what speaks against a worker: distance from the data, and failures,
// missed answers and stragglers seen there.
func (p *Planner) penalties(now clock.Time, t *task, w *worker) float64 {
	var score float64
	if rack := t.step.spec.Rack; rack != "" && w.info.Rack != rack {
		score -= weightAwayFromData
	}
	if slices.Contains(t.failedWorkers, w.info.ID) {
		score -= weightFailedWorker
	}
	if w.health.failing() {
		score -= weightFailing
	}
	if w.health.avoidUntil.After(now) {
		score -= weightUnresponsive
	}
	if w.health.slowUntil.After(now) {
		score -= weightSlow * (w.health.slowdown - 1)
	}
	return score
}

// idleProcessors estimates the unused processors of a worker, in thousandths.
func (p *Planner) idleProcessors(w *worker) float64 {
	return float64(w.info.Capacity.Processors) - w.guaranteedUse - float64(w.bestEffortProcessors)
}

// expectedUsage estimates the processors, in thousandths, that an attempt leaves
// unavailable to best-effort tasks.
func expectedUsage(spec *document.Step) float64 {
	switch {
	case spec.BestEffort:
		return 0
	case spec.TailTarget > 0:
		return servingUtilization * float64(spec.Demand.Processors)
	default:
		return float64(spec.Demand.Processors)
	}
}

// scoreServing rates a worker for a task with a tail target. It favours workers that
// run tasks of the same image, and penalizes other serving images, interference from
// best-effort tasks, and the best-effort demand that the task would exclude.
func (p *Planner) scoreServing(t *task, w *worker) float64 {
	var same, other int
	for _, r := range w.ordered {
		switch {
		case r.target() == 0:
		case r.image() == t.step.spec.Image:
			same += r.demand.Processors
		default:
			other += r.demand.Processors
		}
	}
	loss := p.interferenceModel.loss(p.bestEffortDemand(w), p.imageOf(t.step))
	image := t.step.spec.Image
	blocked := p.admissibleShare(w, "", "") - p.admissibleShare(w, image, "")
	return weightSameImage*w.share(same) - weightOtherImages*w.share(other) - weightMarginLoss*loss - weightBlockedDemand*blocked
}

// usableRacks returns the racks of usable workers, sorted.
func (p *Planner) usableRacks(now clock.Time) []string {
	var racks []string
	for _, w := range p.fleet {
		if p.usable(now, w) && !slices.Contains(racks, w.info.Rack) {
			racks = append(racks, w.info.Rack)
		}
	}
	slices.Sort(racks)
	return racks
}
