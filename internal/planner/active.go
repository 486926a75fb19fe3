package planner

import (
	"slices"
	"strings"
)

// addActive adds a job to those that have not ended.
func (p *Planner) addActive(j *job) {
	p.active[j.spec.ID] = j
	at, _ := findJob(p.activeJobs, j.spec.ID)
	p.activeJobs = slices.Insert(p.activeJobs, at, j)
}

// removeActive removes a job from those that have not ended.
func (p *Planner) removeActive(j *job) {
	delete(p.active, j.spec.ID)
	if at, found := findJob(p.activeJobs, j.spec.ID); found {
		p.activeJobs = slices.Delete(p.activeJobs, at, at+1)
	}
}

// findJob returns the index of a job in a list sorted by identifier, or where it would be
// inserted.
func findJob(jobs []*job, id string) (int, bool) {
	return slices.BinarySearchFunc(jobs, id, func(j *job, id string) int { return strings.Compare(j.spec.ID, id) })
}

func (s *step) countIdle(change int) {
	s.idle += change
	s.occurrence.job.idle += change
}

func (s *step) countRunning(change int) {
	s.running += change
	s.occurrence.job.running += change
	s.markChanged()
}

// markChanged makes the next pass look for stragglers in the step. It is called after
// any change of an attempt on which that depends.
func (s *step) markChanged() {
	if s.finite {
		s.judged = false
		s.occurrence.job.judged = false
	}
}

// idle reports whether the task is incomplete and has no attempt that has not ended.
func (t *task) idle() bool { return !t.done && len(t.runs) == 0 }

// markDone marks the task as done.
func (t *task) markDone() {
	if t.idle() {
		t.step.countIdle(-1)
	}
	t.done = true
}

// addRun adds an attempt to the task.
func (t *task) addRun(r *run) {
	if t.idle() {
		t.step.countIdle(-1)
	}
	t.runs = append(t.runs, r)
	t.step.countRunning(1)
}

// removeRun removes an attempt from the task.
func (t *task) removeRun(r *run) {
	if !slices.Contains(t.runs, r) {
		return
	}
	t.runs = slices.DeleteFunc(t.runs, func(other *run) bool { return other == r })
	t.step.countRunning(-1)
	if t.idle() {
		t.step.countIdle(1)
	}
}
