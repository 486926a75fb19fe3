package soaker

import (
	"strings"

	"marjoramstack/internal/planner"
	"marjoramstack/pkg/document"
)

// checkState checks the state of an accepted job that was reported to a caller.
func (c *checker) checkState(sub *submission, state planner.State) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case state == planner.StateCompleted && !c.allDone(sub.job):
		c.addBreachOnce(sub, "MIXED: %s is reported as completed, but not all of its tasks are", sub.job.ID)
	case state == planner.StateFailed && !c.attemptsExhausted(sub.job):
		c.addBreachOnce(sub, "LOST: %s is reported as failed, but none of its tasks has used up its attempts", sub.job.ID)
	case state == planner.StateCancelled && !sub.cancelSent.Load():
		c.addBreachOnce(sub, "LOST: %s is reported as cancelled, but no caller cancelled it", sub.job.ID)
	}
}

// reportUnknown adds a breach for an accepted job that a VM does not know.
func (c *checker) reportUnknown(sub *submission, vm string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addBreachOnce(sub, "LOST: %s was accepted, but is unknown at %s", sub.job.ID, vm)
}

// addBreachOnce adds a breach unless one was already added for the submission, because
// each later poll would repeat it.
func (c *checker) addBreachOnce(sub *submission, format string, args ...any) {
	if !sub.breachReported {
		sub.breachReported = true
		c.addBreach(format, args...)
	}
}

// attemptsExhausted reports whether a short task of the job has failed maxAttempts times.
func (c *checker) attemptsExhausted(job document.StagedJob) bool {
	for task, count := range c.failures {
		if task.Job == job.ID && count >= maxAttempts && !job.Steps[task.Step].LongRunning {
			return true
		}
	}
	return false
}

// allDone reports whether every task of the job has completed.
func (c *checker) allDone(job document.StagedJob) bool {
	return c.everyTask(job, func(task planner.TaskID) bool { return len(c.done[task]) > 0 })
}

// allRunWherePossible reports whether every task of the job runs, except those that have
// no room.
func (c *checker) allRunWherePossible(job document.StagedJob) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.everyTask(job, func(task planner.TaskID) bool {
		return len(c.running[task]) > 0 || c.restarts.roomFor(job.Steps[task.Step].Demand) < minRoom
	})
}

// noneRunning reports whether no task of the job runs.
func (c *checker) noneRunning(job document.StagedJob) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.everyTask(job, func(task planner.TaskID) bool { return len(c.running[task]) == 0 })
}

// everyTask reports whether pred is true for every task of the job. It stops at the
// first for which it is false.
func (c *checker) everyTask(job document.StagedJob, pred func(planner.TaskID) bool) bool {
	for s, step := range job.Steps {
		for i := range step.Tasks {
			id := planner.TaskID{
				Job:   job.ID,
				Step:  s,
				Index: i,
			}
			if !pred(id) {
				return false
			}
		}
	}
	return true
}

// unfinishedTasks lists the tasks of the job that are neither running nor done.
func (c *checker) unfinishedTasks(job document.StagedJob) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var names []string
	c.everyTask(job, func(task planner.TaskID) bool {
		if len(c.running[task]) == 0 && len(c.done[task]) == 0 {
			names = append(names, task.String())
		}
		return true
	})
	return strings.Join(names, " ")
}
