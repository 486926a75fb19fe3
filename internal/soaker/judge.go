package soaker

import (
	"fmt"
	"sync"

	"marjoramstack/internal/planner"
	"marjoramstack/pkg/clock"
	"marjoramstack/pkg/document"
)

// checker checks what workers and callers observe against the guarantees of the system
// and collects breaches. It is safe for concurrent use.
type checker struct {
	capacity     document.Size
	clock        clock.Clock
	disturbances *disturbances

	mu             sync.Mutex
	jobs           map[string]document.StagedJob     // submitted, by ID
	refused        map[string]bool                   // every attempt to submit was refused, by job ID
	cancelAckedAt  map[string]clock.Time             // when the cancellation was acknowledged, by job ID
	running        map[planner.TaskID]map[string]int // attempt, by worker
	done           map[planner.TaskID]map[int]bool   // attempts that completed
	superseded     map[planner.TaskID]map[int]bool   // the attempts of done after which the task was started again
	doneAcked      map[planner.TaskID]bool
	failures       map[planner.TaskID]int // number of failed attempts
	ackedFailures  map[planner.TaskID]int // number of failed attempts that were acknowledged
	limits         *customers
	restarts       *restartTracker
	starts         int
	lastShortStart clock.Time // when a short task was last started
	breaches       []string
}

// cancelGrace is how long after the cancellation was acknowledged tasks of the job may
// still start.
const cancelGrace = 4 * clock.Second

func newChecker(capacity document.Size, workers int, source clock.Clock, tracker *disturbances) *checker {
	return &checker{
		capacity:      capacity,
		clock:         source,
		disturbances:  tracker,
		jobs:          map[string]document.StagedJob{},
		refused:       map[string]bool{},
		cancelAckedAt: map[string]clock.Time{},
		running:       map[planner.TaskID]map[string]int{},
		done:          map[planner.TaskID]map[int]bool{},
		superseded:    map[planner.TaskID]map[int]bool{},
		doneAcked:     map[planner.TaskID]bool{},
		failures:      map[planner.TaskID]int{},
		ackedFailures: map[planner.TaskID]int{},
		restarts:      newRestartTracker(capacity, workers),
	}
}

// addBreach adds a breach; the caller must hold c.mu.
func (c *checker) addBreach(format string, args ...any) {
	c.breaches = append(c.breaches, fmt.Sprintf("%.3f s ", float64(c.clock.Now())/float64(clock.Second))+fmt.Sprintf(format, args...))
}

// reportBreach adds a breach; the caller must not hold c.mu.
func (c *checker) reportBreach(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addBreach(format, args...)
}

func (c *checker) addJob(job document.StagedJob) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.jobs[job.ID] = job
}

// jobRefused records that every attempt to submit a job was definitely rejected.
func (c *checker) jobRefused(job document.StagedJob) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refused[job.ID] = true
	for task := range c.running {
		if task.Job == job.ID {
			c.addBreach("REFUSED: %s runs although every attempt to submit its job was refused", task)
		}
	}
}

// cancelRequested records that a caller is about to cancel a job.
func (c *checker) cancelRequested(job document.StagedJob) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.restarts.dropJob(job.ID)
}

// cancelAcked records that the cancellation of a job was acknowledged.
func (c *checker) cancelAcked(job document.StagedJob) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancelAckedAt[job.ID] = c.clock.Now()
	c.restarts.dropJob(job.ID)
}

// Begun implements standin.Observer. It checks the start of a task.
func (c *checker) Begun(worker string, task planner.TaskID, attempt int, used document.Size) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.starts++
	job, ok := c.jobs[task.Job]
	if !ok || task.Step >= len(job.Steps) || task.Index >= job.Steps[task.Step].Tasks {
		c.addBreach("UNASKED: %s starts on %s, but no submitted job has this task", task, worker)
		return
	}
	if c.refused[task.Job] {
		c.addBreach("REFUSED: %s starts on %s although every attempt to submit its job was refused", task, worker)
	}
	if !used.Fits(c.capacity) {
		c.addBreach("LIMIT: starting %s raises the usage of %s to %+v, above its capacity", task, worker, used)
	}
	for other, number := range c.running[task] {
		c.addBreach("TWICE: %s attempt %d starts on %s while attempt %d runs on %s", task, attempt, worker, number, other)
	}
	c.checkCancelled(worker, task)
	c.checkAttempt(worker, task, attempt, job)
	c.checkOrder(worker, task, job)
	c.checkLimit(worker, task, job)
	if c.running[task] == nil {
		c.running[task] = map[string]int{}
	}
	c.running[task][worker] = attempt
	if !job.Steps[task.Step].LongRunning {
		c.lastShortStart = c.clock.Now()
	}
	c.restarts.taskStarted(c.clock.Now(), worker, task, job.Steps[task.Step].Demand)
	c.checkRestarts()
}

func (c *checker) checkCancelled(worker string, task planner.TaskID) {
	ackedAt, ok := c.cancelAckedAt[task.Job]
	calmFrom, calm := c.disturbances.calmSince()
	if ok && calm && c.clock.Now().Sub(max(ackedAt, calmFrom)) > cancelGrace {
		c.addBreach("UNASKED: %s starts on %s, but its job was cancelled at %d ms", task, worker, ackedAt)
	}
}

func (c *checker) checkAttempt(worker string, task planner.TaskID, attempt int, job document.StagedJob) {
	if c.doneAcked[task] {
		c.addBreach("TWICE: %s attempt %d starts on %s after its end was acknowledged", task, attempt, worker)
	}
	for earlier := range c.done[task] {
		if c.superseded[task] == nil {
			c.superseded[task] = map[int]bool{}
		}
		c.superseded[task][earlier] = true
	}
	if !job.Steps[task.Step].LongRunning && c.ackedFailures[task] >= maxAttempts {
		c.addBreach("BUDGET: %s attempt %d starts on %s after %d failures", task, attempt, worker, c.ackedFailures[task])
	}
}

func (c *checker) checkOrder(worker string, task planner.TaskID, job document.StagedJob) {
	for _, dependency := range job.Steps[task.Step].After {
		for i := range job.Steps[dependency].Tasks {
			required := planner.TaskID{
				Job:   task.Job,
				Step:  dependency,
				Index: i,
			}
			if len(c.done[required]) == 0 {
				c.addBreach("ORDER: %s starts on %s before %s is done", task, worker, required)
			}
		}
	}
}

// checkRestarts reports long-running tasks whose restart is overdue.
func (c *checker) checkRestarts() {
	for _, task := range c.restarts.overdue(c.clock.Now(), c.disturbances) {
		p := c.restarts.pending[task]
		c.addBreach("LOST: long-running %s has not run since %d ms, although there has been room to run %d of its size since %d ms", task, p.due.Add(-restartGrace), c.restarts.roomFor(p.demand), p.roomSince)
	}
}

// shortTaskStartedAt returns when a short task was last started.
func (c *checker) shortTaskStartedAt() clock.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastShortStart
}

// checkTimeBounds checks for breaches that arise as time passes, without an event.
func (c *checker) checkTimeBounds() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.checkRestarts()
}

// Ended implements standin.Observer. It records the end of an attempt.
func (c *checker) Ended(worker string, task planner.TaskID, attempt int, how planner.End) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.running[task], worker)
	if job, ok := c.jobs[task.Job]; ok {
		c.restarts.taskEnded(c.clock.Now(), worker, task, job.Steps[task.Step])
		if _, cancelled := c.cancelAckedAt[task.Job]; cancelled {
			c.restarts.dropJob(task.Job)
		}
		c.checkRestarts()
	}
	switch how {
	case planner.EndFailed:
		c.failures[task]++
	case planner.EndDone:
		if c.done[task] == nil {
			c.done[task] = map[int]bool{}
		}
		c.done[task][attempt] = true
	}
}

// Forgotten implements standin.Observer. It records that the end of an attempt was
// acknowledged.
func (c *checker) Forgotten(task planner.TaskID, attempt int, how planner.End) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch how {
	case planner.EndFailed:
		c.ackedFailures[task]++
	case planner.EndDone:
		c.doneAcked[task] = true
		if c.superseded[task][attempt] {
			c.addBreach("TWICE: %s was started again after attempt %d, whose end was acknowledged later", task, attempt)
		}
	}
}
