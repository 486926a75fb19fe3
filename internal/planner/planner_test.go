package planner

import (
	"testing"

	"gotest.tools/v3/assert"

	"marjoramstack/pkg/clock"
	"marjoramstack/pkg/document"
)

const loneJob = "00000000000000aa"

// single returns a planner with two workers that have answered and one job of
// one task.
func newSingleTask(t *testing.T, now clock.Time, spec document.Step, progress *Progress) *Planner {
	t.Helper()
	p := New(Options{Epoch: 1, Takeover: now, LeaseMax: 6000, StopGrace: 200})
	p.Handle(now, Configured{Operations: document.Operations{
		Revision: 1,
		Queues:   []document.Queue{{Name: "q", Pool: "pool", MaxAttempts: 2, Stretch: 1500}},
	}})
	for _, id := range []string{"w1", "w2"} {
		p.Handle(now, WorkerListed{Worker: Worker{ID: id, Pool: "pool", Zone: "z", Capacity: document.Size{Processors: 8, Memory: 8}}})
		answerRenewal(p, now, id, Report{})
	}
	p.Handle(now, Submitted{Accepted: now, Progress: progress, Job: document.StagedJob{ID: loneJob, Queue: "q", Steps: []document.Step{spec}}})
	decideAndCommit(p, now)
	decideAndCommit(p, now.Add(maxPassInterval))
	return p
}

// turn decides and makes all changes durable.
func decideAndCommit(p *Planner, now clock.Time) []Order {
	p.Handle(now, Ticked{})
	p.Decide(now)
	if batch, ok := p.TakeChanges(60); ok {
		p.Handle(now, Committed{Number: batch.Number})
	}
	p.Decide(now.Add(maxPassInterval))
	return p.TakeOrders()
}

// renewed reports whether the orders renew a worker's lease.
func renewsLease(orders []Order, worker string) bool {
	for _, order := range orders {
		if r, ok := order.(Renew); ok && r.Worker == worker && !r.Extra {
			return true
		}
	}
	return false
}

func answerRenewal(p *Planner, now clock.Time, worker string, report Report) {
	report.Incarnation = 1
	report.WorkerTime = now
	p.Handle(now, Renewed{Worker: worker, Received: now, Report: report})
}

// runOf returns the only attempt of the lone task.
func onlyRun(t *testing.T, p *Planner) *run {
	t.Helper()
	task := p.findTask(TaskID{Job: loneJob})
	assert.Equal(t, len(task.runs), 1)
	return task.runs[0]
}

// TestSilentWorker holds that the task of a worker that never answers again is
// started elsewhere when its lease has run out, though the worker is asked again
// and again.
func TestSilentWorker(t *testing.T) {
	now := clock.Time(1_000_000)
	p := newSingleTask(t, now, document.Step{Tasks: 1, Demand: document.Size{Processors: 1, Memory: 1}, LongRunning: true}, nil)
	first := onlyRun(t, p)
	silent, other := first.worker.id, "w1"
	if silent == "w1" {
		other = "w2"
	}
	moved := clock.Span(0)
	asked := true
	for span := clock.Span(100); span < 12*clock.Second && moved == 0; span += 100 {
		at := now.Add(span)
		answerRenewal(p, at, other, Report{})
		if asked {
			p.Handle(at, RenewFailed{Worker: silent, Outcome: OutcomeUnknown})
		}
		asked = renewsLease(decideAndCommit(p, at), silent)
		if runs := p.findTask(TaskID{Job: loneJob}).runs; len(runs) == 1 && runs[0].worker.id == other {
			moved = span
		}
	}
	assert.Assert(t, moved > 5*clock.Second, "moved after %s, while the lease may hold", moved)
	assert.Assert(t, moved < 8*clock.Second, "moved after %s", moved)
}

// TestFailureCountedOnce holds that an end that an earlier owner has counted, and
// that the worker lists again, is not counted twice.
func TestFailureCountedOnce(t *testing.T) {
	now := clock.Time(1_000_000)
	p := newSingleTask(t, now, document.Step{Tasks: 1, Demand: document.Size{Processors: 1, Memory: 1}}, &Progress{
		State: StateRunning,
		Queue: "q",
		Tasks: []TaskRecord{{Failed: []int{1}}},
	})
	answerRenewal(p, now.Add(200), "w2", Report{Ended: []Ended{{Number: 1, Task: TaskID{Job: loneJob}, Attempt: 1, How: EndFailed}}})
	assert.Equal(t, p.jobs[loneJob].state, StateRunning)
}

// TestHopeless holds that a job that no worker could ever hold fails after a
// while, and keeps no other from running.
func TestHopeless(t *testing.T) {
	now := clock.Time(1_000_000)
	p := newSingleTask(t, now, document.Step{Tasks: 1, Demand: document.Size{Processors: 9, Memory: 1}}, nil)
	assert.Equal(t, p.jobs[loneJob].state, StatePending)
	decideAndCommit(p, now.Add(infeasibleAfter))
	assert.Equal(t, p.jobs[loneJob].state, StateFailed)
}

// TestLeaving holds that a leaving worker and a leaving zone get no starts.
func TestLeaving(t *testing.T) {
	now := clock.Time(1_000_000)
	p := newSingleTask(t, now, document.Step{Tasks: 1, Demand: document.Size{Processors: 1, Memory: 1}}, nil)
	w := onlyRun(t, p).worker
	assert.Assert(t, p.usable(now, w))
	w.info.Leaving = true
	assert.Assert(t, !p.usable(now, w))
	w.info.Leaving = false
	p.ops.LeavingZones = map[string]bool{"z": true}
	assert.Assert(t, !p.usable(now, w))
}

// TestReplacedWorker holds that the tasks of a worker at whose address another one
// answers start elsewhere at once, and that a new owner does not wait for it.
func TestReplacedWorker(t *testing.T) {
	now := clock.Time(1_000_000)
	p := newSingleTask(t, now, document.Step{Tasks: 1, Demand: document.Size{Processors: 1, Memory: 1}, LongRunning: true}, nil)
	lost := onlyRun(t, p).worker
	lost.info.Address = "10.0.0.1:80"
	p.Handle(now.Add(300), RenewFailed{Worker: lost.id, Address: "10.0.0.9:80", Outcome: OutcomeReplaced})
	assert.Equal(t, onlyRun(t, p).worker.id, lost.id, "the answer came from an earlier address")
	p.Handle(now.Add(400), RenewFailed{Worker: lost.id, Address: "10.0.0.1:80", Outcome: OutcomeReplaced})
	decideAndCommit(p, now.Add(500))
	assert.Assert(t, onlyRun(t, p).worker.id != lost.id)
}

// TestReplacedBeforeTakeover holds that a new owner does not wait for the leases of
// a worker at whose address another one answers.
func TestReplacedBeforeTakeover(t *testing.T) {
	now := clock.Time(1_000_000)
	p := New(Options{Epoch: 2, Takeover: now, LeaseMax: 6000, StopGrace: 200})
	p.Handle(now, WorkerInherited{Worker: Worker{ID: "w1", Address: "10.0.0.1:80"}})
	assert.Assert(t, !p.inheritanceKnown(now))
	p.Handle(now, RenewFailed{Worker: "w1", Address: "10.0.0.1:80", Outcome: OutcomeReplaced})
	assert.Assert(t, p.inheritanceKnown(now))
	assert.Assert(t, p.recordsToDrop["w1"])
}

// TestNamedBeforeStart holds that a task is started on a worker of the owner's zone
// only after the record names it, and that a task whose record is not written is
// placed anew after a while.
func TestNamedBeforeStart(t *testing.T) {
	now := clock.Time(1_000_000)
	p := New(Options{Epoch: 1, Zone: "z", Takeover: now, LeaseMax: 6000, StopGrace: 200})
	p.Handle(now, Configured{Operations: document.Operations{
		Revision: 1,
		Queues:   []document.Queue{{Name: "q", Pool: "pool", MaxAttempts: 2, Stretch: 1500}},
	}})
	p.Handle(now, WorkerListed{Worker: Worker{ID: "w1", Pool: "pool", Zone: "z", Capacity: document.Size{Processors: 8, Memory: 8}}})
	answerRenewal(p, now, "w1", Report{})
	decideAndCommit(p, now)
	p.Handle(now, Submitted{Accepted: now, Job: document.StagedJob{ID: loneJob, Queue: "q", Steps: []document.Step{
		{Tasks: 1, Demand: document.Size{Processors: 1, Memory: 1}},
	}}})
	now = now.Add(100)
	p.Handle(now, Ticked{})
	p.Decide(now)
	assert.Equal(t, countStarts(p.TakeOrders()), 0)
	batch, ok := p.TakeChanges(60)
	assert.Assert(t, ok)
	assert.Equal(t, len(batch.Used), 1)
	assert.Assert(t, batch.Used[0].Exact)
	assert.DeepEqual(t, batch.Used[0].Held, []TaskID{{Job: loneJob}})

	late := now.Add(maxPlannedWait + 1)
	p.Handle(late, Ticked{})
	p.Decide(late)
	p.Handle(late, Committed{Number: batch.Number})
	assert.Equal(t, countStarts(p.TakeOrders()), 0, "the start has been given back")
	decideAndCommit(p, late.Add(100))
	p.Decide(late.Add(200))
	assert.Equal(t, onlyRun(t, p).phase, runStartSent)
}

func countStarts(orders []Order) int {
	n := 0
	for _, order := range orders {
		if _, ok := order.(Start); ok {
			n++
		}
	}
	return n
}

// TestHandOverNamesAll holds that an owner that gives the cell up records what is on
// each worker, so that the next one starts all other tasks without waiting.
func TestHandOverNamesAll(t *testing.T) {
	now := clock.Time(1_000_000)
	p := newSingleTask(t, now, document.Step{Tasks: 1, Demand: document.Size{Processors: 1, Memory: 1}}, nil)
	held := onlyRun(t, p).worker.id
	p.HandOver()
	batch, ok := p.TakeChanges(60)
	assert.Assert(t, ok)
	assert.Equal(t, len(batch.Used), 2)
	next := New(Options{Epoch: 2, Takeover: now, LeaseMax: 6000, StopGrace: 200})
	for _, use := range batch.Used {
		assert.Assert(t, use.Exact)
		assert.Equal(t, len(use.Held) == 1, use.Worker.ID == held)
		next.Handle(now, WorkerInherited(use))
	}
	assert.Assert(t, next.inheritanceKnown(now))
	assert.Assert(t, next.mayStillRun(now, TaskID{Job: loneJob}))
	assert.Assert(t, !next.mayStillRun(now, TaskID{Job: loneJob, Index: 1}))
	p.Handle(now, Committed{Number: batch.Number})
	assert.Assert(t, !p.Dirty())
}

// TestFreshSteps holds that a short task starts at once though passes over all that
// waits are far apart.
func TestFreshSteps(t *testing.T) {
	now := clock.Time(1_000_000)
	p := newSingleTask(t, now, document.Step{Tasks: 1, Demand: document.Size{Processors: 1, Memory: 1}}, nil)
	now = now.Add(clock.Second)
	decideAndCommit(p, now)
	now = now.Add(100)
	p.passGap = maxPassInterval
	p.lastPass = now
	p.Handle(now, Submitted{Accepted: now, Job: document.StagedJob{ID: "00000000000000bb", Queue: "q", Steps: []document.Step{
		{Tasks: 1, Demand: document.Size{Processors: 1, Memory: 1}},
	}}})
	p.Decide(now.Add(2))
	assert.Equal(t, countStarts(p.TakeOrders()), 1)
}

// TestRestartRecordedFirst holds that a worker that has restarted, and so has
// forgotten the epoch, gets starts only after a write begun since: an owner that
// has been replaced can't make one.
func TestRestartRecordedFirst(t *testing.T) {
	now := clock.Time(1_000_000)
	p := newSingleTask(t, now, document.Step{Tasks: 1, Demand: document.Size{Processors: 1, Memory: 1}, LongRunning: true}, nil)
	w := onlyRun(t, p).worker
	now = now.Add(100)
	p.Handle(now, Renewed{Worker: w.id, Received: now, Report: Report{Incarnation: 2, WorkerTime: now}})
	assert.Assert(t, !p.usable(now, w))
	batch, ok := p.TakeChanges(60)
	assert.Assert(t, ok)
	p.Handle(now, Renewed{Worker: w.id, Received: now, Report: Report{Incarnation: 3, WorkerTime: now}})
	p.Handle(now, Committed{Number: batch.Number})
	assert.Assert(t, !p.usable(now, w), "the write was begun before it restarted again")
	batch, ok = p.TakeChanges(60)
	assert.Assert(t, ok)
	p.Handle(now, Committed{Number: batch.Number})
	assert.Assert(t, p.usable(now, w))
}

// TestUnusedWorkerSilent guards against inherited tasks that wait for seconds after
// a planned change of owners, for a worker that is listed, does not answer, and on
// which no earlier owner can have started anything, since its record names it not.
func TestUnusedWorkerSilent(t *testing.T) {
	now := clock.Time(1_000_000)
	p := New(Options{Epoch: 2, Takeover: now, LeaseMax: 6000, StopGrace: 200})
	p.Handle(now, WorkerInherited{Worker: Worker{ID: "w1"}})
	p.Handle(now, WorkerListed{Worker: Worker{ID: "w1"}})
	p.Handle(now, WorkerListed{Worker: Worker{ID: "w2"}})
	assert.Assert(t, !p.inheritanceKnown(now), "the first may run anything")
	answerRenewal(p, now, "w1", Report{})
	assert.Assert(t, p.inheritanceKnown(now))
}
