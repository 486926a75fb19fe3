package planner

import (
	"fmt"
	"testing"

	"marjoramstack/pkg/clock"
	"marjoramstack/pkg/document"
)

// frequentFaults injects every kind of fault often.
var frequentFaults = faults{
	lostAnswers:  30,
	lateAnswers:  40,
	lateOrders:   30,
	lostOrders:   30,
	taskFailures: 30,
	crashes:      15,
	ownerChanges: 60,
	partitions:   25,
}

// frequentTakeovers replaces owners very often and restarts workers while the previous
// owner is still active.
var frequentTakeovers = faults{
	ownerChanges: 250,
	restarts:     4,
}

// ownersInSeries replaces owners every other second while workers are cut off, so that the rest
// of a lease passes through several records.
var ownersInSeries = faults{
	lostAnswers:  30,
	lateAnswers:  40,
	lateOrders:   30,
	lostOrders:   30,
	taskFailures: 30,
	crashes:      15,
	ownerChanges: 450,
	partitions:   100,
}

// slowReads replaces owners often, and new ones read jobs late.
var slowReads = faults{
	lostAnswers:  30,
	lateAnswers:  40,
	lateOrders:   30,
	taskFailures: 30,
	ownerChanges: 300,
	partitions:   40,
	slowReads:    9 * clock.Second,
}

// TestModel runs random simulations with faults. It checks that no task runs twice at a
// time, starts before its dependencies are done, after its end was acknowledged or more
// often than allowed, that no worker exceeds its capacity, and that all jobs finish once
// the faults have ended.
func TestModel(t *testing.T) {
	for seed := range uint64(60) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { runModel(t, seed, frequentFaults) })
	}
}

// TestRestlessModel checks the same while owners overlap and workers restart.
func TestRestlessModel(t *testing.T) {
	for seed := range uint64(60) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { runModel(t, seed, frequentTakeovers) })
	}
}

// TestModelOfOwnersInSeries checks the same while owners follow each other faster than leases
// expire.
func TestModelOfOwnersInSeries(t *testing.T) {
	for seed := range uint64(60) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { runModel(t, seed, ownersInSeries) })
	}
}

// TestModelOfSlowReads checks the same while new owners learn of jobs long after the earlier
// ones have started them.
func TestModelOfSlowReads(t *testing.T) {
	for seed := range uint64(60) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { runModel(t, seed, slowReads) })
	}
}

func runModel(t *testing.T, seed uint64, f faults) {
	t.Helper()
	sim := newSimulation(seed, 6, f)
	for i := range 12 {
		sim.after(clock.Span(sim.random.IntN(30000)), func() { sim.submit(sim.randomJob(i)) })
	}
	sim.after(20*clock.Second, func() { sim.cancel(sim.jobs[0].ID) })
	sim.runFor(60 * clock.Second)
	sim.faults = faults{}
	sim.runFor(60 * clock.Second)
	sim.checkFinished()
	if len(sim.violations) > 0 {
		t.Fatalf("seed %d: %v", seed, sim.violations)
	}
	if sim.started == 0 {
		t.Fatal("no task was started")
	}
}

func (sim *simulation) randomJob(n int) document.StagedJob {
	job := document.StagedJob{
		ID:    fmt.Sprintf("%016x", n+1),
		Queue: "quick",
	}
	if n%3 == 0 {
		job.Queue = "long"
	}
	steps := 1 + sim.random.IntN(3)
	for i := range steps {
		step := document.Step{
			Tasks:    1 + sim.random.IntN(5),
			Demand:   document.Size{Processors: 500 + sim.random.IntN(2500), Memory: 100 + sim.random.IntN(1500)},
			Estimate: clock.Span(100 + sim.random.IntN(3000)),
		}
		if i > 0 {
			step.After = []int{sim.random.IntN(i)}
		}
		if n%4 == 1 && i == steps-1 {
			step.LongRunning = true
			step.Demand.Processors /= 2 // so that all of them fit at once
		}
		if n%5 == 2 {
			step.MaxPerWorker = 1 + sim.random.IntN(2)
		}
		job.Steps = append(job.Steps, step)
	}
	return job
}

// checkFinished records a violation for each job that should be complete or running
// and is not.
func (sim *simulation) checkFinished() {
	for _, job := range sim.jobs {
		j := sim.planner.jobs[job.ID]
		switch {
		case j == nil:
			sim.violate("%s is not known", job.ID)
		case j.state == StateCompleted:
			if !sim.allDone(job) {
				sim.violate("%s is reported as complete but is not", job.ID)
			}
		case sim.cancelled[job.ID] && j.state.Final() && !sim.anyRunning(job):
		case j.state == StateFailed && sim.anyExhausted(job):
		case job.Lasts() && sim.allRunningOrDone(job):
		default:
			sim.violate("%s is unexpectedly %s", job.ID, j.state)
		}
	}
}

func (sim *simulation) anyRunning(job document.StagedJob) bool {
	for _, worker := range sim.workers {
		for key := range worker.running {
			if key.task.Job == job.ID {
				return true
			}
		}
	}
	return false
}

func (sim *simulation) allDone(job document.StagedJob) bool {
	for i := range job.Steps {
		if !sim.stepDone(TaskID{Job: job.ID}, i) {
			return false
		}
	}
	return true
}

func (sim *simulation) anyExhausted(job document.StagedJob) bool {
	for i, s := range job.Steps {
		for n := range s.Tasks {
			id := TaskID{Job: job.ID, Step: i, Index: n}
			if sim.failures[id] >= sim.maxAttempts(id) {
				return true
			}
		}
	}
	return false
}

// allRunningOrDone reports whether every long-running task of the job is running and
// every other one is done.
func (sim *simulation) allRunningOrDone(job document.StagedJob) bool {
	running := map[TaskID]bool{}
	for _, worker := range sim.workers {
		for key := range worker.running {
			running[key.task] = true
		}
	}
	for i, s := range job.Steps {
		for n := range s.Tasks {
			id := TaskID{Job: job.ID, Step: i, Index: n}
			if s.LongRunning && !running[id] {
				return false
			}
			if !s.LongRunning && !sim.done[id] {
				return false
			}
		}
	}
	return true
}
