package planner

import (
	"slices"

	"marjoramstack/pkg/clock"
)

// choose returns the worker that suits a task best, of a rack if one is named,
// or nil if none may have it.
func (p *Planner) choose(now clock.Time, t *task, rack string) *worker {
	var best *worker
	var bestScore float64
	for _, w := range p.workers {
		if rack != "" && w.info.Rack != rack {
			continue
		}
		if !p.allowed(now, t, w) {
			continue
		}
		score, ok := p.score(now, t, w)
		if !ok {
			continue
		}
		if best == nil || score > bestScore || (score == bestScore && w.info.ID < best.info.ID) {
			best = w
			bestScore = score
		}
	}
	return best
}

// allowed reports whether a worker may run a task at all.
func (p *Planner) allowed(now clock.Time, t *task, w *worker) bool {
	s := t.step
	if w.info.Pool != s.occurrence.job.terms.Pool || !p.usable(now, w) {
		return false
	}
	if s.spec.Label != "" && !slices.Contains(w.info.Labels, s.spec.Label) {
		return false
	}
	if !room(s.spec).Fits(w.info.Capacity.Minus(w.reserved)) {
		return false
	}
	if s.spec.MaxPerWorker > 0 && w.count(s) >= s.spec.MaxPerWorker {
		return false
	}
	for _, r := range t.runs {
		if r.worker == w {
			return false
		}
	}
	return true
}

// count returns how many tasks of a step the worker runs or is planned to run.
func (w *worker) count(s *step) int {
	n := 0
	for _, r := range w.runs {
		if r.task != nil && r.task.step == s {
			n++
		}
	}
	for _, planned := range w.planned {
		if planned == s {
			n++
		}
	}
	return n
}

// Weights of a placement's score, in processors.
const (
	weightAwayFromData = 200
	weightBadWorker    = 500
	weightFailing      = 300
	weightShy          = 100
	weightSlow         = 100
	weightPacked       = 64
	weightHarm         = 400
	thousandth         = 1000.0
)

// score rates a worker for a task; higher is better. The second result is false
// if the task is better left waiting.
func (p *Planner) score(now clock.Time, t *task, w *worker) (float64, bool) {
	if w.health.until.After(now) {
		return 0, false
	}
	score := p.penalties(now, t, w)
	spec := t.step.spec
	switch {
	case spec.BestEffort:
		fit, ok := p.scoreBestEffort(t, w)
		return score + fit, ok
	case spec.TailTarget > 0:
		return score + p.scoreServing(t, w), true
	default:
		return score + p.idle(w)/thousandth, true
	}
}

func (p *Planner) penalties(now clock.Time, t *task, w *worker) float64 {
	var score float64
	if rack := t.step.spec.Rack; rack != "" && w.info.Rack != rack {
		score -= weightAwayFromData
	}
	if slices.Contains(t.badWorkers, w.info.ID) {
		score -= weightBadWorker
	}
	if w.health.failing() {
		score -= weightFailing
	}
	if w.health.shyUntil.After(now) {
		score -= weightShy
	}
	if w.health.slowness > 1 {
		score -= weightSlow * (w.health.slowness - 1)
	}
	return score
}

// idle estimates the processors, in thousandths, that nothing on the worker
// uses.
func (p *Planner) idle(w *worker) float64 {
	return p.spare(w) - float64(w.filling)
}

// spare estimates the processors, in thousandths, that are left to best-effort
// tasks.
func (p *Planner) spare(w *worker) float64 {
	left := float64(w.info.Capacity.Processors)
	for _, r := range w.runs {
		if r.bestEffort() {
			continue
		}
		used := float64(r.demand.Processors)
		if r.target() > 0 {
			used *= p.images.load(r.image())
		}
		left -= used
	}
	return left
}

// scoreServing rates a worker for a task with a tail target: beside others of
// its kind, away from what disturbs it.
func (p *Planner) scoreServing(t *task, w *worker) float64 {
	packed := float64(w.reserved.Processors) / float64(max(w.info.Capacity.Processors, 1))
	var harm float64
	for _, r := range w.runs {
		if r.bestEffort() {
			harm += p.images.effect(r.image(), t.step.spec.Image)
		}
	}
	return weightPacked*packed - weightHarm*harm
}

// racks returns the racks of usable workers, in a fixed order.
func (p *Planner) racks(now clock.Time) []string {
	var racks []string
	for _, w := range p.workers {
		if p.usable(now, w) && !slices.Contains(racks, w.info.Rack) {
			racks = append(racks, w.info.Rack)
		}
	}
	slices.Sort(racks)
	return racks
}
