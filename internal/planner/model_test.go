package planner

import (
	"fmt"
	"testing"

	"marjoramstack/pkg/clock"
	"marjoramstack/pkg/document"
)

// troubled is a bad day: every kind of fault, often.
var frequentFaults = faults{
	lostAnswers:  30,
	lateAnswers:  40,
	lateOrders:   30,
	lostOrders:   30,
	taskFailures: 30,
	crashes:      15,
	ownerChanges: 60,
	cuts:         25,
}

// restless is a day on which owners are replaced all the time, and workers restart
// while the one before still acts.
var frequentTakeovers = faults{
	ownerChanges: 250,
	restarts:     4,
}

// TestModel plays random days and holds that no task runs twice, none starts
// before its turn, after its end or too often, no worker is given more than it
// holds, and that all work is complete once the faults have passed.
func TestModel(t *testing.T) {
	for seed := range uint64(60) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { runModel(t, seed, frequentFaults) })
	}
}

// TestRestlessModel holds the same while owners overlap and workers restart.
func TestRestlessModel(t *testing.T) {
	for seed := range uint64(60) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { runModel(t, seed, frequentTakeovers) })
	}
}

func runModel(t *testing.T, seed uint64, f faults) {
	t.Helper()
	w := newSimulation(seed, 6, f)
	for i := range 12 {
		w.after(clock.Span(w.random.IntN(30000)), func() { w.submit(w.randomJob(i)) })
	}
	w.after(20*clock.Second, func() { w.cancel(w.jobs[0].ID) })
	w.run(60 * clock.Second)
	w.faults = faults{}
	w.run(60 * clock.Second)
	w.checkFinished()
	if len(w.violations) > 0 {
		t.Fatalf("seed %d: %v", seed, w.violations)
	}
	if w.started == 0 {
		t.Fatal("nothing was started")
	}
}

func (w *simulation) randomJob(n int) document.StagedJob {
	job := document.StagedJob{
		ID:    fmt.Sprintf("%016x", n+1),
		Queue: "quick",
	}
	if n%3 == 0 {
		job.Queue = "long"
	}
	steps := 1 + w.random.IntN(3)
	for i := range steps {
		step := document.Step{
			Tasks:    1 + w.random.IntN(5),
			Demand:   document.Size{Processors: 500 + w.random.IntN(2500), Memory: 100 + w.random.IntN(1500)},
			Estimate: clock.Span(100 + w.random.IntN(3000)),
		}
		if i > 0 {
			step.After = []int{w.random.IntN(i)}
		}
		if n%4 == 1 && i == steps-1 {
			step.LongRunning = true
			step.Demand.Processors /= 2 // so that all of them have room at once
		}
		if n%5 == 2 {
			step.MaxPerWorker = 1 + w.random.IntN(2)
		}
		job.Steps = append(job.Steps, step)
	}
	return job
}

// unfinished breaches for jobs that should be complete, or should run, and
// aren't.
func (w *simulation) checkFinished() {
	for _, job := range w.jobs {
		j := w.planner.jobs[job.ID]
		switch {
		case j.state == StateCompleted:
			if !w.allDone(job) {
				w.violate("%s is shown as complete and is not", job.ID)
			}
		case w.cancelled[job.ID] && j.state.Final() && !w.anyRunning(job):
		case j.state == StateFailed && w.anyExhausted(job):
		case job.Lasts() && w.longRunningRun(job):
		default:
			w.violate("%s is %s", job.ID, j.state)
		}
	}
}

func (w *simulation) anyRunning(job document.StagedJob) bool {
	for _, sim := range w.workers {
		for key := range sim.running {
			if key.task.Job == job.ID {
				return true
			}
		}
	}
	return false
}

func (w *simulation) allDone(job document.StagedJob) bool {
	for i := range job.Steps {
		if !w.stepDone(TaskID{Job: job.ID}, i) {
			return false
		}
	}
	return true
}

func (w *simulation) anyExhausted(job document.StagedJob) bool {
	for i, s := range job.Steps {
		for n := range s.Tasks {
			id := TaskID{Job: job.ID, Step: i, Index: n}
			if w.failed[id] >= w.maxAttempts(id) {
				return true
			}
		}
	}
	return false
}

// lasting reports whether every long-running task of the job runs.
func (w *simulation) longRunningRun(job document.StagedJob) bool {
	running := map[TaskID]bool{}
	for _, sim := range w.workers {
		for key := range sim.running {
			running[key.task] = true
		}
	}
	for i, s := range job.Steps {
		for n := range s.Tasks {
			id := TaskID{Job: job.ID, Step: i, Index: n}
			if s.LongRunning && !running[id] {
				return false
			}
			if !s.LongRunning && !w.done[id] {
				return false
			}
		}
	}
	return true
}
