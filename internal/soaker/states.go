package soaker

import (
	"strings"

	"marjoramstack/internal/planner"
	"marjoramstack/pkg/document"
)

// shown checks a state that a caller was told of an accepted job.
func (j *judge) shown(h *handedIn, state planner.State) {
	j.mu.Lock()
	defer j.mu.Unlock()
	switch {
	case state == planner.StateCompleted && !j.allDone(h.job):
		j.breachOnce(h, "MIXED: %s is shown as completed and is not", h.job.ID)
	case state == planner.StateFailed && !j.hopeless(h.job):
		j.breachOnce(h, "LOST: %s is shown as failed without cause", h.job.ID)
	case state == planner.StateCancelled && !h.cancelSent.Load():
		j.breachOnce(h, "LOST: %s is shown as cancelled without cause", h.job.ID)
	}
}

// unknown notes that a caller was told that an accepted job is not known.
func (j *judge) unknown(h *handedIn, vm string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.breachOnce(h, "LOST: %s was accepted and is not known at %s", h.job.ID, vm)
}

// breachOnce adds a breach that later calls would show again and again.
func (j *judge) breachOnce(h *handedIn, format string, args ...any) {
	if !h.told {
		h.told = true
		j.breach(format, args...)
	}
}

// hopeless reports whether a task of a job has failed as often as it may.
func (j *judge) hopeless(job document.StagedJob) bool {
	for task, count := range j.failed {
		if task.Job == job.ID && count >= maxAttempts && !job.Steps[task.Step].LongRunning {
			return true
		}
	}
	return false
}

// allDone reports whether every task of a job has ended done.
func (j *judge) allDone(job document.StagedJob) bool {
	return j.each(job, func(task planner.TaskID) bool { return len(j.done[task]) > 0 })
}

// lasting reports whether every task of a job runs for which there is room.
func (j *judge) lasting(job document.StagedJob) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.each(job, func(task planner.TaskID) bool {
		return len(j.running[task]) > 0 || j.restarts.room(job.Steps[task.Step].Demand) < enoughRoom
	})
}

// stopped reports whether no task of a job runs.
func (j *judge) stopped(job document.StagedJob) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.each(job, func(task planner.TaskID) bool { return len(j.running[task]) == 0 })
}

// each reports whether something holds for every task of a job.
func (j *judge) each(job document.StagedJob, holds func(planner.TaskID) bool) bool {
	for s, step := range job.Steps {
		for i := range step.Tasks {
			id := planner.TaskID{
				Job:   job.ID,
				Step:  s,
				Index: i,
			}
			if !holds(id) {
				return false
			}
		}
	}
	return true
}

// missing names the tasks of a job that neither run nor are done.
func (j *judge) missing(job document.StagedJob) string {
	j.mu.Lock()
	defer j.mu.Unlock()
	var names []string
	j.each(job, func(task planner.TaskID) bool {
		if len(j.running[task]) == 0 && len(j.done[task]) == 0 {
			names = append(names, task.String())
		}
		return true
	})
	return strings.Join(names, " ")
}
