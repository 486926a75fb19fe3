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

// movingTask returns a planner that has just ordered its single long-running task to move,
// the task's attempt, and the worker to which it moves.
func movingTask(t *testing.T, now clock.Time) (*Planner, *run, *worker) {
	t.Helper()
	p := newSingleTask(t, now, document.Step{Tasks: 1, Demand: document.Size{Processors: 6, Memory: 1}, LongRunning: true}, nil)
	r := onlyRun(t, p)
	p.Handle(now, StartEnded{Worker: r.worker.id, Task: r.key.task, Attempt: r.key.attempt, WorkerTime: now})
	to := p.fleet[0]
	if to == r.worker {
		to = p.fleet[1]
	}
	p.startMove(now, r, to)
	return p, r, to
}

// TestMovingTaskKeepsPlace guards against a task that the owner moves and that loses its
// place to others: the place lapsed before capacity could be gathered, counted from the
// order to move and not from the end of the task's run.
func TestMovingTaskKeepsPlace(t *testing.T) {
	now := clock.Time(1_000_000)
	p, r, to := movingTask(t, now)
	to.backoffUntil = now.Add(clock.Hour) // no start reaches it
	ended := now.Add(1900)
	answerRenewal(p, ended, r.worker.id, Report{Ended: []Ended{{Number: 1, Task: r.key.task, Attempt: r.key.attempt, How: EndStopped}}})
	for now = ended; !r.task.overdue(now); now = now.Add(simStep) {
		p.dropReservations(now)
		assert.Assert(t, r.task.hasReservation(now) || p.destination(now, r.task) != nil, "no place %s after the end", now.Sub(ended))
	}
	p.overdueTurns = 1
	answerRenewal(p, now, r.worker.id, Report{})
	p.restartLongRunning(now, p.backlog(now))
	assert.Assert(t, len(r.task.runs) == 1 || r.task.reservedWorker != to, "it waits for a worker that cannot be used")
}

// TestMovesFromLeavingDestination guards against a task that waits for the worker to which it
// moves although that one is leaving.
func TestMovesFromLeavingDestination(t *testing.T) {
	now := clock.Time(1_000_000)
	p, r, to := movingTask(t, now)
	to.info.Leaving = true
	now = now.Add(500)
	answerRenewal(p, now, r.worker.id, Report{Ended: []Ended{{Number: 1, Task: r.key.task, Attempt: r.key.attempt, How: EndStopped}}})
	p.Handle(now, Ticked{})
	p.Decide(now)
	assert.Equal(t, len(r.task.runs), 1)
}

// TestDroppedWorkerFreesStarts guards against an owner that starts nothing any more: starts
// whose worker was dropped before their outcome arrived counted as in flight for good.
func TestDroppedWorkerFreesStarts(t *testing.T) {
	now := clock.Time(1_000_000)
	p := newSingleTask(t, now, document.Step{Tasks: 1, Demand: document.Size{Processors: 6, Memory: 1}}, nil)
	r := onlyRun(t, p)
	assert.Equal(t, p.starts.inFlight, 1)
	p.Handle(now, WorkerUnlisted{Worker: r.worker.id})
	p.Handle(now, RenewFailed{Worker: r.worker.id, Outcome: OutcomeUnknown})
	now = p.leaseExpiry(r.worker).Add(clock.Second)
	p.expireLeases(now)
	assert.Assert(t, p.workers[r.worker.id] == nil)
	p.Handle(now, StartEnded{Worker: r.worker.id, Task: r.key.task, Attempt: r.key.attempt, Outcome: OutcomeUnknown})
	assert.Equal(t, p.starts.inFlight, 0)
}
