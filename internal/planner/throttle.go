package planner

import (
	"slices"

	"marjoramstack/pkg/clock"
)

const (
	// Shares of the target: above hotTail best-effort tasks beside are slowed,
	// below calmTail they may go faster again.
	hotTail  = 0.85
	calmTail = 0.6
	// placeTail is the tail expected at most beside a newly placed task.
	placeTail = 0.75
	// throttleEvery is how long a change of speed takes to show.
	throttleEvery = 700 * clock.Millisecond
	slowSpeed     = 40 // percent
	// moveAfter is how long a task may stand still before it is moved.
	moveAfter = 1500 * clock.Millisecond
	// spareLeast is the share of its processors that a best-effort task must
	// find to be placed.
	spareLeast = 0.8
)

// relieve slows best-effort tasks that keep serving tasks from their targets,
// and lets them go on when there is room again.
func (p *Planner) relieve(now clock.Time) {
	for _, w := range p.workers {
		if w.filling == 0 || w.failures > 0 {
			continue
		}
		p.relieveOne(now, w)
	}
}

func (p *Planner) relieveOne(now clock.Time, w *worker) {
	hottest, calm := w.tails(now)
	fillers := w.fillers()
	switch {
	case hottest != nil && w.hot(hottest):
		p.slowDown(now, hottest, fillers)
	case calm:
		p.speedUp(now, fillers)
	}
	for _, r := range fillers {
		if r.speed == 0 && now.Sub(r.throttled) > moveAfter && r.task.step.spec.Checkpoints && r.phase == runListed && p.elsewhere(now, r) {
			p.stats.Evicted++
			p.stop(now, r, "stands still beside a serving task; moves")
		}
	}
}

// elsewhere reports whether another worker would take the task at once.
func (p *Planner) elsewhere(now clock.Time, r *run) bool {
	w := p.choose(now, r.task, "")
	return w != nil && w != r.worker
}

func (w *worker) hot(r *run) bool {
	return float64(r.figure) > hotTail*float64(r.target())
}

// tails returns the serving task nearest to or past its target, and whether all
// are well below theirs.
func (w *worker) tails(now clock.Time) (*run, bool) {
	var hottest *run
	calm := true
	for _, r := range w.sortedRuns() {
		if r.target() == 0 || r.phase != runListed {
			continue
		}
		if r.calmSince == 0 || now.Sub(r.calmSince) < throttleEvery {
			calm = false
		}
		if hottest == nil || float64(r.figure)*float64(hottest.target()) > float64(hottest.figure)*float64(r.target()) {
			hottest = r
		}
	}
	return hottest, calm
}

func (w *worker) fillers() []*run {
	return slices.DeleteFunc(w.sortedRuns(), func(r *run) bool { return !r.bestEffort() })
}

// slowDown slows the tasks that disturb a serving task most.
func (p *Planner) slowDown(now clock.Time, served *run, fillers []*run) {
	for _, r := range fillers {
		if r.phase != runListed || r.speed == 0 || now.Sub(r.throttled) < throttleEvery {
			continue
		}
		speed := slowSpeed
		if served.overSince != 0 || r.speed <= slowSpeed {
			speed = 0
		}
		p.throttle(now, r, speed)
	}
}

// speedUp raises one task's speed at a time.
func (p *Planner) speedUp(now clock.Time, fillers []*run) {
	for _, r := range fillers {
		if r.phase != runListed || r.speed == fullSpeed || now.Sub(r.throttled) < throttleEvery {
			continue
		}
		speed := fullSpeed
		if r.speed == 0 {
			speed = slowSpeed
		}
		p.throttle(now, r, speed)
		return
	}
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
	idle := p.idle(w)
	if idle < spareLeast*float64(t.step.spec.Demand.Processors) {
		return 0, false
	}
	var worst float64
	for _, r := range w.runs {
		if r.target() == 0 {
			continue
		}
		expected := p.images.basis(r.image()) + p.images.effect(t.step.spec.Image, r.image())
		for _, other := range w.runs {
			if other.bestEffort() {
				expected += p.images.effect(other.image(), r.image())
			}
		}
		if r.overSince != 0 {
			expected = 1
		}
		worst = max(worst, expected)
	}
	if worst > placeTail {
		return 0, false
	}
	return idle/thousandth - weightHarm*worst, true
}
