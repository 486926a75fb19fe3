package planner

import (
	"cmp"
	"slices"
	"strings"
)

// addRun adds a run to those of its worker.
func (w *worker) addRun(r *run) {
	w.runs[r.key] = r
	at, _ := w.position(r.key)
	w.ordered = slices.Insert(w.ordered, at, r)
	if r.task == nil {
		w.unknownRuns++
	}
}

// removeRun removes a run from those of its worker.
func (w *worker) removeRun(r *run) {
	if w.runs[r.key] != r {
		return
	}
	delete(w.runs, r.key)
	at, _ := w.position(r.key)
	w.ordered = slices.Delete(w.ordered, at, at+1)
	if r.task == nil {
		w.unknownRuns--
	}
	if r.phase == runStopping {
		w.stoppingRuns--
	}
	if r.speed == 0 {
		w.pausedRuns--
	}
}

// position returns the index of a run in ordered, or where it would be inserted.
func (w *worker) position(key runKey) (int, bool) {
	return slices.BinarySearchFunc(w.ordered, key, func(r *run, key runKey) int { return compareKeys(r.key, key) })
}

// sortedRuns returns a copy of ordered, for loops that may add or remove runs.
func (w *worker) sortedRuns() []*run { return slices.Clone(w.ordered) }

// bestEffortRuns returns the worker's best-effort runs, sorted by key.
func (w *worker) bestEffortRuns() []*run {
	var runs []*run
	for _, r := range w.ordered {
		if r.bestEffort() {
			runs = append(runs, r)
		}
	}
	return runs
}

// setPhase changes the phase of an attached run.
func (r *run) setPhase(phase runPhase) {
	if r.phase == runStopping {
		r.worker.stoppingRuns--
	}
	r.phase = phase
	if phase == runStopping {
		r.worker.stoppingRuns++
	}
	r.markChanged()
}

// limitSpeed changes the speed, in percent, of an attached run.
func (r *run) limitSpeed(percent int) {
	if r.speed == 0 {
		r.worker.pausedRuns--
	}
	r.speed = percent
	if percent == 0 {
		r.worker.pausedRuns++
	}
	r.markChanged()
}

func (r *run) markChanged() {
	if r.task != nil {
		r.task.step.markChanged()
	}
}

func compareKeys(a, b runKey) int {
	return cmp.Or(
		strings.Compare(a.task.Job, b.task.Job),
		a.task.Occurrence-b.task.Occurrence,
		a.task.Step-b.task.Step,
		a.task.Index-b.task.Index,
		a.attempt-b.attempt,
	)
}
