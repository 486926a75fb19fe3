package planner

import (
	"testing"

	"gotest.tools/v3/assert"

	"marjoramstack/pkg/clock"
	"marjoramstack/pkg/document"
)

// failedServingTask returns a planner whose single long-running task has run and failed at
// the given time, and the worker where it ran.
func failedServingTask(t *testing.T, now clock.Time) (*Planner, *worker) {
	t.Helper()
	p := newSingleTask(t, now.Add(-clock.Second), document.Step{Tasks: 1, Demand: document.Size{Processors: 6, Memory: 1}, LongRunning: true}, nil)
	r := onlyRun(t, p)
	p.Handle(now, StartEnded{Worker: r.worker.id, Task: r.key.task, Attempt: r.key.attempt, WorkerTime: now})
	for _, w := range p.fleet {
		answerRenewal(p, now, w.id, Report{})
	}
	answerRenewal(p, now, r.worker.id, Report{Ended: []Ended{{Number: 1, Task: r.key.task, Attempt: r.key.attempt, How: EndFailed}}})
	return p, r.worker
}

// TestRefusedRestartReservesOnce guards against a worker that other tasks cannot use because
// one task holds several reservations there: each refused start of it added one.
func TestRefusedRestartReservesOnce(t *testing.T) {
	now := clock.Time(1_000_000)
	p, w := failedServingTask(t, now)
	task := p.findTask(TaskID{Job: loneJob})
	for range 3 {
		now = now.Add(maxPassInterval)
		p.Handle(now, Ticked{})
		p.Decide(now)
		r := onlyRun(t, p)
		w = r.worker
		p.Handle(now, StartEnded{Worker: w.id, Task: r.key.task, Attempt: r.key.attempt, Outcome: OutcomeNotSent})
	}
	assert.Equal(t, w.reservedForOthers(now, nil), allocation(task.step.spec))
}
